//! Identity of a request across its repeats.
//!
//! A caller that sends a request again gives it another id. What the request asks of a target stays
//! the same, and so does its fingerprint, at every host.

use std::fmt;

use dunlinrock_decide::steer::hash::hash_parts;
use http::header;

use super::{access::Access, attempt::OutboundRequest};

/// Hash over what a target acts on: method, host, path with query, workspace, affinity key and
/// body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Fingerprint(pub(super) u64);

impl Fingerprint {
    /// Computes the fingerprint of a request of a caller with this access.
    pub(super) fn of(outbound: &OutboundRequest, access: &Access, affinity_key: &str) -> Self {
        let OutboundRequest {
            method,
            uri,
            headers,
            body,
            ..
        } = outbound;
        let host = headers.get(header::HOST).map_or(&[][..], |v| v.as_bytes());
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        let workspace = access.workspace.as_ref().map_or("", |w| &*w.name);
        Fingerprint(hash_parts(&[
            method.as_str().as_bytes(),
            host,
            path.as_bytes(),
            workspace.as_bytes(),
            affinity_key.as_bytes(),
            body,
        ]))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
