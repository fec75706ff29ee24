//! HTTP interface of a target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_schema::store::TargetReport;
use futures::stream;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

use super::{
    Shared,
    run::{Outcome, WorkRequest, run},
};
use crate::response::{
    Body, ConnectionAborted, HandlerResult, empty, full_body, json, number, param, read_body, text,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Header of a response to a request that was not run.
const SHED: &str = "target-shed";

/// Header that carries the load report in each response.
const LOAD: &str = "target-load";

/// Body of a response. It names the request, so that the caller can detect a mismatched response.
#[derive(Serialize)]
struct Echo<'a> {
    target: &'a str,
    request: &'a str,
    key: &'a str,
    method: &'a str,
    path: &'a str,
    body_bytes: usize,
    filling: String,
}

/// Handles one request.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    if path == "/load" {
        return Ok(json(&shared.lock().report(shared.now())));
    }
    if let Some(control) = path.strip_prefix("/fake/") {
        let control = control.to_owned();
        return Ok(handle_control(&shared, &control, req).await);
    }
    let request = parse_work_request(&req);
    let (head, body) = req.into_parts();
    let Some(body) = read_body(Request::new(body), MAX_BODY_BYTES).await else {
        return Err(ConnectionAborted);
    };
    let outcome = run(&shared, request).await;
    let mut res = match outcome {
        Outcome::Done => run_response(&shared, &head, body.len()),
        Outcome::Shed => shed_response(shared.lock().shed_backoff),
        Outcome::DeadlineExceeded => text(StatusCode::GATEWAY_TIMEOUT, "stopped at the deadline"),
        Outcome::Crashed => {
            crash(&shared);
            return Err(ConnectionAborted);
        }
    };
    let report = shared.lock().report(shared.now());
    if let Ok(value) = HeaderValue::from_str(&write_report(&report)) {
        res.headers_mut().insert(LOAD, value);
    }
    Ok(res)
}

/// Parses the parameters of a run from a request.
fn parse_work_request(req: &Request<Incoming>) -> WorkRequest {
    let headers = req.headers();
    let deadline = header_value(headers, "request-timeout-ms").and_then(|v| v.parse().ok());
    let work = number(req.uri(), "work_us");
    let path = req.uri().path();
    WorkRequest {
        key: header_value(headers, "idempotency-key").map(Into::into),
        deadline: deadline.map(Duration::from_millis),
        work: work.map(Duration::from_micros),
        crashes_target: headers.contains_key("fake-kill")
            || path.split('/').any(|part| part == "kill"),
    }
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the response of a completed run, truncated if requested.
fn run_response(shared: &Shared, head: &http::request::Parts, body_bytes: usize) -> Response<Body> {
    let (filling, truncated) = {
        let mut state = shared.lock();
        (
            ".".repeat(state.options.padding_bytes),
            state.take_truncation(),
        )
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let echo = Echo {
        target: &shared.name,
        request: header_value(&head.headers, "request-id").unwrap_or_default(),
        key: header_value(&head.headers, "idempotency-key").unwrap_or_default(),
        method: head.method.as_str(),
        path,
        body_bytes,
        filling,
    };
    let bytes = Bytes::from(serde_json::to_vec(&echo).unwrap_or_default());
    let size = HeaderValue::from(bytes.len());
    let mut res = match truncated {
        true => Response::new(truncated_body(bytes)),
        false => Response::new(full_body(bytes)),
    };
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_LENGTH, size);
    let kind = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, kind);
    res
}

/// Returns a body that ends in the middle, which closes the connection.
fn truncated_body(mut bytes: Bytes) -> Body {
    bytes.truncate(bytes.len() / 2);
    let frames = stream::iter([Ok(Frame::data(bytes)), Err(ConnectionAborted)]);
    // Yields before the error, so that the first half is sent before the connection is closed.
    let frames = stream::StreamExt::then(frames, |frame| async {
        if frame.is_err() {
            tokio::task::yield_now().await;
        }
        frame
    });
    BodyExt::boxed(StreamBody::new(frames))
}

fn shed_response(backoff: Option<f64>) -> Response<Body> {
    let mut res = text(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let headers = res.headers_mut();
    let backoff = backoff.map(|seconds| HeaderValue::try_from(seconds.to_string()));
    headers.extend(
        backoff
            .and_then(Result::ok)
            .map(|value| (header::RETRY_AFTER, value)),
    );
    headers.insert(SHED, HeaderValue::from_static("1"));
    res
}

/// Takes the target down for `restart_delay`.
fn crash(shared: &Arc<Shared>) {
    shared.port_switch.set(false);
    let down = shared.lock().options.restart_delay;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(down).await;
        shared.restart();
    });
}

/// Formats a report for the header: `busy/slots`, then `;leaving` and `;cold` if set.
fn write_report(report: &TargetReport) -> String {
    let mut out = format!("{}/{}", report.busy, report.slots);
    if report.leaving {
        out.push_str(";leaving");
    }
    if report.cold {
        out.push_str(";cold");
    }
    out
}

/// Handles a fault control, or returns the counts.
async fn handle_control(
    shared: &Arc<Shared>,
    control: &str,
    req: Request<Incoming>,
) -> Response<Body> {
    let uri = req.uri().clone();
    match control {
        "runs" => return json(&shared.lock().runs),
        "counts" => return json(&shared.lock().counts()),
        "leave" => shared.change(|state| state.leaving = true),
        "return" => shared.change(|state| state.leaving = false),
        "kill" => crash(shared),
        "chill" => shared.change(super::State::clear_cache),
        "report" => return set_reported_override(shared, req).await,
        _ => return set_option(shared, control, &uri),
    }
    empty(StatusCode::NO_CONTENT)
}

/// Sets a number in the options or faults.
fn set_option(shared: &Shared, control: &str, uri: &Uri) -> Response<Body> {
    let mut state = shared.lock();
    match control {
        "slow" => state.slowdown = number(uri, "factor").unwrap_or(1.0),
        "shed" => state.shed_next = number(uri, "requests").unwrap_or(1),
        "truncate" => state.truncate_next = number(uri, "answers").unwrap_or(1),
        "size" => state.options.padding_bytes = number(uri, "bytes").unwrap_or_default(),
        "down" => match param(uri, "ms").and_then(|ms| ms.parse().ok()) {
            Some(ms) => state.options.restart_delay = Duration::from_millis(ms),
            None => return text(StatusCode::BAD_REQUEST, "ms is missing"),
        },
        _ => return text(StatusCode::NOT_FOUND, "no such knob"),
    }
    empty(StatusCode::NO_CONTENT)
}

/// Sets the load report to send from now on; an empty body restores the actual load.
async fn set_reported_override(shared: &Shared, req: Request<Incoming>) -> Response<Body> {
    let body = read_body(req, MAX_BODY_BYTES).await.unwrap_or_default();
    let report = match body.is_empty() {
        true => None,
        false => match serde_json::from_slice(&body) {
            Ok(report) => Some(report),
            Err(e) => return text(StatusCode::BAD_REQUEST, e.to_string()),
        },
    };
    shared.lock().reported_override = report;
    empty(StatusCode::NO_CONTENT)
}
