//! The retry budget: second runs as a share of first ones.
//!
//! Load: targets that fail or shed under overload. Without a budget every failure makes another
//! run, which adds load where there is too much: three tries each turn 2 times capacity into 6.
//! With it, reruns and hedges together add at most their share of the first runs.

/// Tokens the budget holds at most, so that a quiet service may still repeat a few at once.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket that is filled by first runs.
///
/// Invariant: `tokens` is between 0 and [`BURST`].
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

    /// Notes a first run.
    pub(crate) fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Takes the price of a second run, if there is enough.
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
