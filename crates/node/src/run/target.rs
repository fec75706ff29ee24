//! Sends a request to one target and reports the result of the run.

use std::{net::SocketAddr, time::Duration};

use dunlinrock_decide::admit::{LoadReport, Outcome};
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header, header::HeaderValue};
use tokio::time::Instant;

use super::probe;
use crate::{
    call::Call,
    clock::millis,
    wire::{self, Answer, Client, ClientError, Stage},
};

/// Result of one attempt at a target.
#[derive(Debug)]
pub(super) struct AttemptResult {
    /// Outcome that is reported to the pool.
    pub outcome: Outcome,
    /// Complete response, if there is one.
    pub answer: Option<Answer>,
    /// Description of the failure, if the attempt failed.
    pub detail: String,
    /// Load that the target reported.
    pub report: Option<LoadReport>,
    /// Time for which the target wants no requests, if it rejected this one and named a time.
    pub backoff: Option<Duration>,
    /// Duration of the attempt.
    pub time: Duration,
}

/// Sends `call` to the target at `address` and waits for its complete response until the deadline.
/// `witnesses` returns other targets to compare it with, if it breaks off.
pub(super) async fn send(
    client: &Client,
    call: &Call,
    address: SocketAddr,
    witnesses: impl FnOnce() -> Vec<SocketAddr>,
) -> AttemptResult {
    let time = call.deadline.saturating_duration_since(Instant::now());
    let request = match request(call, address, time) {
        Ok(request) => request,
        Err(e) => return failed(Outcome::Refused, e.to_string()),
    };
    match client.call(request, time).await {
        Ok(answer) => answered(answer),
        Err(e) if e.is_unsent() => failed(Outcome::Refused, e.to_string()),
        Err(e @ ClientError::Timeout(_)) => failed(Outcome::TimedOut, e.to_string()),
        Err(e @ ClientError::Large(_)) => failed(Outcome::Failed, e.to_string()),
        Err(
            e @ ClientError::Broken {
                part: Stage::Body, ..
            },
        ) => failed(Outcome::Failed, e.to_string()),
        Err(e) => failed(probe::outcome(address, &witnesses()).await, e.to_string()),
    }
}

fn request(
    call: &Call,
    address: SocketAddr,
    time: Duration,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .body(Full::new(call.body.clone()))?;
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    headers.insert(wire::REQUEST_ID, HeaderValue::from_str(&call.request)?);
    headers.insert(wire::REQUEST_TIMEOUT, HeaderValue::from(millis(time)));
    Ok(request)
}

fn answered(answer: Answer) -> AttemptResult {
    let report = load_report(&answer.headers);
    let shed = answer.headers.contains_key(wire::TARGET_SHED);
    let outcome = match answer.status {
        _ if shed => Outcome::Refused,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            Outcome::Failed
        }
        _ => Outcome::Ok,
    };
    let detail = format!("the target answered {}", answer.status);
    AttemptResult {
        outcome,
        detail,
        report,
        backoff: shed.then(|| backoff(&answer.headers)).flatten(),
        answer: (!shed).then_some(answer),
        time: Duration::ZERO,
    }
}

/// Returns the result of an attempt without a response.
pub(super) fn failed(outcome: Outcome, detail: String) -> AttemptResult {
    AttemptResult {
        outcome,
        answer: None,
        detail,
        report: None,
        backoff: None,
        time: Duration::ZERO,
    }
}

/// Reads for how many seconds a target that rejects a request wants no others. A malformed number
/// is ignored.
fn backoff(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses `busy/slots;leaving;cold`, the format of targets in their responses. A malformed field is
/// ignored: the host's own counts are exact without it.
pub(crate) fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(wire::TARGET_LOAD)?.to_str().ok()?;
    let mut parts = text.split(';');
    let (busy, slots) = parts.next()?.split_once('/')?;
    let mut report = LoadReport {
        busy: busy.trim().parse().ok()?,
        slots: slots.trim().parse().ok()?,
        ..LoadReport::default()
    };
    for flag in parts {
        match flag.trim() {
            "leaving" => report.leaving = true,
            "cold" => report.cold = true,
            _ => {}
        }
    }
    Some(report)
}
