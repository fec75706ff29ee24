//! The platform's store as this host knows it: its calls, and the era that its answers tell.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::model::{
    Answer, Batch, HostEntry, LeaseId, PlatformStore, PlatformStoreError, QuarantineWrite, Snapshot,
};

/// The store, and the highest era known.
#[derive(Debug)]
pub struct Store {
    calls: PlatformStore,
    /// Never decreases; 0 until an answer tells one.
    era: watch::Sender<u64>,
}

impl Store {
    /// Opens the store; no era is known yet.
    pub fn open(calls: PlatformStore) -> Store {
        Store {
            calls,
            era: watch::channel(0).0,
        }
    }

    /// Returns the highest era known; 0 if none is.
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Returns a receiver that wakes when a higher era becomes known.
    pub fn eras(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Reads all items.
    ///
    /// # Errors
    ///
    /// As all calls: when the store does not answer or its answer cannot be used.
    pub async fn list(&self) -> Result<Snapshot, PlatformStoreError> {
        self.note((self.calls.list)(()).await)
    }

    /// Waits for changes after a revision, at most for the given time.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the store no longer has the history after the revision.
    pub async fn watch(&self, after: u64, time: Duration) -> Result<Batch, PlatformStoreError> {
        self.note((self.calls.watch)((after, time)).await)
    }

    /// Announces this host under a new lease.
    ///
    /// # Errors
    ///
    /// As [`Store::list`].
    pub async fn announce(
        &self,
        host: Arc<HostEntry>,
        time: Duration,
    ) -> Result<LeaseId, PlatformStoreError> {
        self.note((self.calls.announce)((host, time)).await)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the lease has expired.
    pub async fn renew(&self, lease: LeaseId) -> Result<(), PlatformStoreError> {
        self.note((self.calls.renew)(lease).await)
    }

    /// Ends a lease, and the entry with it.
    ///
    /// # Errors
    ///
    /// As [`Store::list`].
    pub async fn withdraw(&self, lease: LeaseId) -> Result<(), PlatformStoreError> {
        self.note((self.calls.withdraw)(lease).await)
    }

    /// Announces a request in quarantine; returns the revision of its entry.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the entry is not at the expected revision.
    pub async fn quarantine(&self, write: QuarantineWrite) -> Result<u64, PlatformStoreError> {
        self.note((self.calls.quarantine)(write).await)
    }

    /// Ends the quarantine of the request with a fingerprint if its entry has a revision.
    ///
    /// # Errors
    ///
    /// As [`Store::quarantine`].
    pub async fn release(&self, fingerprint: u64, revision: u64) -> Result<(), PlatformStoreError> {
        self.note((self.calls.release)((fingerprint, revision)).await)
    }

    /// Records the era of an answer.
    fn note<T>(&self, answer: Answer<T>) -> Result<T, PlatformStoreError> {
        let era = answer.era.unwrap_or_else(|| self.era());
        let known = self.era();
        if era < known {
            log::info!(target: "store", event = "earlier_era", era = era, known = known; "a late answer of the store");
        }
        self.era.send_if_modified(|known| {
            let from = std::mem::replace(known, era.max(*known));
            if era > from {
                log::info!(target: "store", event = "era", from = from, to = era; "the store tells a new era: it may have returned from an older copy");
            }
            era > from
        });
        answer.result
    }
}
