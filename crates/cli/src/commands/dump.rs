//! `dump`: prints the complete state of a host.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dunlinrock_node::wire::{Answer, Client};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

use crate::{
    args::Dump,
    exit::{CliError, Exit},
    output,
    runtime::block_on,
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Timeout of a call to a host.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints a host's state.
pub(crate) fn dump(args: &Dump) -> Result<(), CliError> {
    let answer = block_on(get(args.at, "/peer/v1/dump"))??;
    let value = serde_json::from_slice::<Value>(&answer.body).ok();
    let Some(value) = value.filter(|_| answer.status == StatusCode::OK) else {
        let message = format!(
            "{} returned no dump; is it the address of a host for other hosts (`peers`)?",
            args.at
        );
        return Err(CliError::open(Exit::Failed, message));
    };
    output::line(format_args!("{value:#}"))?;
    Ok(())
}

/// The configuration revision that a host has applied.
pub(crate) struct HostRevision {
    /// Revision number.
    pub(crate) revision: u64,
    /// Revisions and ids of the most recent applies, newest first.
    applies: Vec<(u64, String)>,
}

impl HostRevision {
    /// Returns whether the host has applied this apply or a later one.
    ///
    /// A store that lost its data counts revisions from 1 again, while hosts keep the highest
    /// revision that they have seen, so the revision alone could wrongly indicate success. The id
    /// is therefore compared too. An apply older than those listed counts as applied.
    pub(crate) fn has_applied(&self, revision: u64, id: Option<&str>) -> bool {
        let listed = self.applies.iter().find(|(at, _)| *at == revision);
        let other = listed.is_some_and(|(_, listed)| id.is_some_and(|id| listed != id));
        self.revision >= revision && !other
    }
}

/// Reads the revision that a host has applied; `None` if the host does not return a valid dump.
pub(crate) async fn host_revision(at: SocketAddr) -> Option<HostRevision> {
    let answer = get(at, "/peer/v1/dump").await.ok()?;
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let revision = value.get("revision")?.as_u64()?;
    let listed = value.pointer("/control/applies").and_then(Value::as_array);
    let applies = listed.into_iter().flatten().filter_map(|entry| {
        let id = entry.get("id")?.as_str()?;
        Some((entry.get("revision")?.as_u64()?, id.to_owned()))
    });
    Some(HostRevision {
        revision,
        applies: applies.collect(),
    })
}

/// Sends a GET request to a host.
pub(crate) async fn get(at: SocketAddr, path: &str) -> Result<Answer, CliError> {
    call(Method::GET, at, path).await
}

/// Sends a request without a body to a host.
pub(super) async fn call(method: Method, at: SocketAddr, path: &str) -> Result<Answer, CliError> {
    let away = |e: &dyn std::fmt::Display| {
        CliError::open(Exit::Unreachable, format!("no host answered at {at}: {e}"))
    };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"))
        .body(Full::<Bytes>::default());
    let req = req.map_err(|e| CliError::open(Exit::Usage, format!("{path}: {e}")))?;
    let answer = Client::open(MAX_RESPONSE_BYTES)
        .call(req, CALL_TIMEOUT)
        .await;
    answer.map_err(|e| away(&e))
}
