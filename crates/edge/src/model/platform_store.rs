//! The platform's store, as closures that an adapter provides.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use super::{HostEntry, Item, QuarantineEntry};

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformStoreError {
    /// No response, or one that says that the store does not serve this host now.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The history after the requested revision was compacted; a full read is needed.
    #[error("the store's history was compacted")]
    Compacted,
    /// The lease has expired; the host must announce itself again.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The item is not at the expected revision.
    #[error("another host has changed the item")]
    Conflict,
    /// The parts of the answer are of different eras.
    #[error("the store has begun another era")]
    OtherEra,
    /// The response cannot be read.
    #[error("unreadable response: {0}")]
    Unreadable(String),
}

/// All items.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision that is certainly contained; changes are followed from here.
    pub revision: u64,
    /// The items, in any order.
    pub items: Vec<Item>,
}

/// Items that changed.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Revision up to which nothing is missing.
    pub revision: u64,
    /// The items, oldest change first.
    pub items: Vec<Item>,
}

/// A change of the entry of a request in quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineWrite {
    /// The new entry.
    pub entry: QuarantineEntry,
    /// Revision of the entry that it replaces; 0 if there is none.
    pub expected: u64,
    /// How long the store keeps it.
    pub ttl: Duration,
}

/// Id of the lease under which this host is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// An answer of the store, or the error that there was none.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Era that the answer tells, whatever its status; `None` if it tells none.
    pub era: Option<u64>,
    /// What the call returned.
    pub result: Result<T, PlatformStoreError>,
}

/// A call to the store with one argument.
pub type StoreCall<A, T> = Arc<dyn Fn(A) -> BoxFuture<'static, Answer<T>> + Send + Sync>;

/// Client of the platform's store, with the calls that a host needs. Clones share the connection.
#[derive(Clone)]
pub struct PlatformStore {
    /// Reads all items.
    pub list: StoreCall<(), Snapshot>,
    /// Waits for changes after a revision, at most for the given time; returns no items if there
    /// are none.
    pub watch: StoreCall<(u64, Duration), Batch>,
    /// Announces this host under a new lease with the given duration.
    pub announce: StoreCall<(Arc<HostEntry>, Duration), LeaseId>,
    /// Renews the lease.
    pub renew: StoreCall<LeaseId, ()>,
    /// Ends the lease, and the entry with it.
    pub withdraw: StoreCall<LeaseId, ()>,
    /// Announces a request in quarantine to all hosts; returns the revision of its entry.
    pub quarantine: StoreCall<QuarantineWrite, u64>,
    /// Ends the quarantine of the request with this fingerprint, if its entry has this revision.
    pub release: StoreCall<(u64, u64), ()>,
}

impl std::fmt::Debug for PlatformStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Feed")
    }
}
