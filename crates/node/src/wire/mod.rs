//! HTTP between a host and what it calls: targets, other hosts, the platform.

mod client;
mod names;
mod pack;
mod problem;

pub use client::{Answer, Client, ClientError, Part, StreamTimeouts};
pub use names::{
    ATTEMPTS, CALLER, CLIENT, FINGERPRINT, HOPS, KEY, KIND, OUTCOME, REQUEST, REQUEST_ID,
    REQUEST_TIMEOUT, RETRY_SAFE, TARGET_LOAD, TARGET_SHED, TIMEOUT,
};
pub use pack::{CodecError, join_frame, pack, split_frame, unpack};
pub use problem::{Kind, Trouble};
