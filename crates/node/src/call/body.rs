//! Reads the body of a request, limited in size and time, and the header field with the caller's
//! timeout.

use std::time::Duration;

use bytes::Bytes;
use dunlinrock_schema::settings::LimitSettings;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, body::Body as _};
use viz::Body;

use crate::wire::{self, CallError, ProblemKind};

/// Limits on the body of one request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size of the body, in bytes.
    pub bytes: usize,
    /// Maximum time for the body to arrive.
    pub time: Duration,
}

impl BodyLimits {
    /// Creates the limits from the host's settings.
    pub fn open(limits: &LimitSettings) -> BodyLimits {
        let bytes = usize::try_from(limits.body_bytes.get()).unwrap_or(usize::MAX);
        BodyLimits {
            bytes,
            time: Duration::from_millis(limits.body_ms.get()),
        }
    }
}

/// Reads a complete body, or returns the reason why the request is refused. The request has not run
/// at that point, so the error says `run: no`.
pub async fn read_body(body: Body, limits: BodyLimits) -> Result<Bytes, CallError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collected = Limited::new(body, limits.bytes).collect();
    match tokio::time::timeout(limits.time, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(CallError::not_run(
            ProblemKind::TooLarge,
            format!("the body is larger than {} bytes", limits.bytes),
        )),
        Ok(Err(e)) => Err(CallError::not_run(
            ProblemKind::Malformed,
            format!("the body broke off: {e}"),
        )),
        Err(_) => Err(CallError::not_run(
            ProblemKind::TooSlow,
            format!("the body did not arrive within {:?}", limits.time),
        )),
    }
}

/// Returns the timeout that the caller set in the header field [`wire::TIMEOUT`], or `default` if
/// there is none; at most `max`.
pub fn timeout_field(
    headers: &HeaderMap,
    default: Duration,
    max: Duration,
) -> Result<Duration, CallError> {
    let Some(value) = headers.get(wire::TIMEOUT) else {
        return Ok(default.min(max));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(0) | None => Err(CallError::not_run(
            ProblemKind::Malformed,
            format!(
                "the field {} takes a whole number of milliseconds above 0",
                wire::TIMEOUT
            ),
        )),
        Some(millis) => Ok(Duration::from_millis(millis).min(max)),
    }
}
