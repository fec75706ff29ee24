//! Changes that a host passes on to those that follow it, and its dump.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_node::{
    clock::{millis, since_boot},
    wire::{Client, Failure, Flow, PackError, pack, unpack},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;
use viz::{IntoResponse, RequestExt, Response, Router};

use super::tokens;
use crate::{
    host::Shared,
    replica::{Changes, ConfigUpdate},
};

/// Path on which changes are asked for. Hosts of a release that sends other messages do not know it:
/// while a fleet holds both, its hosts read the store for themselves.
const CHANGES_PATH: &str = "/peer/v4/changes";

/// Path of the dump.
const DUMP_PATH: &str = "/peer/v1/dump";

/// Largest answer, in bytes: all items of a large deployment.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How long an answer is held back while nothing changes. Each answer also says that the host lives
/// and how fresh its word is; with each step down the tree that word grows older by this.
pub const LONG_POLL_TIME: Duration = Duration::from_millis(250);

/// Age above which a host's word is not enough, and the next source is asked, at last the store. What
/// was changed just after the store's last answer is known this late at most, and some round trips
/// later: a configuration may take 2.5 s to be in force, and a leaving target as long.
pub const STALE_AGE: Duration = Duration::from_millis(1600);

/// How long a host whose word has this age holds an answer back: not at all once it is stale, or the
/// sources that are stale would use up the time in which the next one must be asked.
pub fn long_poll_time(age: Duration) -> Duration {
    LONG_POLL_TIME.min(STALE_AGE.saturating_sub(age))
}

/// Time an asking host waits beyond that: a round trip between regions and a busy processor.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// Longest pause within an answer: a packet that is lost between regions is sent again within 300 ms, and
/// a host that has used up its share of a processor goes on within as much.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time of an answer that goes on. The whole version of a large configuration, 130 KB, takes 0.8 s
/// where eight hosts share a link of 10 Mbit/s; what takes five is too late to be in force in time, and
/// another source or the store may do better.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(5);

/// What a follower knows.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct ChangesRequest {
    /// Store's revision up to which nothing is missing.
    pub(super) reached: u64,
    /// Version of the configuration; 0 for none.
    pub(super) version: u64,
}

/// What it does not know yet.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct ChangesResponse {
    /// Time since this was provably the store's word, as of this answer.
    pub(super) age: Duration,
    /// Time for which the answer was held back.
    pub(super) held: Duration,
    /// What is new after the revision asked.
    pub(super) changes: Changes,
    /// Later versions of the configuration.
    pub(super) news: Option<ConfigUpdate>,
}

/// Why a host's answer is of no use.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerError {
    #[error(transparent)]
    Call(#[from] Failure),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Pack(#[from] PackError),
    #[error(transparent)]
    BadRequest(#[from] http::Error),
}

/// An answer, and its size on the wire.
#[derive(Debug)]
pub(super) struct ReceivedChanges {
    pub(super) response: ChangesResponse,
    /// In bytes.
    pub(super) size: usize,
}

/// Asks a host for changes.
pub(super) async fn request_changes(
    client: &Client,
    address: SocketAddr,
    wanted: &ChangesRequest,
) -> Result<ReceivedChanges, PeerError> {
    let body = pack(wanted)?;
    let flow = Flow {
        head: LONG_POLL_TIME + RESPONSE_SLACK,
        pause: IDLE_TIMEOUT,
        whole: TOTAL_TIMEOUT,
    };
    let request =
        Request::post(format!("http://{address}{CHANGES_PATH}")).body(Full::from(body))?;
    let answer = client.call_flowing(request, flow).await?;
    if answer.status != StatusCode::OK {
        return Err(PeerError::Status(answer.status));
    }
    Ok(ReceivedChanges {
        response: unpack(&answer.body)?,
        size: answer.body.len(),
    })
}

/// Serves other hosts.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let (changes, dump_state) = (Arc::clone(shared), Arc::clone(shared));
    let router = Router::new()
        .post(CHANGES_PATH, move |request: viz::Request| {
            let shared = Arc::clone(&changes);
            async move { Ok(respond(&shared, request).await) }
        })
        .get(DUMP_PATH, move |_: viz::Request| {
            let shared = Arc::clone(&dump_state);
            async move { Ok(dump(&shared)) }
        });
    tokens::routes(router, shared)
}

/// What another host asks, or the answer to one whose message cannot be read.
pub(super) async fn read_message<T: DeserializeOwned>(
    mut request: viz::Request,
) -> Result<T, Response> {
    let refusal = |e: String| (StatusCode::BAD_REQUEST, e).into_response();
    let body = request.bytes().await.map_err(|e| refusal(e.to_string()))?;
    unpack(&body).map_err(|e| refusal(e.to_string()))
}

async fn respond(shared: &Shared, request: viz::Request) -> Response {
    let wanted: ChangesRequest = match read_message(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return refusal,
    };
    let encoded = changes_for(shared, wanted)
        .await
        .and_then(|response| pack(&response));
    match encoded {
        Ok(bytes) => {
            shared.meters.add("peer_out_bytes", bytes.len());
            bytes.into_response()
        }
        Err(e) => {
            log::error!(target: "peers", event = "untold", error:% = e; "another host is told nothing");
            (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response()
        }
    }
}

async fn changes_for(
    shared: &Shared,
    wanted: ChangesRequest,
) -> Result<ChangesResponse, PackError> {
    let received_at = since_boot();
    let mut changed = shared.changed.subscribe();
    let newer =
        changed.wait_for(|m| m.publish_revision > wanted.reached || m.version > wanted.version);
    // An answer without changes is as good: it says that there are none.
    let _ = tokio::time::timeout(long_poll_time(shared.age()), newer).await;
    let (mut replica, now) = (shared.replica(), shared.now());
    Ok(ChangesResponse {
        age: shared.age(),
        held: since_boot().saturating_sub(received_at),
        changes: replica.changes(wanted.reached, now),
        news: replica.update_since(wanted.version)?,
    })
}

fn dump(shared: &Shared) -> Response {
    let view = shared.view.load();
    let targets = view.services.iter().map(|(name, list)| {
        let list = list
            .iter()
            .map(|k| json!({"id": k.target.id, "address": k.target.address, "region": k.region}));
        (name.to_string(), list.collect())
    });
    let targets: serde_json::Map<String, serde_json::Value> = targets.collect();
    let text = json!({
        "name": shared.settings.name,
        "ready": shared.is_ready(),
        "version": view.config.as_ref().map(|c| c.version),
        "change": view.change,
        "age_ms": millis(shared.age()),
        "evacuated": view.evacuated,
        "hosts": view.hosts.keys().collect::<Vec<_>>(),
        "targets": targets,
    });
    text.to_string().into_response()
}
