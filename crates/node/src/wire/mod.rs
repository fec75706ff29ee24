//! HTTP between a host and its targets, other hosts and the platform.

mod client;
mod codec;
mod headers;
mod problem;

pub use client::{Answer, Client, ClientError, Stage, StreamTimeouts};
pub use codec::{CodecError, join_frame, pack, split_frame, unpack};
pub use headers::{
    ATTEMPTS, CALLER, CLIENT, FINGERPRINT, HOPS, KEY, KIND, OUTCOME, REQUEST, REQUEST_ID,
    REQUEST_TIMEOUT, RETRY_SAFE, TARGET_LOAD, TARGET_SHED, TIMEOUT,
};
pub use problem::{CallError, ProblemKind};
