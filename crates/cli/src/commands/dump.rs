//! `dump`: the whole state of a host.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dunlinrock_node::wire::{Answer, Client};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

use crate::{
    args::Dump,
    exit::{Exit, Failure},
    out,
    rt::block_on,
};

/// Largest answer taken, in bytes.
const ANSWER: usize = 256 << 20;

/// Time that a host has to answer.
const CALL: Duration = Duration::from_secs(5);

/// Prints a host's state.
pub(crate) fn dump(args: &Dump) -> Result<(), Failure> {
    let answer = block_on(get(args.at, "/peer/v1/dump"))??;
    let value = serde_json::from_slice::<Value>(&answer.body).ok();
    let Some(value) = value.filter(|_| answer.status == StatusCode::OK) else {
        let message = format!(
            "{} gave no dump; is it the address of a host for other hosts (`peers`)?",
            args.at
        );
        return Err(Failure::open(Exit::Failed, message));
    };
    out::line(format_args!("{value:#}"))?;
    Ok(())
}

/// Reads the revision that a host follows.
pub(crate) async fn revision(at: SocketAddr) -> Option<u64> {
    let answer = get(at, "/peer/v1/dump").await.ok()?;
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    value.get("revision")?.as_u64()
}

/// Reads a path of a host.
pub(crate) async fn get(at: SocketAddr, path: &str) -> Result<Answer, Failure> {
    let away = |e: &dyn std::fmt::Display| {
        Failure::open(Exit::Away, format!("no host answered at {at}: {e}"))
    };
    let req = Request::get(format!("http://{at}{path}")).body(Full::<Bytes>::default());
    let req = req.map_err(|e| Failure::open(Exit::Usage, format!("{path}: {e}")))?;
    let answer = Client::open(ANSWER).call(req, CALL).await;
    answer.map_err(|e| away(&e))
}
