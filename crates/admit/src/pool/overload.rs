//! Distinguishes a burst from a sustained overload.
//!
//! In a short burst a longer queue helps, because slots become free soon enough to serve it. In a
//! sustained overload it does not: the queueing delay is added to each response time, and the
//! number of responses stays the same.

use std::time::Duration;

/// Time without long waits after which an overload is over. At twice the capacity, a short queue of
/// a small pool is empty by chance several times a second; that must not count as the end.
const OVERLOAD_END: Duration = Duration::from_millis(500);

/// Latest period in which requests met long waits: expected queueing delays above
/// `PoolConfig::overload_wait`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overload {
    /// Time of the first long wait of the period.
    since: Duration,
    /// Time of the latest long wait.
    last: Duration,
}

impl Overload {
    /// Records that a request meets a long wait, whether it is queued or refused.
    pub(super) fn record(&mut self, now: Duration) {
        if now.saturating_sub(self.last) > OVERLOAD_END {
            self.since = now;
        }
        self.last = now;
    }

    /// Returns whether the overload has lasted for longer than `burst` and is not over.
    pub(super) fn is_sustained(&self, burst: Duration, now: Duration) -> bool {
        now.saturating_sub(self.last) <= OVERLOAD_END && now.saturating_sub(self.since) > burst
    }
}
