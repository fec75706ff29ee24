//! A number of events that decays over time.

use std::time::Duration;

/// Number of events, each of which counts less the older it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decaying {
    count: f64,
    at: Duration,
}

impl Decaying {
    /// Adds `events`, where the number before decays to about a third in `time`.
    pub(crate) fn add(&mut self, events: f64, time: Duration, now: Duration) {
        self.count = self.value(time, now) + events;
        self.at = self.at.max(now);
    }

    /// Returns the number at `now`.
    pub(crate) fn value(&self, time: Duration, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at);
        self.count * (-since.div_duration_f64(time)).exp()
    }
}
