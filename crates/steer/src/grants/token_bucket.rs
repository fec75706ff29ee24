//! A token bucket.

use std::time::Duration;

/// Time for which a bucket saves up what is not used: the time between two renewals of a grant
/// would be too long for a link, none at all would waste what comes unevenly.
const BURST_SECONDS: f64 = 0.1;

/// Requests that a bucket holds at least. Requests of one host come in no even rhythm: a bucket
/// of one or two turns away a third of a low rate that its grants would carry.
const MIN_BURST_REQUESTS: f64 = 4.0;

/// Tokens that come at a rate and are taken one request at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Tokens there are; below 0 where more was taken than was foreseen.
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

    /// Adds what came at `rate` since the last time; `one` is what a request takes.
    pub(super) fn fill(&mut self, rate: f64, request_cost: f64, now: Duration) {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let capacity = (rate * BURST_SECONDS).max(request_cost * MIN_BURST_REQUESTS);
        self.tokens = (self.tokens + rate * time).min(capacity);
    }

    /// Seconds until there are so many tokens at `rate`; 0 where there are, infinite where none
    /// come.
    pub(super) fn wait(&self, tokens: f64, rate: f64) -> f64 {
        let missing = tokens - self.tokens;
        if missing <= 0.0 { 0.0 } else { missing / rate }
    }

    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
