//! A token bucket.

use std::time::Duration;

/// Burst size in seconds of the rate. The time between two renewals of a grant would be too long
/// for a link; with no burst at all, uneven arrivals would waste capacity.
const BURST_SECONDS: f64 = 0.1;

/// Minimum burst in requests. Requests of one host do not arrive evenly: a bucket of one or two
/// refuses a third of a low rate that its grants would cover.
const MIN_BURST_REQUESTS: f64 = 4.0;

/// A token bucket: filled at a rate, drained one request at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Available tokens; below 0 if a request took more than estimated.
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    pub(super) fn open(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Adds the tokens for the time since the last call at `rate`; `request_cost` is what one
    /// request takes.
    pub(super) fn fill(&mut self, rate: f64, request_cost: f64, now: Duration) {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let capacity = (rate * BURST_SECONDS).max(request_cost * MIN_BURST_REQUESTS);
        self.tokens = (self.tokens + rate * time).min(capacity);
    }

    /// Returns the seconds until `tokens` are available at `rate`: 0 if they are now, infinite if
    /// the rate is 0.
    pub(super) fn wait(&self, tokens: f64, rate: f64) -> f64 {
        let missing = tokens - self.tokens;
        if missing <= 0.0 { 0.0 } else { missing / rate }
    }

    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
