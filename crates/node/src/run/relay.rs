//! Forwards a request to the owner of its idempotency key, if the caller sent it to a host that the
//! key does not name.
//!
//! A key names two hosts: the owner, which callers try first, and the witness, which grants the
//! owner the claim to run the request, or runs it itself.

use dunlinrock_coord::once::Key;

use super::{Clients, forward};
use crate::{
    call::Call,
    shared::Shared,
    wire::{Answer, CallError, ProblemKind},
};

/// Path on which an owner receives the requests that are forwarded to it.
pub const CALL_PATH: &str = "/peer/v1/call";

/// Forwards `call` to the owner of its idempotency key.
///
/// The request is never forwarded to the witness: the caller counts this attempt as one at the
/// owner, and an owner that has closed the key answers `run: no` on the premise that all attempts
/// were sent to it. An attempt forwarded to the witness without the caller's knowledge would make
/// that `no` wrong.
pub async fn relay(
    shared: &Shared,
    clients: &Clients,
    call: &Call,
    key: &Key,
) -> Result<Answer, CallError> {
    let view = shared.view.load_full();
    let Some(owner) = view.incarnations.get(&key.owner.incarnation) else {
        let detail = "the owner that the key names is gone; send the key to its witness";
        return Err(CallError::unknown(ProblemKind::KeyRefused, detail));
    };
    if call.hops > 0 {
        return Err(CallError::unknown(
            ProblemKind::KeyRefused,
            "the key names other hosts",
        ));
    }
    forward::forward_keyed(clients, owner, call).await
}
