//! Changes that a host sends to its followers, and its dump.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_node::{
    clock::{millis, since_boot},
    wire::{Client, ClientError, CodecError, StreamTimeouts, pack, unpack},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;
use viz::{IntoResponse, RequestExt, Response, Router};

use super::{loads, quarantine, tokens};
use crate::{
    host::Shared,
    model::{Fingerprint, Revision},
    replica::{Changes, ConfigUpdate},
};

/// Path of the changes request. Hosts of a release with other messages do not know it: while a
/// fleet runs both releases, its hosts read the store themselves.
const CHANGES_PATH: &str = "/peer/v6/changes";

/// Path of the dump.
const DUMP_PATH: &str = "/peer/v1/dump";

/// Maximum size of a response, in bytes: all items of a large deployment.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How long a response is held while nothing changes. Each response is also a sign of life and
/// carries the freshness of the replica; each level of the distribution tree adds this time to the
/// age.
pub const LONG_POLL_TIME: Duration = Duration::from_millis(250);

/// Age above which a host's replica is stale, and its followers ask the next source, finally the
/// store. A change made just after the store's last response becomes known at most this late, plus
/// some round trips: a configuration may take 2.5 s to become active, and a target that drains as
/// long to get no more requests.
pub const STALE_AGE: Duration = Duration::from_millis(1600);

/// Returns how long a host whose replica has this age holds a response: not at all once it is
/// stale, or stale sources would use up the time in which the next one must be asked.
pub fn long_poll_time(age: Duration) -> Duration {
    LONG_POLL_TIME.min(STALE_AGE.saturating_sub(age))
}

/// How much longer the asking host waits: a round trip between regions, and a busy processor.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);

/// Maximum pause within a response: a packet lost between regions is retransmitted within 300 ms,
/// and a host that has used up its share of a processor continues within as much.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time of a response that makes progress. The full version of a large configuration, 130
/// KB, takes 0.8 s while eight hosts share a link of 10 Mbit/s; one that takes five seconds comes
/// too late to become active in time, and another source or the store may be faster.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Request of a follower, with what it already has.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct ChangesRequest {
    /// Store's revision up to which nothing is missing.
    pub(super) reached: Revision,
    /// Version of the configuration; 0 for none.
    pub(super) version: u64,
}

/// What the follower does not have yet.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct ChangesResponse {
    /// Time since the store last confirmed the replica, as of this response.
    pub(super) age: Duration,
    /// Time for which the response was held.
    pub(super) held: Duration,
    /// Changes after the requested revision.
    pub(super) changes: Changes,
    /// Later versions of the configuration.
    pub(super) news: Option<ConfigUpdate>,
}

/// Why a host's response is unusable.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Pack(#[from] CodecError),
    #[error(transparent)]
    BadRequest(#[from] http::Error),
}

/// A response, and its size on the wire.
#[derive(Debug)]
pub(super) struct ReceivedChanges {
    pub(super) response: ChangesResponse,
    /// In bytes.
    pub(super) size: usize,
}

/// Requests changes from a host.
pub(super) async fn request_changes(
    client: &Client,
    address: SocketAddr,
    wanted: &ChangesRequest,
) -> Result<ReceivedChanges, PeerError> {
    let body = pack(wanted)?;
    let timeouts = StreamTimeouts {
        head: LONG_POLL_TIME + RESPONSE_SLACK,
        idle: IDLE_TIMEOUT,
        total: TOTAL_TIMEOUT,
    };
    let request =
        Request::post(format!("http://{address}{CHANGES_PATH}")).body(Full::from(body))?;
    let answer = client.call_streaming(request, timeouts).await?;
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
    let router = loads::routes(tokens::routes(router, shared), shared);
    quarantine::routes(router, shared)
}

/// Reads a message of another host; the error is the response to an unreadable one.
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
            log::error!(target: "peers", event = "untold", error:% = e; "changes cannot be encoded; the request of another host fails");
            (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response()
        }
    }
}

async fn changes_for(
    shared: &Shared,
    wanted: ChangesRequest,
) -> Result<ChangesResponse, CodecError> {
    let received_at = since_boot();
    let mut changed = shared.changed.subscribe();
    let newer =
        changed.wait_for(|m| m.publish_revision > wanted.reached || m.version > wanted.version);
    // A timeout is fine too: the response then says that nothing changed.
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
    let quarantined = view.quarantined.iter().map(|(fingerprint, (entry, _))| {
        let status = match entry.is_confirmed {
            true => "confirmed",
            false => "suspect",
        };
        (Fingerprint(*fingerprint).to_string(), json!(status))
    });
    let text = json!({
        "name": shared.settings.name,
        "ready": shared.is_ready(),
        "version": view.config.as_ref().map(|c| c.version),
        "change": view.change,
        "age_ms": millis(shared.age()),
        "store_era": shared.store.era(),
        "revision": view.revision.to_string(),
        "links": shared.links.describe(),
        "closed_targets": shared.notices.describe(shared.now()),
        "evacuated": view.evacuated,
        "quarantined": quarantined.collect::<serde_json::Map<_, _>>(),
        "hosts": view.hosts.keys().collect::<Vec<_>>(),
        "targets": targets,
    });
    text.to_string().into_response()
}
