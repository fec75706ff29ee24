//! Whether this host may use its share of the limits that hosts divide.
//!
//! Each host divides a limit by the hosts that it knows. The shares add up to at most the limit only
//! if every host that uses one is known to all others that do. So a host uses its share once it has
//! been listed long enough, and only while its list is fresh. Otherwise a host that knows no others
//! would take the whole limit, and one that is cut off while others join would take too much.

use std::time::Duration;

/// This host's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Hosts among which the limit is divided.
    pub hosts: usize,
    /// Since when this host may use its share; `None` while it may not.
    pub since: Option<Duration>,
    /// Whether certainly nobody has used it before: neither a predecessor under this host's name,
    /// nor the other hosts while they divided the limit without this one.
    pub is_unused: bool,
}

/// This host's entry in the list, as it was last seen.
#[derive(Clone, Copy, Debug)]
struct Listing<Id> {
    /// Identifies the entry: one that expired and was announced again is another.
    created: Id,
    since: Duration,
}

/// Tracks since when this host is listed. `Id` identifies an entry of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnShare<Id> {
    join_delay: Duration,
    is_unused: bool,
    is_read: bool,
    listing: Option<Listing<Id>>,
}

impl<Id: Copy + PartialEq> OwnShare<Id> {
    /// Opens the share of a host that is not listed. After `join_delay` in the list, every other
    /// host knows it or has a list that is too old to use its own share.
    ///
    /// `first_start` states that no host ran before. Settings may still say so when a process is
    /// started again, so it counts only if the first list that is read lacks this host.
    pub fn open(join_delay: Duration, first_start: bool) -> OwnShare<Id> {
        OwnShare {
            join_delay,
            is_unused: first_start,
            is_read: false,
            listing: None,
        }
    }

    /// Records a list: `created` identifies this host's entry in it, and `is_read` tells whether
    /// any list was read at all.
    pub fn update(&mut self, created: Option<Id>, is_read: bool, now: Duration) {
        let is_first = is_read && !self.is_read;
        self.is_read |= is_read;
        let is_same = self.listing.map(|l| l.created) == created;
        if is_same {
            return;
        }
        self.is_unused &= !is_first && self.listing.is_none();
        self.listing = created.map(|created| Listing {
            created,
            since: now,
        });
    }

    /// Returns this host's share among `hosts`.
    pub fn share(&self, hosts: usize, is_fresh: bool, now: Duration) -> HostShare {
        let since = self.listing.map(|l| l.since + self.join_delay);
        HostShare {
            hosts,
            since: since.filter(|since| is_fresh && *since <= now),
            is_unused: self.is_unused,
        }
    }
}
