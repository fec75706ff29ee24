//! The platform's store, as closures that an adapter provides.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use super::{HostEntry, Item, QuarantineEntry, Revision};

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
    /// The answer, or a part of it, is of another era than the call.
    #[error("the answer is of another era of the store")]
    OtherEra,
    /// The response cannot be read.
    #[error("unreadable response: {0}")]
    Unreadable(String),
}

/// All items.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision that is certainly contained; changes are followed from here.
    pub revision: Revision,
    /// The items, in any order.
    pub items: Vec<Item>,
}

/// Items that changed.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Revision up to which nothing is missing.
    pub revision: Revision,
    /// The items, oldest change first.
    pub items: Vec<Item>,
}

/// A change of the entry of a request in quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineWrite {
    /// The new entry.
    pub entry: QuarantineEntry,
    /// Revision of the entry that it replaces; [`Revision::NONE`] if there is none.
    pub expected: Revision,
    /// How long the store keeps it.
    pub ttl: Duration,
}

/// A lease. Its number is given out again after the store has returned from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Era in which it was given out.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

/// The announcement of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Lease that it is kept under.
    pub lease: Lease,
    /// Revision of the entry.
    pub revision: Revision,
}

/// An answer of the store, or the error that there was none. Its revisions and leases have era 0;
/// [`Store`](crate::store::Store) sets it.
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
    pub watch: StoreCall<(Revision, Duration), Batch>,
    /// Announces this host under a new lease with the given duration.
    pub announce: StoreCall<(Arc<HostEntry>, Duration), Announcement>,
    /// Renews the lease.
    pub renew: StoreCall<Lease, ()>,
    /// Removes the entry of the host with this name, if it has this revision.
    pub withdraw: StoreCall<(Arc<str>, Revision), ()>,
    /// Announces a request in quarantine to all hosts; returns the revision of its entry.
    pub quarantine: StoreCall<QuarantineWrite, Revision>,
    /// Ends the quarantine of the request with this fingerprint, if its entry has this revision.
    pub release: StoreCall<(u64, Revision), ()>,
}

impl std::fmt::Debug for PlatformStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Feed")
    }
}
