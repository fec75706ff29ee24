//! Among how many hosts a bound is divided.
//!
//! Load: targets that shed while the store turns some hosts away. The entries of those hosts lapse,
//! but they go on serving, and have spent their parts. Divided among the listed hosts alone, the
//! parts of the others grow at that moment, and all parts together are more than the bound.

use std::{collections::BTreeMap, time::Duration};

/// How long a host counts after its entry vanished. What it spent stays in the windows of the bounds
/// for ten seconds; a store that turns some hosts away is usually back within a minute. A host that
/// is gone for good makes the parts of the others smaller for this long, and nothing else.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Hosts that share bounds, as the hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct RecentHosts {
    /// When each was last listed.
    last_listed: BTreeMap<u64, Duration>,
}

impl RecentHosts {
    /// Opens a record without hosts.
    pub fn open() -> RecentHosts {
        RecentHosts::default()
    }

    /// Takes in which hosts are listed now; tells which ones share the bounds, in order.
    ///
    /// To be called with each change of the list. `before` are the hosts that were listed until now.
    pub fn update(&mut self, before: &[u64], now_listed: &[u64], now: Duration) -> Vec<u64> {
        let seen = before.iter().chain(now_listed);
        self.last_listed.extend(seen.map(|host| (*host, now)));
        self.last_listed.retain(|_, at| *at + KEEP_TIME > now);
        self.last_listed.keys().copied().collect()
    }
}
