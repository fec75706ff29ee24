//! The platform's store as this host knows it: its calls, and the era that its answers tell.
//!
//! A store that returns from an older copy loses its last changes, begins the next era, and gives
//! out revisions and numbers of leases again. Here each answer gets its era, an answer of an earlier
//! era than the highest known one is dropped, and nothing of one era is used in a call of another.

mod in_era;

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use self::in_era::InEra;
use crate::model::{
    Announcement, Answer, Batch, HostEntry, Lease, PlatformStore, PlatformStoreError,
    QuarantineWrite, Revision, Snapshot,
};

/// A lease that no host has.
const NO_LEASE: Lease = Lease { era: 0, number: 0 };

/// The store, and the highest era known.
#[derive(Debug)]
pub struct Store {
    calls: PlatformStore,
    /// Never decreases; 0 until an answer or another host tells one.
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

    /// Records an era that an answer or another host tells.
    pub fn learn(&self, era: u64) {
        self.era.send_if_modified(|known| {
            let from = std::mem::replace(known, era.max(*known));
            if era > from {
                log::info!(target: "store", event = "era", from = from, to = era; "the store has begun another era: it may have returned from an older copy");
            }
            era > from
        });
    }

    /// Reads all items.
    ///
    /// # Errors
    ///
    /// As all calls: when the store does not answer, its answer cannot be used, or the answer is of
    /// an earlier era than the known one.
    pub async fn list(&self) -> Result<Snapshot, PlatformStoreError> {
        self.accept((self.calls.list)(()).await)
    }

    /// Waits for changes after a revision, at most for the given time.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the store no longer has the history after the revision, or has
    /// begun another era: its changes are no continuation then.
    pub async fn watch(
        &self,
        after: Revision,
        time: Duration,
    ) -> Result<Batch, PlatformStoreError> {
        let batch = self.accept((self.calls.watch)((after, time)).await)?;
        match batch.revision.era == after.era {
            true => Ok(batch),
            false => Err(PlatformStoreError::OtherEra),
        }
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
    ) -> Result<Announcement, PlatformStoreError> {
        self.accept((self.calls.announce)((host, time)).await)
    }

    /// Renews a lease. In another era its number may be that of another host's lease, which the
    /// call then has renewed once if it told the era.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the lease has expired or is of another era.
    pub async fn renew(&self, lease: Lease) -> Result<(), PlatformStoreError> {
        if lease.era != self.era() {
            return Err(PlatformStoreError::LeaseExpired);
        }
        self.accept((self.calls.renew)(lease).await)?;
        match lease.era == self.era() {
            true => Ok(()),
            false => Err(PlatformStoreError::LeaseExpired),
        }
    }

    /// Makes a call without any effect.
    ///
    /// # Errors
    ///
    /// As [`Store::list`].
    pub async fn ping(&self) -> Result<(), PlatformStoreError> {
        match self.accept((self.calls.renew)(NO_LEASE).await) {
            Err(PlatformStoreError::LeaseExpired) => Ok(()),
            result => result,
        }
    }

    /// Removes the entry of the host with this name, if it has this revision. Also in another era
    /// than that of the revision: under its key, only this host writes.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the entry has another revision.
    pub async fn withdraw(
        &self,
        name: Arc<str>,
        revision: Revision,
    ) -> Result<(), PlatformStoreError> {
        self.accept((self.calls.withdraw)((name, revision)).await)
    }

    /// Announces a request in quarantine; returns the revision of its entry.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; also when the entry is not at the expected revision, which includes a
    /// revision of another era.
    pub async fn quarantine(&self, write: QuarantineWrite) -> Result<Revision, PlatformStoreError> {
        self.check_condition(write.expected)?;
        self.accept((self.calls.quarantine)(write).await)
    }

    /// Ends the quarantine of the request with a fingerprint if its entry has a revision.
    ///
    /// # Errors
    ///
    /// As [`Store::quarantine`].
    pub async fn release(
        &self,
        fingerprint: u64,
        revision: Revision,
    ) -> Result<(), PlatformStoreError> {
        self.check_condition(revision)?;
        self.accept((self.calls.release)((fingerprint, revision)).await)
    }

    /// Checks that the condition of a write is of the known era: the store compares numbers alone.
    fn check_condition(&self, expected: Revision) -> Result<(), PlatformStoreError> {
        match expected == Revision::NONE || expected.era == self.era() {
            true => Ok(()),
            false => Err(PlatformStoreError::Conflict),
        }
    }

    /// Records the era of an answer and sets it in the result. An answer that tells none is of the
    /// known era.
    fn accept<T: InEra>(&self, answer: Answer<T>) -> Result<T, PlatformStoreError> {
        let era = answer.era.unwrap_or_else(|| self.era());
        self.learn(era);
        let known = self.era();
        if era < known {
            log::info!(target: "store", event = "earlier_era", era = era, known = known; "a late answer of the store is dropped");
            return Err(PlatformStoreError::OtherEra);
        }
        answer.result.map(|value| value.in_era(era))
    }
}
