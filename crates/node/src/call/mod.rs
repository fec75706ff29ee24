//! One request of a caller, as the duties pass it around.

mod body;
mod headers;

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

pub use body::{BodyLimits, read_body, timeout_field};
pub use headers::{answer_fields, target_fields};

/// One request, whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request, in answers, logs and towards targets.
    pub request: Arc<str>,
    /// Service asked for.
    pub service: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query towards the target, from its slash on.
    pub path: Arc<str>,
    /// Header fields that go on to the target.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Region of the host that took it in.
    pub region: Arc<str>,
    /// Address of the caller.
    pub client: IpAddr,
    /// Hash of the caller's name, for fair shares.
    pub caller: u64,
    /// Hash of what the request is about (its path), for fair shares among keys.
    pub topic: u64,
    /// Hash of the kind of work (method and first part of the path), for its expected time.
    pub kind: u64,
    /// Hash of the whole request, the same when it is sent again.
    pub fingerprint: u64,
    /// Hash of the caller's name and the whole request: who may see the answer of a key.
    pub identity: u64,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// Key of a request that may not be repeated.
    pub key: Option<Arc<str>>,
    /// What the caller said of earlier attempts of the key.
    pub attempts: Option<Arc<str>>,
    /// Hand-overs between hosts so far. Two hosts that disagree about an owner while a membership
    /// change spreads would pass a request to and fro until its deadline; the count ends that.
    pub hops: u8,
}
