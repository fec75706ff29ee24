//! The retry budget: limits retries and hedges to a ratio of the first attempts.
//!
//! When targets fail or shed under overload, every failure causes another attempt, which adds load
//! where there is already too much: three attempts each turn 2 times the capacity into 6. With the
//! budget, retries and hedges together add at most `ratio` times the first attempts.

/// Maximum number of tokens, so that a quiet service may still make a few retries at once.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket that first attempts fill.
///
/// Invariant: `tokens` is between 0 and [`MAX_TOKENS`].
#[derive(Debug)]
pub(crate) struct RetryTokens {
    ratio: f64,
    tokens: f64,
}

impl RetryTokens {
    pub(crate) fn open(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: if ratio > 0.0 { MAX_TOKENS } else { 0.0 },
        }
    }

    pub(crate) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Records a first attempt.
    pub(crate) fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Takes a token for another attempt; returns false if there is none.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}
