//! Keeps this host announced under a lease while it accepts callers.

use std::{sync::Arc, time::Duration};

use dunlinrock_node::clock::since_boot;
use tokio::sync::watch;

use crate::{
    host::{Phase, Shared},
    model::{Announcement, HostEntry, PlatformStoreError},
};

/// Lease of the announcement: lookups name a host for at most this long after it fails.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// How much earlier than the store this host considers its lease expired.
const LEASE_SLACK: Duration = Duration::from_millis(200);

/// Interval between renewals; two may fail before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1300);

/// Backoff after a failed call.
const BACKOFF: Duration = Duration::from_millis(500);

/// This host's announcement.
struct Announcer {
    shared: Arc<Shared>,
    eras: watch::Receiver<u64>,
    current: Option<Announcement>,
    was_announced: bool,
}

/// Announces this host, renews its lease, and withdraws it at a graceful shutdown.
pub(super) async fn announce(shared: Arc<Shared>) {
    let mut phase = shared.phase.subscribe();
    let mut announcer = Announcer {
        eras: shared.store.eras(),
        shared: Arc::clone(&shared),
        current: None,
        was_announced: false,
    };
    loop {
        tokio::select! {
            () = announcer.step() => {}
            // The sender is in `shared`.
            _ = phase.wait_for(|phase| *phase > Phase::Serving) => break,
        }
    }
    shared.token_issuer.set_lease_end(Duration::ZERO);
    let name = Arc::clone(&shared.settings.name);
    if let Some(current) = announcer.current
        && let Err(e) = shared.store.withdraw(name, current.revision).await
    {
        log::warn!(target: "store", event = "withdraw_failed", error:% = e; "other hosts see it when the lease expires");
    }
}

impl Announcer {
    /// Makes one call and waits until the next is due.
    async fn step(&mut self) {
        let (sent, is_new) = (since_boot(), self.current.is_none());
        let result = match self.current {
            None => self.announce().await,
            Some(current) => self.shared.store.renew(current.lease).await,
        };
        match result {
            Ok(()) => {
                self.announced(sent, is_new);
                self.wait_for_renewal().await;
            }
            Err(PlatformStoreError::LeaseExpired) => self.lease_ended(),
            Err(e) => {
                log::debug!(target: "store", error:% = e; "announcement failed");
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }

    fn announced(&mut self, sent: Duration, is_new: bool) {
        let issuer = &self.shared.token_issuer;
        if is_new && std::mem::replace(&mut self.was_announced, true) {
            issuer.note_reannounced();
        }
        // After an announcement the lease began a few calls later than `sent`.
        issuer.set_lease_end(sent + LEASE_TTL.saturating_sub(LEASE_SLACK));
    }

    fn lease_ended(&mut self) {
        log::warn!(target: "store", event = "lease_ended"; "announcing the host again");
        self.shared.token_issuer.set_lease_end(Duration::ZERO);
        self.current = None;
    }

    /// Waits until the renewal is due or another era begins, in which this host has no lease.
    async fn wait_for_renewal(&mut self) {
        let own = self.current.map(|current| current.lease.era);
        let other = self.eras.wait_for(|era| Some(*era) != own);
        // The sender is in `shared`.
        let _ = tokio::time::timeout(RENEWAL_INTERVAL, other).await;
    }

    async fn announce(&mut self) -> Result<(), PlatformStoreError> {
        let store_distance = self.store_distance().await?;
        let me = Arc::new(self.shared.host_entry(store_distance));
        self.current = Some(self.shared.store.announce(me, LEASE_TTL).await?);
        Ok(())
    }

    /// Measures the round-trip time to the store in steps of [`HostEntry::DISTANCE_STEP`]: once to
    /// open a connection, and once on it.
    async fn store_distance(&self) -> Result<u32, PlatformStoreError> {
        let mut time = Duration::ZERO;
        for _ in 0..2 {
            let start = self.shared.now();
            self.shared.store.ping().await?;
            time = self.shared.now() - start;
        }
        let steps = time.as_millis() / HostEntry::DISTANCE_STEP.as_millis();
        Ok(u32::try_from(steps).unwrap_or(u32::MAX))
    }
}
