//! Whether this host may use its share of the limits that hosts divide.
//!
//! Each host divides a limit by the hosts that it knows. The shares add up to at most the limit only
//! if every host that uses one is known to all others that do. So a host uses its share once it has
//! been listed long enough, and only while its list is fresh. A host that never learned of the others
//! would take the whole limit otherwise, as would a host that is cut off when others join.

use std::time::Duration;

/// This host's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Hosts among which the limit is divided.
    pub hosts: usize,
    /// Since when this host may use its share; `None` while it may not.
    pub since: Option<Duration>,
}

/// This host's entry in the list, as it was last seen.
#[derive(Clone, Copy, Debug)]
struct Listing {
    /// Identifies the entry: one that expired and was announced again is another.
    created: u64,
    since: Duration,
}

/// Tracks since when this host is listed.
#[derive(Clone, Copy, Debug)]
pub struct OwnShare {
    join_delay: Duration,
    listing: Option<Listing>,
}

impl OwnShare {
    /// Opens the share of a host that is not listed. After `join_delay` in the list, every other
    /// host knows it or has a list that is too old to use its own share.
    pub fn open(join_delay: Duration) -> OwnShare {
        OwnShare {
            join_delay,
            listing: None,
        }
    }

    /// Records a new list: `created` identifies this host's entry in it.
    pub fn update(&mut self, created: Option<u64>, now: Duration) {
        let known = self.listing.filter(|l| Some(l.created) == created);
        self.listing = known.or(created.map(|created| Listing {
            created,
            since: now,
        }));
    }

    /// Returns from when on this host may use its share while its list is fresh.
    pub fn usable_from(&self) -> Option<Duration> {
        self.listing.map(|l| l.since + self.join_delay)
    }
}
