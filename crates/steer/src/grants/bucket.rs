//! A token bucket.

use std::time::Duration;

/// Time for which a bucket saves up what is not used: the time between two renewals of a grant
/// would be too long for a link, none at all would waste what comes unevenly.
const BURST: f64 = 0.1;

/// Tokens that come at a rate and are taken one request at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Tokens there are; below 0 where more was taken than was foreseen.
    tokens: f64,
    at: Duration,
}

impl Bucket {
    pub(super) fn open(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Adds what came at `rate` since the last time. A bucket holds at least `least`, or a low rate
    /// would never come to one request.
    pub(super) fn fill(&mut self, rate: f64, least: f64, now: Duration) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = (rate * BURST).max(least);
        self.tokens = (self.tokens + rate * time).min(most);
    }

    pub(super) fn has(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
