//! Requests that have lately succeeded, and so do not crash their targets.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Maximum number of requests; beyond it the oldest is evicted.
const MAX_REQUESTS: usize = 4096;

/// How long a success counts.
const SUCCESS_TTL: Duration = Duration::from_secs(10);

/// Fingerprints of requests that succeeded in the last ten seconds.
///
/// A popular request runs on many targets and shares the crash of each that another request takes
/// down. It also succeeds on the others all the time, which a request that crashes its targets
/// never does.
///
/// Invariant: at most 4096 fingerprints, each once.
#[derive(Debug, Default)]
pub struct RecentSuccesses {
    /// Time of the last success.
    succeeded: BTreeMap<u64, Duration>,
    /// Oldest first; an entry whose time is not the last success is outdated.
    order: VecDeque<(Duration, u64)>,
}

impl RecentSuccesses {
    /// Opens an empty set.
    pub fn open() -> RecentSuccesses {
        RecentSuccesses::default()
    }

    /// Records that a run of a request succeeded.
    pub fn record(&mut self, fingerprint: u64, now: Duration) {
        self.succeeded.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while self.order.len() > MAX_REQUESTS || self.is_front_expired(now) {
            self.evict_front();
        }
    }

    /// Whether a run of the request has lately succeeded.
    pub fn contains(&self, fingerprint: u64, now: Duration) -> bool {
        let at = self.succeeded.get(&fingerprint);
        at.is_some_and(|at| now < *at + SUCCESS_TTL)
    }

    fn is_front_expired(&self, now: Duration) -> bool {
        let front = self.order.front();
        front.is_some_and(|(at, _)| *at + SUCCESS_TTL <= now)
    }

    fn evict_front(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        if self.succeeded.get(&fingerprint) == Some(&at) {
            self.succeeded.remove(&fingerprint);
        }
    }
}
