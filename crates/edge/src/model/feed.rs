//! Access to the platform's store, as closures that an adapter gives.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use super::{HostEntry, Item};

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum FeedError {
    /// No answer, or one that says that the store does not serve this host now.
    #[error("the store is away: {0}")]
    Away(String),
    /// The history after the asked revision is dropped; read anew.
    #[error("the store's history is dropped")]
    Dropped,
    /// The lease has ended; announce anew.
    #[error("the lease has ended")]
    Ended,
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// All items.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision that is certainly contained; changes are followed from here.
    pub at: u64,
    /// The items, in any order.
    pub items: Vec<Item>,
}

/// Items that changed.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Revision up to which nothing is missing.
    pub at: u64,
    /// The items, oldest change first.
    pub items: Vec<Item>,
}

/// A lease under which this host is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(pub u64);

/// A call to the store with one argument.
pub type Call<A, T> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<T, FeedError>> + Send + Sync>;

/// The platform's store, as far as a host needs it. Clones share what is underneath.
#[derive(Clone)]
pub struct Feed {
    /// Reads all items.
    pub read: Call<(), Snapshot>,
    /// Waits for changes after a revision, at most for a time; no items where there are none.
    pub wait: Call<(u64, Duration), Batch>,
    /// Announces this host under a new lease that lasts for a time.
    pub announce: Call<(Arc<HostEntry>, Duration), Ticket>,
    /// Renews the lease.
    pub renew: Call<Ticket, ()>,
    /// Ends the lease, and the entry with it.
    pub withdraw: Call<Ticket, ()>,
}

impl std::fmt::Debug for Feed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Feed")
    }
}
