//! Applies deferred removals when they are due.

use std::{sync::Arc, time::Duration};

use crate::host::Shared;

/// Applies deferred removals for as long as the host runs. A task of its own: the follower may wait
/// seconds for a response, and callers would be sent to a host that has ended for as long.
pub(super) async fn apply_when_due(shared: Arc<Shared>) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let due = shared.replica().next_deferred();
        tokio::select! {
            () = wait_until(&shared, due) => shared.apply_deferred(),
            // The sender is in `shared`.
            _ = changed.changed() => {}
        }
    }
}

async fn wait_until(shared: &Shared, due: Option<Duration>) {
    match due {
        Some(due) => tokio::time::sleep(due.saturating_sub(shared.now())).await,
        None => std::future::pending().await,
    }
}
