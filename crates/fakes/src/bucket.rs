//! A token bucket.

use std::time::Duration;

/// Lets a rate of calls through, and a burst on top.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// Tokens added each second.
    rate: f64,
    /// Most tokens held at once.
    burst: f64,
    /// Tokens held at `at`; between 0 and `burst`.
    level: f64,
    /// Time of the last refill.
    at: Duration,
}

impl Bucket {
    /// Opens a full bucket.
    pub(crate) fn open(rate: f64, burst: f64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }

    /// Takes a token; gives the time until the next one where there is none.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now.max(self.at);
        self.level = (self.level + passed * self.rate).min(self.burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
