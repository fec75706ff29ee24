//! Sends a request to one target and tells how the run ended.

use std::{net::SocketAddr, time::Duration};

use dunlinrock_decide::admit::{LoadReport, Outcome};
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};
use tokio::{net::TcpStream, time::Instant};

use crate::{
    call::Call,
    clock::millis,
    wire::{self, Answer, Client, ClientError, Stage},
};

/// Time in which a target that broke off must take a connection to count as alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open. A process takes some milliseconds to end; nobody
/// waits for this but the one request whose connection broke.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(50);

/// How a run ended.
#[derive(Debug)]
pub(super) struct AttemptResult {
    /// What the pool is told.
    pub outcome: Outcome,
    /// The whole answer, where there is one.
    pub answer: Option<Answer>,
    /// What went wrong, where something did.
    pub detail: String,
    /// The target's word about its load.
    pub report: Option<LoadReport>,
    /// Time from its start to its end.
    pub time: Duration,
}

/// Sends `call` to the target at `address` and waits for its whole answer until the deadline.
pub(super) async fn send(client: &Client, call: &Call, address: SocketAddr) -> AttemptResult {
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
        Err(e) => failed(probe_target(address).await, e.to_string()),
    }
}

/// Tells a target that died from one that closed a connection.
///
/// A kept connection that a live target closes just as a request goes out looks the same as a
/// crash. Taken for one, it would put an innocent request under suspicion; a target that crashed
/// does not take a new connection, so one attempt to connect tells the two apart. While a process
/// ends, its listener may outlive its connections for a moment and take the attempt: then the new
/// connection breaks too, and one that stays for [`PROBE_HOLD_TIME`] is a live target's.
async fn probe_target(address: SocketAddr) -> Outcome {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return Outcome::Died;
    };
    let mut byte = [0];
    match tokio::time::timeout(PROBE_HOLD_TIME, stream.peek(&mut byte)).await {
        Ok(Ok(0) | Err(_)) => Outcome::Died,
        Ok(Ok(_)) | Err(_) => Outcome::Failed,
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
        answer: (!shed).then_some(answer),
        detail,
        report,
        time: Duration::ZERO,
    }
}

fn failed(outcome: Outcome, detail: String) -> AttemptResult {
    AttemptResult {
        outcome,
        answer: None,
        detail,
        report: None,
        time: Duration::ZERO,
    }
}

/// Reads `busy/slots;leaving;cold`, as targets put it into their answers. A field that does not
/// read so is passed over: the host's own counts are exact without it.
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
