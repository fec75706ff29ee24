//! Results of requests, and the responses that this host generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    access::AccessError,
    connection::{BufferedResponse, into_response},
    forward::{DECLINED, LEAVING},
    request_log::Sent,
};
use crate::{model::Fingerprint, trace::Outcome};

/// Result of a request, with what logs and metrics need.
#[derive(Debug)]
pub(super) struct RequestEnd {
    pub(super) outcome: Outcome,
    pub(super) cause: String,
    /// Identity of the request across its repeats, if it was read.
    pub(super) fingerprint: Option<Fingerprint>,
    /// Targets that were tried, in the order of their ids.
    pub(super) tried: String,
    /// Attempts that are not in a log line yet.
    pub(super) unlogged: Vec<Sent>,
    /// When the caller stops waiting for the response, if the request was read.
    pub(super) deadline: Option<Instant>,
    pub(super) response: Response<Full<Bytes>>,
}

/// Reads a body of at most `max_bytes` bytes.
pub(super) async fn read_body(
    body: Option<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, RequestEnd> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(plain(
            StatusCode::PAYLOAD_TOO_LARGE,
            Outcome::BodyTooLarge,
            e.to_string(),
        )),
        Err(e) => Err(plain(
            StatusCode::BAD_REQUEST,
            Outcome::BodyUnreadable,
            e.to_string(),
        )),
    }
}

/// The result for a request that matches no route of the active configuration.
pub(super) fn no_route(uri: &Uri) -> RequestEnd {
    plain(StatusCode::NOT_FOUND, Outcome::NoRoute, uri.to_string())
}

/// The result for a caller that is not authenticated.
pub(super) fn unauthorized(cause: &AccessError, challenge: &'static str) -> RequestEnd {
    let mut end = plain(
        StatusCode::UNAUTHORIZED,
        Outcome::Unauthorized,
        cause.to_string(),
    );
    let challenge = HeaderValue::from_static(challenge);
    let headers = end.response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, challenge);
    end
}

/// The result for a request that a target answered.
pub(super) fn answered(buffered: BufferedResponse) -> RequestEnd {
    let outcome = match buffered.status {
        status if status.is_success() => Outcome::Answered,
        _ => Outcome::FailedAtTarget,
    };
    let cause = buffered.status.as_u16().to_string();
    let mut response = into_response(buffered);
    // Only hosts decline; a target that claims to must not have its run taken for none.
    response.headers_mut().remove(DECLINED);
    response.headers_mut().remove(LEAVING);
    RequestEnd {
        outcome,
        cause,
        fingerprint: None,
        tried: String::new(),
        unlogged: Vec::new(),
        deadline: None,
        response,
    }
}

/// Creates a response of this host's own.
fn plain(status: StatusCode, outcome: Outcome, cause: String) -> RequestEnd {
    let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", outcome.name()))));
    *response.status_mut() = status;
    RequestEnd {
        outcome,
        cause,
        fingerprint: None,
        tried: String::new(),
        unlogged: Vec::new(),
        deadline: None,
        response,
    }
}

/// The result for a request that has not run and never will; the caller may retry.
pub(super) fn refuse(cause: &str, retry: Duration) -> RequestEnd {
    let mut end = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Refused,
        cause.to_owned(),
    );
    // Rounded up: a caller must not come back too early.
    let hundredths = retry.as_micros().div_ceil(10_000);
    let seconds = format!("{}.{:02}", hundredths / 100, hundredths % 100);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        end.response
            .headers_mut()
            .insert(header::RETRY_AFTER, value);
    }
    end
}

/// The result for a request that this host cannot serve and another may. It has not run and never
/// will.
pub(super) fn decline(cause: &str, retry: Duration) -> RequestEnd {
    let mut end = refuse(cause, retry);
    let headers = end.response.headers_mut();
    headers.insert(DECLINED, HeaderValue::from_static("1"));
    end
}

/// The result for a request that another host has answered for this one.
pub(super) fn forwarded(buffered: BufferedResponse, is_signed: bool) -> RequestEnd {
    let outcome = match buffered.status {
        status if is_signed && status.is_success() => Outcome::Answered,
        _ if is_signed => Outcome::FailedAtTarget,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Refused,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Limited,
        StatusCode::GATEWAY_TIMEOUT => Outcome::Late,
        StatusCode::NOT_FOUND => Outcome::NoRoute,
        StatusCode::UNAUTHORIZED => Outcome::Unauthorized,
        _ => Outcome::Lost,
    };
    RequestEnd {
        outcome,
        ..answered(buffered)
    }
}

/// The result for a request above its workspace's rate limit: it has not run and never will.
pub(super) fn limited(workspace: &str, retry_after: Duration) -> RequestEnd {
    let mut end = refuse(&format!("{workspace} is at its limit"), retry_after);
    *end.response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    end.outcome = Outcome::Limited;
    end
}

/// The result for a request of which it is unknown whether it ran.
pub(super) fn lost(cause: String) -> RequestEnd {
    plain(StatusCode::BAD_GATEWAY, Outcome::Lost, cause)
}

/// The result for a request that was sent and timed out.
pub(super) fn late() -> RequestEnd {
    plain(
        StatusCode::GATEWAY_TIMEOUT,
        Outcome::Late,
        "no answer in time".to_owned(),
    )
}
