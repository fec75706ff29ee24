//! Asks other hosts whether they reach targets, and answers them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_node::wire::{Client, pack, unpack};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use viz::{IntoResponse, RequestExt, Response, Router};

use super::{Links, NeighborsFn, probe::probe};

/// Path of the question.
const PATH: &str = "/peer/v1/links";

/// Timeout of a question: the other host may have to try targets first.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of an answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 1 << 10;

/// How recently a host must have opened a connection to a target to help another one without trying
/// again.
const RECENT: Duration = Duration::from_secs(1);

/// Maximum number of targets that are tried for another host.
const MAX_TARGETS: usize = 8;

/// A host that reaches no target asks whether another does.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(super) struct LinkQuestion {
    /// Name of the host that asks.
    pub(super) host: Arc<str>,
    /// Whether it knows that its own links are lost.
    pub(super) is_lost: bool,
    /// Ids of the targets that it has tried. Others must reach one of these: that they reach another
    /// one would prove nothing while single targets are down.
    pub(super) targets: Vec<Arc<str>>,
}

/// The other host's answer.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct LinkAnswer {
    reaches: bool,
}

/// Asks a host whether it reaches targets; `None` if it does not answer. A host of an older release
/// answers that it does not know the question, and cannot help.
pub(super) async fn ask(
    client: &Client,
    address: SocketAddr,
    question: &LinkQuestion,
) -> Option<bool> {
    let body = pack(question).ok()?;
    let answer = client.post(address, PATH, body, ASK_TIMEOUT).await.ok()?;
    let is_known = answer.status == StatusCode::OK;
    let answer = unpack::<LinkAnswer>(&answer.body);
    Some(is_known && answer.is_ok_and(|answer| answer.reaches))
}

/// Adds the endpoint that answers other hosts.
pub(crate) fn routes(router: Router, links: &Arc<Links>, neighbors: &NeighborsFn) -> Router {
    let (links, neighbors) = (Arc::clone(links), Arc::clone(neighbors));
    // Hosts whose links are lost share one probe.
    let probing = Arc::new(Mutex::new(()));
    router.post(PATH, move |request: viz::Request| {
        let (links, neighbors) = (Arc::clone(&links), Arc::clone(&neighbors));
        let probing = Arc::clone(&probing);
        async move { Ok(respond(&links, &neighbors, &probing, request).await) }
    })
}

async fn respond(
    links: &Links,
    neighbors: &NeighborsFn,
    probing: &Mutex<()>,
    mut request: viz::Request,
) -> Response {
    let question = request.bytes().await.ok();
    let Some(Ok(question)) = question.map(|body| unpack::<LinkQuestion>(&body)) else {
        return (StatusCode::BAD_REQUEST, "unreadable question").into_response();
    };
    links.record_report(Arc::clone(&question.host), question.is_lost);
    let reaches = reaches_targets(links, neighbors, probing, &question).await;
    match pack(&LinkAnswer { reaches }) {
        Ok(bytes) => bytes.into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

/// Whether this host itself reaches targets. It never asks others for this, so that no question
/// causes another.
async fn reaches_targets(
    links: &Links,
    neighbors: &NeighborsFn,
    probing: &Mutex<()>,
    question: &LinkQuestion,
) -> bool {
    if links.is_lost() {
        return false;
    }
    let _one = probing.lock().await;
    if question.is_lost && links.was_open_within(RECENT) {
        return true;
    }
    let mut targets = neighbors().targets;
    targets.retain(|target| question.targets.contains(&target.id));
    targets.truncate(MAX_TARGETS);
    let is_reached = probe(&targets).await.reached > 0;
    if is_reached {
        links.record_open();
    }
    is_reached
}
