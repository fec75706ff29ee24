//! Headers, paths and formats that a platform uses between callers, hosts and targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Uri};

use super::KeyDigest;

/// Query of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// Region of the caller.
    pub region: Arc<str>,
    /// Failure domain of the caller.
    pub domain: Arc<str>,
}

/// Load that a target reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// Rate that a target names with a response, for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportedRate {
    /// The response names none.
    Absent,
    /// Requests a second.
    Rate(f64),
    /// The response names one that cannot be read.
    Malformed,
}

/// Highest rate that is taken for one; beyond it, a number is an error of the target's.
const MAX_RATE: f64 = 1e9;

/// Parses a rate as a decimal number of requests a second; `None` if it is not one.
pub fn decimal_rate(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let rate: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (rate <= MAX_RATE).then_some(rate)
}

/// Credentials that a caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// The caller sent none.
    Missing,
    /// A key.
    Key(KeyDigest),
    /// Credentials that contain no key, or several.
    Malformed,
}

/// Names and formats of headers and paths. The functions decode and encode; none of them decides.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the request's id; callers choose it, targets echo it.
    pub request_id: HeaderName,
    /// Header with the remaining milliseconds.
    pub time_left: HeaderName,
    /// Header that names the only target that may run a request.
    pub expected_target: HeaderName,
    /// Response header that states that the request did not run.
    pub not_run: HeaderName,
    /// Header by which a target signs its responses.
    pub signature: HeaderName,
    /// Header with the caller's credentials; it is not sent to targets.
    pub credentials: HeaderName,
    /// Authentication challenge for callers without a known key.
    pub challenge: &'static str,
    /// Reads the credentials of a caller.
    pub parse_credentials: fn(&HeaderMap) -> Credentials,
    /// Header that carries the request's workspace to the target.
    pub workspace: HeaderName,
    /// Reads the affinity key of a request.
    pub affinity_key: fn(&HeaderMap) -> Option<&str>,
    /// Reads the load that a response reports.
    pub parse_load: fn(&HeaderMap) -> Option<ReportedLoad>,
    /// Reads the rate that a response names.
    pub parse_rate: fn(&HeaderMap) -> ReportedRate,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Path of lookups.
    pub lookup_path: &'static str,
    /// Reads the query of a lookup.
    pub parse_lookup: fn(&Uri) -> Option<LookupQuery>,
    /// Returns the body and the content type of a lookup's response.
    pub encode_lookup: fn(&[SocketAddr], Duration) -> (Bytes, &'static str),
}
