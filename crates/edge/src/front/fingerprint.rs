//! Identity of a request across its repeats.
//!
//! A caller that sends a request again gives it another id. What the request asks of a target stays
//! the same, and so does its fingerprint, at every host.

use std::fmt;

use dunlinrock_decide::steer::hash::hash_parts;
use http::{header, request::Parts};

use super::access::Access;

/// Hash over what a target acts on: method, host, path with query, workspace, affinity key and
/// body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fingerprint(pub(crate) u64);

impl Fingerprint {
    /// Computes the fingerprint of a request of a caller with this access.
    pub(super) fn of(head: &Parts, body: &[u8], access: &Access, affinity_key: &str) -> Self {
        let host = head.headers.get(header::HOST);
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let workspace = access.workspace.as_ref().map_or("", |w| &*w.name);
        Fingerprint(hash_parts(&[
            head.method.as_str().as_bytes(),
            host.map_or(&[], |v| v.as_bytes()),
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
