//! Estimates of how long a request would wait and run at a target.
//!
//! Under saturation, a request that cannot be answered before its deadline would take a slot from
//! one that can, and its caller would wait only for a timeout. It is refused at once instead.

use std::time::Duration;

/// Weight of the newest run in the moving average, which covers about the last 16 runs: a second or
/// two of traffic on a busy route.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Maximum requests in flight per slot of a target until a run on the route has been measured.
const INITIAL_LIMIT_PER_SLOT: u32 = 2;

/// Maximum requests in flight per slot, however short the runs. A target's own queue has a capacity
/// of only a few times its slots, and a request that it sheds was sent for nothing.
const MAX_LIMIT_PER_SLOT: u32 = 3;

/// Multiple of the mean run time above which a run is slow. A run with cold caches takes about
/// three times as long as a warm one, and the mean lies between the two.
const SLOW_FACTOR: f64 = 4.0;

/// Exponentially weighted moving average of the time that a route's requests run.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    mean: Option<Duration>,
}

impl LatencyEstimator {
    /// Creates an estimator without runs. Until a run is recorded it reports no queue delay, and no
    /// request is refused because of it.
    pub fn open() -> LatencyEstimator {
        LatencyEstimator::default()
    }

    /// Records the response time of a target that had `busy` requests in flight for its `slots`
    /// when the request was sent. The estimated time in the target's queue is subtracted. If it
    /// counted as run time, queueing would raise the estimated delay, until requests are refused
    /// instead of queued and the queue is never used again.
    pub fn record(&mut self, time: Duration, busy: u32, slots: u32) {
        let ahead = f64::from((busy + 1).saturating_sub(slots));
        let time = time.div_f64(1.0 + ahead / f64::from(slots.max(1)));
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean.mul_f64(1.0 - EWMA_WEIGHT) + time.mul_f64(EWMA_WEIGHT));
    }

    /// Returns the expected time until a request starts at a target that has `busy` requests in
    /// flight for its `slots`.
    pub fn queue_delay(&self, busy: u32, slots: u32) -> Duration {
        let mean = self.mean.unwrap_or_default();
        let ahead = (busy + 1).saturating_sub(slots);
        mean.mul_f64(f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Returns the expected time of a run; zero before any was recorded.
    pub fn expected_run(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns whether a response time is so long that its target is considered slow; always false
    /// before any run was recorded.
    pub fn is_slow(&self, time: Duration, busy: u32, slots: u32) -> bool {
        let Some(mean) = self.mean else {
            return false;
        };
        time > self.queue_delay(busy, slots) + mean.mul_f64(SLOW_FACTOR)
    }

    /// Returns the maximum number of requests in flight at a target with `slots` such that each is
    /// expected to be answered within `time`; never less than `slots`.
    pub fn concurrency_limit(&self, slots: u32, time: Duration) -> u32 {
        let Some(mean) = self.mean.filter(|mean| !mean.is_zero()) else {
            return slots * INITIAL_LIMIT_PER_SLOT;
        };
        let runs = time.as_secs_f64() / mean.as_secs_f64();
        let limit = f64::from(slots) * runs.clamp(1.0, f64::from(MAX_LIMIT_PER_SLOT));
        limit as u32
    }
}
