//! Computes the identity of a request across its repeats.

use dunlinrock_decide::steer::hash::{hash_bytes, hash_parts};
use http::{header, request::Parts};

use super::access::Access;
use crate::model::Fingerprint;

/// Hashes what a target acts on: method, host, path with query, workspace, affinity key and body.
pub(super) fn fingerprint(
    head: &Parts,
    body: &[u8],
    access: &Access,
    affinity_key: &str,
) -> Fingerprint {
    let host = head.headers.get(header::HOST);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let workspace = access.workspace.as_ref().map_or("", |w| &*w.name);
    Fingerprint(hash_parts(&[
        head.method.as_str().as_bytes(),
        host.map_or(&[], |v| v.as_bytes()),
        path.as_bytes(),
        workspace.as_bytes(),
        affinity_key.as_bytes(),
        // Hashed apart: the parts are copied, and a body may be large.
        &hash_bytes(body).to_be_bytes(),
    ]))
}
