//! What comes of a request.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::StatusCode;

/// A whole answer of a target.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Body, whole.
    pub body: Bytes,
    /// Host that gave it.
    pub host: SocketAddr,
    /// Key under which it ran.
    pub key: Option<Arc<str>>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// With an answer.
    Answered(TargetResponse),
    /// It did not run and will not.
    NotRun(Arc<str>),
    /// Nobody could tell whether it ran.
    Unknown(Arc<str>),
    /// It ran, and its answer is gone.
    ResponseLost,
}

/// A request's end, with what is needed to check it against the targets' records.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The end.
    pub outcome: Outcome,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Keys that were answered `run: no`, the last one's included.
    pub not_run_keys: Vec<Arc<str>>,
    /// Key that the request ended under; none where it never got one.
    pub key: Option<Arc<str>>,
}
