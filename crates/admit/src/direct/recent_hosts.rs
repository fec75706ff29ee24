//! The hosts among which a limit is divided.
//!
//! While targets shed, the store may be unavailable to some hosts. Their entries expire, but they
//! continue to serve, and have used their shares. If the limit were divided among the listed hosts
//! alone, the shares of the others would grow at that moment, and all shares together would exceed
//! the limit.

use std::{collections::BTreeMap, time::Duration};

/// Time for which a host counts after its entry was removed. What it used stays in the windows of
/// the limits for ten seconds; a store that is unavailable to some hosts is usually available again
/// within a minute. A host that is permanently gone makes the shares of the others smaller for this
/// long, and has no other effect.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Hosts that share limits, as the hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct RecentHosts {
    /// When each host was last listed.
    last_listed: BTreeMap<u64, Duration>,
}

impl RecentHosts {
    /// Opens a record without hosts.
    pub fn open() -> RecentHosts {
        RecentHosts::default()
    }

    /// Records which hosts are listed now, and returns those that share the limits, in order.
    ///
    /// Must be called with each change of the list. `before` are the hosts that were listed until
    /// now.
    pub fn update(&mut self, before: &[u64], now_listed: &[u64], now: Duration) -> Vec<u64> {
        let seen = before.iter().chain(now_listed);
        self.last_listed.extend(seen.map(|host| (*host, now)));
        self.last_listed.retain(|_, at| *at + KEEP_TIME > now);
        self.last_listed.keys().copied().collect()
    }
}
