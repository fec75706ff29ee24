//! A caller's request, as it is passed between workers.

mod body;
mod headers;

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

pub use body::{BodyLimits, read_body, timeout_field};
pub use headers::{answer_fields, target_fields};

/// A complete request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request, in responses, in logs and towards targets.
    pub request: Arc<str>,
    /// Requested service.
    pub service: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the target, starting with a slash.
    pub path: Arc<str>,
    /// Header fields that are forwarded to the target.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Region of the host that received the request from the caller.
    pub region: Arc<str>,
    /// Address of the caller.
    pub client: IpAddr,
    /// Hash of the caller's name, for fair sharing between callers.
    pub caller: u64,
    /// Hash of the path without its query: the subject of the request, for fair sharing between
    /// keys.
    pub topic: u64,
    /// Hash of the kind of work (method and first segment of the path), for the expected service
    /// time.
    pub kind: u64,
    /// Hash of the complete request; a retry has the same one.
    pub fingerprint: u64,
    /// Hash of the caller's name and the complete request, which decides who may receive the
    /// response of a key.
    pub identity: u64,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// Key of a request that is not idempotent.
    pub key: Option<Arc<str>>,
    /// Earlier attempts of the key, as stated by the caller.
    pub attempts: Option<Arc<str>>,
    /// Number of hops between hosts so far. While a membership change spreads, two hosts may
    /// disagree about an owner and would forward a request back and forth until its deadline; the
    /// limit on hops prevents that.
    pub hops: u8,
}
