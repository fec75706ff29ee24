//! Outcomes of requests.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::StatusCode;

/// A complete response of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
    /// Host that forwarded the response.
    pub host: SocketAddr,
    /// Idempotency key under which the request ran.
    pub key: Option<Arc<str>>,
}

/// Outcome of a request, as far as its caller knows.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A target responded.
    Answered(TargetResponse),
    /// The request did not run and never will; with the reason.
    NotRun(Arc<str>),
    /// Unknown whether the request ran; with the reason.
    Unknown(Arc<str>),
    /// The request ran, but its response is no longer available.
    ResponseLost,
}

/// Result of a call, with the data to check it against the targets' records.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// Idempotency keys that were answered `run: no`, including the last one.
    pub not_run_keys: Vec<Arc<str>>,
    /// Last idempotency key of the request, if it got one.
    pub key: Option<Arc<str>>,
}
