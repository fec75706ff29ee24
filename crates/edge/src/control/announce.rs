//! Keeps this host announced under a lease while it accepts callers.

use std::{sync::Arc, time::Duration};

use dunlinrock_node::clock::since_boot;

use crate::{
    host::{Phase, Shared},
    model::{HostEntry, LeaseId, PlatformStoreError},
};

/// Lease of the announcement: lookups name a host for at most this long after it fails.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// How much earlier than the store this host considers its lease expired.
const LEASE_SLACK: Duration = Duration::from_millis(200);

/// Interval between renewals; two may fail before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1300);

/// Backoff after a failed call.
const BACKOFF: Duration = Duration::from_millis(500);

/// Announces this host, renews its lease, and withdraws it at a graceful shutdown.
pub(super) async fn announce(shared: Arc<Shared>) {
    let mut phase = shared.phase.subscribe();
    let (mut lease, mut was_announced) = (None, false);
    loop {
        tokio::select! {
            () = renew_or_announce(&shared, &mut lease, &mut was_announced) => {}
            // The sender is in `shared`.
            _ = phase.wait_for(|phase| *phase > Phase::Serving) => break,
        }
    }
    shared.token_issuer.set_lease_end(Duration::ZERO);
    if let Some(lease) = lease
        && let Err(e) = shared.store.withdraw(lease).await
    {
        log::warn!(target: "store", event = "withdraw_failed", error:% = e; "other hosts see it when the lease expires");
    }
}

/// Makes one call and waits until the next is due.
async fn renew_or_announce(shared: &Shared, lease: &mut Option<LeaseId>, was_announced: &mut bool) {
    let (sent, is_new) = (since_boot(), lease.is_none());
    let result = match *lease {
        None => announce_host(shared).await.map(|t| *lease = Some(t)),
        Some(id) => shared.store.renew(id).await,
    };
    match result {
        Ok(()) => {
            if is_new && std::mem::replace(was_announced, true) {
                shared.token_issuer.note_reannounced();
            }
            // After an announcement the lease began a few calls later than `sent`.
            shared
                .token_issuer
                .set_lease_end(sent + LEASE_TTL.saturating_sub(LEASE_SLACK));
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
        Err(PlatformStoreError::LeaseExpired) => {
            log::warn!(target: "store", event = "lease_ended"; "announcing the host again");
            *lease = None;
        }
        Err(e) => {
            log::debug!(target: "store", error:% = e; "announcement failed");
            tokio::time::sleep(BACKOFF).await;
        }
    }
}

async fn announce_host(shared: &Shared) -> Result<LeaseId, PlatformStoreError> {
    let store_distance = store_distance(shared).await?;
    let me = Arc::new(shared.host_entry(store_distance));
    shared.store.announce(me, LEASE_TTL).await
}

/// Measures the round-trip time to the store in steps of [`HostEntry::DISTANCE_STEP`], by renewing
/// a lease that does not exist: once to open a connection, and once on it.
async fn store_distance(shared: &Shared) -> Result<u32, PlatformStoreError> {
    let mut time = Duration::ZERO;
    for _ in 0..2 {
        let start = shared.now();
        match shared.store.renew(LeaseId(0)).await {
            Ok(()) | Err(PlatformStoreError::LeaseExpired) => time = shared.now() - start,
            Err(e) => return Err(e),
        }
    }
    let steps = time.as_millis() / HostEntry::DISTANCE_STEP.as_millis();
    Ok(u32::try_from(steps).unwrap_or(u32::MAX))
}
