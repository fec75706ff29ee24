//! A token bucket.

use std::time::Duration;

/// A rate limiter that permits a rate of calls with bursts on top.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Tokens added each second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Tokens at `refilled_at`; between 0 and `burst`.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Duration,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub(crate) fn open(rate: f64, burst: f64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes a token. The error is the time until the next token is available.
    pub(crate) fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
