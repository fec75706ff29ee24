//! Handlers of the requests of other hosts.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::once::Key;
use dunlinrock_decide::admit::Load;
use http_body_util::Full;
use tokio::sync::oneshot;
use viz::{
    Body, IntoResponse, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::peer;
use crate::{
    call::{BodyLimits, Call, read_body},
    dump,
    duties::{control, ledger, pools::PoolId},
    metrics::Counter,
    run::{self, Clients, read_call, run_keyed, write_answer},
    shared::Shared,
    wire::{Answer, CallError, ProblemKind},
};

/// Maximum size of the head of a forwarded request, in bytes beyond its body.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum time for a body of another host to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a control message, in bytes. Its largest part is a piece of the configuration.
const MAX_CONTROL_BYTES: usize = 4 << 20;
/// Timeout for the control worker's reply to a message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a forwarded request at a pool whose owner, according to the sender, is this host.
pub(super) async fn run(shared: &Arc<Shared>, clients: &Clients, request: Request) -> Response {
    let (pool, call) = match receive_call(shared, request).await {
        Ok(received) => received,
        Err(response) => return response,
    };
    shared.metrics.increment(Counter::Runs);
    let view = shared.view.load_full();
    let result = match view.pools.get(&pool) {
        Some(route) if view.ready => run::run_at_pool(shared, clients, route, &call).await,
        Some(_) => Err(CallError::not_run(
            ProblemKind::NotReady,
            "the host is catching up",
        )),
        None => {
            let detail = format!("no targets of {} in {} here", pool.service, pool.domain);
            Err(CallError::not_run(ProblemKind::Unavailable, detail))
        }
    };
    answer(
        &result,
        view.pools.get(&pool).map(|route| route.load_reading().load),
    )
}

/// Runs a keyed request that a third host forwards.
pub(super) async fn call(shared: &Arc<Shared>, clients: &Clients, request: Request) -> Response {
    let (_, call) = match receive_call(shared, request).await {
        Ok(received) => received,
        Err(response) => return response,
    };
    let key = call.key.as_deref().map(str::parse::<Key>);
    let result = match key {
        Some(Ok(key)) if key.owner.incarnation == shared.me.incarnation => {
            run_keyed(shared, clients, &call, key).await
        }
        _ => Err(CallError::unknown(
            ProblemKind::KeyRefused,
            "the key names other hosts",
        )),
    };
    answer(&result, None)
}

/// Accepts a message for the ledger worker.
pub(super) async fn ledger(shared: &Shared, request: Request) -> Response {
    let from = peer(&request);
    let Ok(frame) = read_body(request.into_body(), body_limits(MAX_CONTROL_BYTES)).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Ok((sender, message)) = ledger::read_message(&frame) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let view = shared.view.load();
    let known = view
        .incarnations
        .get(&sender)
        .map(|member| member.peers.ip());
    if known.is_none() || known != from.map(|address| address.ip()) {
        shared.metrics.increment(Counter::UnknownSenders);
        return StatusCode::FORBIDDEN.into_response();
    }
    shared.metrics.increment(Counter::LedgerMessages);
    match shared.ledger.try_send(ledger::Input::Message {
        from: sender,
        message,
    }) {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        // This counts as a lost message: its sender sends it again.
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Passes a message to the control worker and returns its reply.
pub(super) async fn control(shared: &Shared, request: Request) -> Response {
    let counts = (Counter::ControlIn, Counter::ControlOut);
    ask(shared, request, counts, |from, frame, reply| {
        control::Input::Message { from, frame, reply }
    })
    .await
}

/// Passes a request for traffic shares and grants to the control worker and returns its reply.
pub(super) async fn steer(shared: &Shared, request: Request) -> Response {
    let counts = (Counter::SteerIn, Counter::SteerOut);
    ask(shared, request, counts, |from, frame, reply| {
        control::Input::Steer { from, frame, reply }
    })
    .await
}

async fn ask(
    shared: &Shared,
    request: Request,
    counts: (Counter, Counter),
    input: impl FnOnce(IpAddr, Bytes, oneshot::Sender<control::Reply>) -> control::Input,
) -> Response {
    let Some(from) = peer(&request) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Ok(frame) = read_body(request.into_body(), body_limits(MAX_CONTROL_BYTES)).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    shared.metrics.increment(Counter::ControlMessages);
    shared.metrics.add(counts.0, frame.len() as u64);
    let (reply, answer) = oneshot::channel();
    if shared
        .control
        .try_send(input(from.ip(), frame, reply))
        .is_err()
    {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match tokio::time::timeout(CONTROL_TIMEOUT, answer).await {
        Ok(Ok(control::Reply::Frame(frame))) => {
            shared.metrics.add(counts.1, frame.len() as u64);
            Response::new(Body::from(Full::from(frame)))
        }
        Ok(Ok(control::Reply::Accepted)) => StatusCode::NO_CONTENT.into_response(),
        Ok(Ok(control::Reply::NotMember)) => {
            shared.metrics.increment(Counter::UnknownSenders);
            StatusCode::FORBIDDEN.into_response()
        }
        Ok(Ok(control::Reply::Unreadable)) => StatusCode::BAD_REQUEST.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Returns the complete state of this host as JSON.
pub(super) async fn dump(shared: &Shared) -> Response {
    let text = dump::collect(shared).await.to_string();
    let mut response = Response::new(Body::from(Full::from(text)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn receive_call(shared: &Shared, request: Request) -> Result<(PoolId, Call), Response> {
    let from = peer(&request).map(|address| address.ip());
    let view = shared.view.load_full();
    if !view
        .members
        .values()
        .any(|member| Some(member.peers.ip()) == from)
    {
        shared.metrics.increment(Counter::UnknownSenders);
        return Err(StatusCode::FORBIDDEN.into_response());
    }
    let size = usize::try_from(shared.limits.body_bytes.get()).unwrap_or(usize::MAX);
    let frame = read_body(
        request.into_body(),
        body_limits(size.saturating_add(MAX_HEAD_BYTES)),
    )
    .await;
    let frame: Bytes = frame.map_err(|_| StatusCode::BAD_REQUEST.into_response())?;
    read_call(&frame).map_err(|e| {
        log::warn!(error:% = e; "a forwarded request could not be decoded");
        StatusCode::BAD_REQUEST.into_response()
    })
}

fn body_limits(bytes: usize) -> BodyLimits {
    BodyLimits {
        bytes,
        time: BODY_TIMEOUT,
    }
}

fn answer(result: &Result<Answer, CallError>, load: Option<Load>) -> Response {
    match write_answer(result, load) {
        Ok(frame) => Response::new(Body::from(Full::from(frame))),
        Err(e) => {
            log::error!(error:% = e; "a response to another host could not be encoded");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
