//! Passes a keyed request on to its owner, for a caller that asked a third host.

use dunlinrock_coord::once::Key;

use super::{Clients, forward};
use crate::{
    call::Call,
    shared::Shared,
    wire::{Answer, CallError, ProblemKind},
};

/// Path on which hosts take keyed requests that a third host passes on.
pub const CALL_PATH: &str = "/peer/v1/call";

/// Passes `call` on to the owner of its key.
///
/// Only ever to the owner: the caller counts this attempt as one to the owner, and a closed owner
/// says `run: no` on the word that all attempts came to it. An attempt passed on to the witness
/// without the caller's knowledge would make that `no` a false one.
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
