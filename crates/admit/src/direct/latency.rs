//! Estimates of how long a request would wait and run at a target.
//!
//! Under saturation, a request that cannot be answered before its deadline takes a slot from one
//! that can, and its caller waits in vain; it is refused at once instead.

use std::time::Duration;

/// Weight of the newest run in the mean: about the last 16 runs count, a second or two of a busy
/// route.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Requests in flight per slot of a target before any run of a route was measured.
const UNKNOWN_LIMIT_PER_SLOT: u32 = 2;

/// Maximum requests in flight per slot, however short the runs: a target's own queue is a few times
/// its slots, and a request that it sheds has cost an extra send.
const MAX_LIMIT_PER_SLOT: u32 = 3;

/// Maximum ratio of a healthy target's run to the mean. A cold run takes about three warm ones, and
/// the mean lies between the two.
const SLOW_FACTOR: f64 = 4.0;

/// Moving average of the time of a route's runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    mean: Option<Duration>,
}

impl LatencyEstimator {
    /// Opens an estimator without runs; it expects no delay and refuses nothing.
    pub fn open() -> LatencyEstimator {
        LatencyEstimator::default()
    }

    /// Records the time of a run at a target that had `busy` requests for its `slots` when the
    /// request was sent. The fraction of that time spent in the target's queue is subtracted; if it
    /// counted as service time, the delay would feed on itself, and a queue would never be used
    /// again.
    pub fn record(&mut self, time: Duration, busy: u32, slots: u32) {
        let ahead = f64::from((busy + 1).saturating_sub(slots));
        let time = time.div_f64(1.0 + ahead / f64::from(slots.max(1)));
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean.mul_f64(1.0 - EWMA_WEIGHT) + time.mul_f64(EWMA_WEIGHT));
    }

    /// Returns the expected time until a request starts at a target that has `busy` requests for
    /// its `slots`.
    pub fn queue_delay(&self, busy: u32, slots: u32) -> Duration {
        let mean = self.mean.unwrap_or_default();
        let ahead = (busy + 1).saturating_sub(slots);
        mean.mul_f64(f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Returns whether a run took so long that its target is considered slow; always false before
    /// any run was recorded.
    pub fn is_slow(&self, time: Duration, busy: u32, slots: u32) -> bool {
        let Some(mean) = self.mean else {
            return false;
        };
        time > self.queue_delay(busy, slots) + mean.mul_f64(SLOW_FACTOR)
    }

    /// Returns the maximum number of requests in flight at a target with `slots`, for one more to
    /// be answered within `time`; never less than its slots.
    pub fn concurrency_limit(&self, slots: u32, time: Duration) -> u32 {
        let Some(mean) = self.mean.filter(|mean| !mean.is_zero()) else {
            return slots * UNKNOWN_LIMIT_PER_SLOT;
        };
        let runs = time.as_secs_f64() / mean.as_secs_f64();
        let limit = f64::from(slots) * runs.clamp(1.0, f64::from(MAX_LIMIT_PER_SLOT));
        limit as u32
    }
}
