//! Tells a burst from an overload that lasts.
//!
//! Loads: a burst, and saturation. A burst that is over in a moment is worth a longer queue, as
//! the capacity of the next moment will serve it. An overload that lasts is not: a long queue then
//! adds its length to each answer, and the number of answers stays the same.

use std::time::Duration;

/// Without long waits for this time, the strain is over. At twice the capacity a short queue of a
/// small pool runs empty by chance several times a second; that must not count as its end.
const OVERLOAD_END: Duration = Duration::from_millis(500);

/// A time during which requests met long waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overload {
    since: Duration,
    last: Duration,
}

impl Overload {
    /// A request meets a long wait, whether it is queued or refused.
    pub(super) fn record(&mut self, now: Duration) {
        if now.saturating_sub(self.last) > OVERLOAD_END {
            self.since = now;
        }
        self.last = now;
    }

    /// Strain has lasted for longer than `burst` and is not over.
    pub(super) fn is_sustained(&self, burst: Duration, now: Duration) -> bool {
        now.saturating_sub(self.last) <= OVERLOAD_END && now.saturating_sub(self.since) > burst
    }
}
