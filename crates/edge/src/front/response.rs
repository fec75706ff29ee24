//! How requests end, and the answers of this host's own.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::{
    access::NoRights,
    connection::{Whole, pass_on},
    request_log::Sent,
};
use crate::trace::Outcome;

/// How a request ended, for logs and metrics.
#[derive(Debug)]
pub(super) struct End {
    pub(super) outcome: Outcome,
    pub(super) cause: String,
    /// Targets that were tried, in the order of their ids.
    pub(super) tried: String,
    /// Sends that no log line tells yet.
    pub(super) unsaid: Vec<Sent>,
    pub(super) response: Response<Full<Bytes>>,
}

/// Reads a body of at most `most` bytes.
pub(super) async fn whole_body(body: Option<Incoming>, most: usize) -> Result<Bytes, End> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match Limited::new(body, most).collect().await {
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

/// No route of the configuration in force takes the request.
pub(super) fn no_route(uri: &Uri) -> End {
    plain(StatusCode::NOT_FOUND, Outcome::NoRoute, uri.to_string())
}

/// The caller is not known.
pub(super) fn unauthorized(cause: &NoRights, challenge: &'static str) -> End {
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

/// A target answered.
pub(super) fn answered(whole: Whole) -> End {
    let outcome = match whole.status {
        status if status.is_success() => Outcome::Answered,
        _ => Outcome::FailedAtTarget,
    };
    let cause = whole.status.as_u16().to_string();
    End {
        outcome,
        cause,
        tried: String::new(),
        unsaid: Vec::new(),
        response: pass_on(whole),
    }
}

/// An answer of this host's own.
fn plain(status: StatusCode, outcome: Outcome, cause: String) -> End {
    let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", outcome.name()))));
    *response.status_mut() = status;
    End {
        outcome,
        cause,
        tried: String::new(),
        unsaid: Vec::new(),
        response,
    }
}

/// The request has not run and never will; the caller may come back.
pub(super) fn refuse(cause: &str, retry: Duration) -> End {
    let mut end = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Refused,
        cause.to_owned(),
    );
    let seconds = format!("{:.2}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        end.response
            .headers_mut()
            .insert(header::RETRY_AFTER, value);
    }
    end
}

/// The workspace's limit is used up: the request has not run and never will.
pub(super) fn limited(workspace: &str, due: Duration) -> End {
    let mut end = refuse(&format!("{workspace} is at its limit"), due);
    *end.response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    end.outcome = Outcome::Limited;
    end
}

/// Nobody knows whether the request ran.
pub(super) fn lost(cause: String) -> End {
    plain(StatusCode::BAD_GATEWAY, Outcome::Lost, cause)
}

/// The request was sent and its time is over.
pub(super) fn late() -> End {
    plain(
        StatusCode::GATEWAY_TIMEOUT,
        Outcome::Late,
        "no answer in time".to_owned(),
    )
}
