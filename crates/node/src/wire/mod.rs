//! HTTP between a host and what it calls: targets, other hosts, the platform.

mod client;
mod names;
mod pack;
mod problem;

pub use client::{Answer, Client, Failure, Flow, Part};
pub use names::{
    ATTEMPTS, CALLER, CLIENT, FINGERPRINT, HOPS, KEY, KIND, OUTCOME, REQUEST, REQUEST_ID,
    REQUEST_TIMEOUT, RETRY_SAFE, TARGET_LOAD, TARGET_SHED, TIMEOUT,
};
pub use pack::{PackError, join, pack, split, unpack};
pub use problem::{Kind, Trouble};
