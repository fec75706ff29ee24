//! How callers and targets of a platform say what a host needs to know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Uri};

use super::KeyDigest;

/// What a look-up asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// Region of the caller.
    pub region: Arc<str>,
    /// Failure domain of the caller.
    pub domain: Arc<str>,
}

/// Load as a target reports it with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How a caller says who it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// It does not.
    Missing,
    /// By a key.
    Key(KeyDigest),
    /// In a way that names no key, or several.
    Malformed,
}

/// Names and formats of headers and paths. Functions decode; nothing here decides.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with a request's id; callers choose it, targets echo it.
    pub request_id: HeaderName,
    /// Header with the milliseconds that are left.
    pub time_left: HeaderName,
    /// Header that names the one target that may run a request.
    pub expected_target: HeaderName,
    /// Header of an answer that says that the request did not run.
    pub not_run: HeaderName,
    /// Header by which a target signs its answers.
    pub signature: HeaderName,
    /// Header by which callers say who they are; targets are not shown it.
    pub credentials: HeaderName,
    /// What a caller is told that sent no known key.
    pub challenge: &'static str,
    /// How a caller says who it is.
    pub parse_credentials: fn(&HeaderMap) -> Credentials,
    /// Header that tells a target a request's workspace.
    pub workspace: HeaderName,
    /// Names the object of a request.
    pub affinity_key: fn(&HeaderMap) -> Option<&str>,
    /// Load that an answer reports.
    pub parse_load: fn(&HeaderMap) -> Option<ReportedLoad>,
    /// Path on which readiness is asked.
    pub ready_path: &'static str,
    /// Path of look-ups.
    pub lookup_path: &'static str,
    /// What a look-up asks, from its query.
    pub parse_lookup: fn(&Uri) -> Option<LookupQuery>,
    /// Body of a look-up's answer, and its content type.
    pub encode_lookup: fn(&[SocketAddr], Duration) -> (Bytes, &'static str),
}
