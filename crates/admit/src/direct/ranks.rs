//! Load shedding by priority: which requests may use a target's queue when there are more requests
//! than slots.
//!
//! If all priorities may use a target's whole queue under overload, requests of high priority are
//! refused as often as the others.

use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest request in a priority's refusal rate.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Time in which a rate that is not renewed decays to about a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Refusal rate of higher priorities at which lower ones leave them the whole queue.
const FULL_SHEDDING_FRACTION: f64 = 0.1;

/// Fraction of the lower priorities that are treated like the highest. Without it they would not be
/// served at all for as long as the higher priorities alone fill the targets.
pub(super) const EQUAL_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of requests that were refused because the targets were full.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalRate {
    share: f64,
    at: Duration,
}

impl RefusalRate {
    fn record(&mut self, is_refused: bool, now: Duration) {
        self.share =
            self.decayed(now) * (1.0 - EWMA_WEIGHT) + f64::from(u8::from(is_refused)) * EWMA_WEIGHT;
        self.at = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at);
        self.share * (-since.div_duration_f64(DECAY_TIME)).exp()
    }
}

/// Recent refusal rates of a service's requests by priority; 0 is the highest.
#[derive(Clone, Debug, Default)]
pub struct PriorityShedder {
    refused: BTreeMap<u8, RefusalRate>,
}

impl PriorityShedder {
    /// Opens a shedder without requests; all priorities have the same limit.
    pub fn open() -> PriorityShedder {
        PriorityShedder::default()
    }

    /// Records whether a request was refused because its target was full.
    pub fn record(&mut self, rank: u8, is_refused: bool, now: Duration) {
        self.refused
            .entry(rank)
            .or_default()
            .record(is_refused, now);
    }

    /// Returns the maximum number of requests in flight at a target with `slots` for a request of
    /// priority `rank` to be sent to it, where a request of the highest priority is allowed up to
    /// `limit`; never less than its slots. `draw` is uniform in 0 to 1.
    pub fn concurrency_limit(
        &self,
        rank: u8,
        limit: u32,
        slots: u32,
        draw: f64,
        now: Duration,
    ) -> u32 {
        if draw < EQUAL_FRACTION {
            return limit;
        }
        let higher = self.refused.range(..rank);
        let highest = higher.map(|(_, r)| r.decayed(now)).fold(0.0, f64::max);
        let remaining = 1.0 - (highest / FULL_SHEDDING_FRACTION).min(1.0);
        let queue = f64::from(limit.saturating_sub(slots));
        slots + (queue * remaining).ceil() as u32
    }
}
