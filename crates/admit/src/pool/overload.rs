//! Distinguishes a burst from a sustained overload.
//!
//! A short burst is worth a longer queue, because the capacity of the next moment will serve it. A
//! sustained overload is not: a long queue then adds its length to each response time, and the
//! number of responses stays the same.

use std::time::Duration;

/// Time without long waits after which an overload is over. At twice the capacity, a short queue of
/// a small pool runs empty by chance several times a second; that must not count as the end.
const OVERLOAD_END: Duration = Duration::from_millis(500);

/// Period during which requests met long waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overload {
    since: Duration,
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
