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
    /// How long work takes on the target's machine now, in percent of the usual time; `None` if the
    /// response does not say.
    pub pace: Option<u32>,
}

/// Highest pace that is taken for one; beyond it, a number is an error of the target's.
const MAX_PACE: u32 = 100_000;

/// Parses a pace in percent; `None` if it is not one. Work that takes no time is an error as well.
pub fn percent_pace(text: &str) -> Option<u32> {
    let pace = text.trim().parse().ok()?;
    (1..=MAX_PACE).contains(&pace).then_some(pace)
}

/// What a target says about itself in a header of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported<T> {
    /// The response lacks the header.
    Absent,
    /// The header's value.
    Value(T),
    /// The header cannot be read.
    Malformed,
}

/// Highest rate that is taken for one; beyond it, a number is an error of the target's.
const MAX_RATE: f64 = 1e9;

/// Parses a rate as a decimal number of requests a second; `None` if it is not one.
pub fn decimal_rate(text: &str) -> Option<f64> {
    decimal(text).filter(|rate| *rate <= MAX_RATE)
}

/// Parses a time as a decimal number of seconds; `None` if it is not one. A number that is too
/// large for a [`Duration`] is the longest.
pub fn decimal_seconds(text: &str) -> Option<Duration> {
    let seconds = decimal(text)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses digits with at most one point: no sign, no exponent.
fn decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| is_decimal)
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
    pub parse_rate: fn(&HeaderMap) -> Reported<f64>,
    /// Reads whether a response says that its target is leaving.
    pub parse_leaving: fn(&HeaderMap) -> Reported<bool>,
    /// Reads for how long a target that rejects a request wants no others of this host. Of several
    /// values, the longest counts.
    pub parse_backoff: fn(&HeaderMap) -> Reported<Duration>,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Path of lookups.
    pub lookup_path: &'static str,
    /// Reads the query of a lookup.
    pub parse_lookup: fn(&Uri) -> Option<LookupQuery>,
    /// Returns the body and the content type of a lookup's response.
    pub encode_lookup: fn(&[SocketAddr], Duration) -> (Bytes, &'static str),
}
