//! A target's HTTP.

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
    run::{Job, Outcome, run},
};
use crate::answer::{Answer, Body, Closed, empty, json, number, param, read_body, text, whole};

/// Largest request body, in bytes.
const BODY: usize = 8 << 20;

/// Marks an answer to a request that was not run.
const SHED: &str = "target-shed";

/// Carries the report of load in each answer.
const LOAD: &str = "target-load";

/// What an answer says, so that its caller can tell that it is its own.
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

/// Answers one request.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    if path == "/load" {
        return Ok(json(&shared.lock().report(shared.now())));
    }
    if let Some(knob) = path.strip_prefix("/fake/") {
        let knob = knob.to_owned();
        return Ok(turn(&shared, &knob, req).await);
    }
    let job = job(&req);
    let (head, body) = req.into_parts();
    let Some(body) = read_body(Request::new(body), BODY).await else {
        return Err(Closed);
    };
    let outcome = run(&shared, job).await;
    let mut res = match outcome {
        Outcome::Done => done(&shared, &head, body.len()),
        Outcome::Shed => shed(),
        Outcome::Late => text(StatusCode::GATEWAY_TIMEOUT, "stopped at the deadline"),
        Outcome::Killed => {
            fall(&shared);
            return Err(Closed);
        }
    };
    let report = shared.lock().report(shared.now());
    if let Ok(value) = HeaderValue::from_str(&write_report(&report)) {
        res.headers_mut().insert(LOAD, value);
    }
    Ok(res)
}

/// Reads from a request what it asks.
fn job(req: &Request<Incoming>) -> Job {
    let headers = req.headers();
    let deadline = value(headers, "request-timeout-ms").and_then(|v| v.parse().ok());
    let work = number(req.uri(), "work_us");
    let path = req.uri().path();
    Job {
        key: value(headers, "idempotency-key").map(Into::into),
        deadline: deadline.map(Duration::from_millis),
        work: work.map(Duration::from_micros),
        kills: headers.contains_key("fake-kill") || path.split('/').any(|part| part == "kill"),
    }
}

fn value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Gives the answer of a finished run, cut short where that is asked.
fn done(shared: &Shared, head: &http::request::Parts, body_bytes: usize) -> Response<Body> {
    let (filling, cut) = {
        let mut state = shared.lock();
        (".".repeat(state.options.padding_bytes), state.cut())
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let echo = Echo {
        target: &shared.name,
        request: value(&head.headers, "request-id").unwrap_or_default(),
        key: value(&head.headers, "idempotency-key").unwrap_or_default(),
        method: head.method.as_str(),
        path,
        body_bytes,
        filling,
    };
    let bytes = Bytes::from(serde_json::to_vec(&echo).unwrap_or_default());
    let size = HeaderValue::from(bytes.len());
    let mut res = match cut {
        true => Response::new(half(bytes)),
        false => Response::new(whole(bytes)),
    };
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_LENGTH, size);
    let kind = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, kind);
    res
}

/// Gives a body that breaks off in the middle.
fn half(mut bytes: Bytes) -> Body {
    bytes.truncate(bytes.len() / 2);
    let frames = stream::iter([Ok(Frame::data(bytes)), Err(Closed)]);
    // Yields between the two, so that the first half leaves before the connection is closed.
    let frames = stream::StreamExt::then(frames, |frame| async {
        if frame.is_err() {
            tokio::task::yield_now().await;
        }
        frame
    });
    BodyExt::boxed(StreamBody::new(frames))
}

fn shed() -> Response<Body> {
    let mut res = text(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let headers = res.headers_mut();
    headers.insert(SHED, HeaderValue::from_static("1"));
    res
}

/// Takes the target down for the time of its rules.
fn fall(shared: &Arc<Shared>) {
    shared.gate.set(false);
    let down = shared.lock().options.restart_delay;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(down).await;
        shared.revive();
    });
}

/// Writes a report the way the header carries it: `busy/slots`, then `;leaving` and `;cold`.
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

/// Turns a knob, or shows the counts.
async fn turn(shared: &Arc<Shared>, knob: &str, req: Request<Incoming>) -> Response<Body> {
    let uri = req.uri().clone();
    match knob {
        "runs" => return json(&shared.lock().runs),
        "counts" => return json(&shared.lock().counts()),
        "leave" => shared.change(|state| state.leaving = true),
        "return" => shared.change(|state| state.leaving = false),
        "kill" => fall(shared),
        "chill" => shared.change(super::State::clear_cache),
        "report" => return lie(shared, req).await,
        _ => return set(shared, knob, &uri),
    }
    empty(StatusCode::NO_CONTENT)
}

/// Sets a number of the rules or faults.
fn set(shared: &Shared, knob: &str, uri: &Uri) -> Response<Body> {
    let mut state = shared.lock();
    match knob {
        "slow" => state.slow = number(uri, "factor").unwrap_or(1.0),
        "shed" => state.shed = number(uri, "requests").unwrap_or(1),
        "truncate" => state.truncate = number(uri, "answers").unwrap_or(1),
        "size" => state.options.padding_bytes = number(uri, "bytes").unwrap_or_default(),
        "down" => match param(uri, "ms").and_then(|ms| ms.parse().ok()) {
            Some(ms) => state.options.restart_delay = Duration::from_millis(ms),
            None => return text(StatusCode::BAD_REQUEST, "ms is missing"),
        },
        _ => return text(StatusCode::NOT_FOUND, "no such knob"),
    }
    empty(StatusCode::NO_CONTENT)
}

/// Sets the report to give from now on; an empty body brings the truth back.
async fn lie(shared: &Shared, req: Request<Incoming>) -> Response<Body> {
    let body = read_body(req, BODY).await.unwrap_or_default();
    let report = match body.is_empty() {
        true => None,
        false => match serde_json::from_slice(&body) {
            Ok(report) => Some(report),
            Err(e) => return text(StatusCode::BAD_REQUEST, e.to_string()),
        },
    };
    shared.lock().lie = report;
    empty(StatusCode::NO_CONTENT)
}
