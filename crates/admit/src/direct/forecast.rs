//! How long a request would wait and run at a target.
//!
//! Load: saturation. A request that cannot be answered before its deadline takes a slot from one
//! that can, and its caller waits for nothing; it is refused at once instead.

use std::time::Duration;

/// Weight of the newest run in the usual time: about the last 16 runs count, a second or two of a
/// busy route.
const WEIGHT: f64 = 1.0 / 16.0;

/// Usual time of a route's runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    usual: Option<Duration>,
}

impl Forecast {
    /// Opens a forecast that knows of no run; it expects no time at all and refuses nothing.
    pub fn open() -> Forecast {
        Forecast::default()
    }

    /// Notes how long a target took that had `busy` requests for its `slots` when it was asked. The
    /// part of that time that went into its queue is taken off; counted as work, the wait would
    /// feed on itself, and a queue would never be used again.
    pub fn note(&mut self, time: Duration, busy: u32, slots: u32) {
        let ahead = f64::from((busy + 1).saturating_sub(slots));
        let time = time.div_f64(1.0 + ahead / f64::from(slots.max(1)));
        let usual = self.usual.unwrap_or(time);
        self.usual = Some(usual.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT));
    }

    /// Expected time until a request starts at a target that has `busy` requests for its `slots`.
    pub fn wait(&self, busy: u32, slots: u32) -> Duration {
        let usual = self.usual.unwrap_or_default();
        let ahead = (busy + 1).saturating_sub(slots);
        usual.mul_f64(f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Whether a request may still start before its time is up.
    pub fn may_start(&self, busy: u32, slots: u32, left: Duration) -> bool {
        self.wait(busy, slots) < left
    }
}
