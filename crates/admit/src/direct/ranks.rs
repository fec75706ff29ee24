//! Which requests get the last room at targets when there is more to do than slots.
//!
//! Load: overload of a service whose requests differ in rank. Where all ranks may use the whole queue of
//! a target, the more urgent ones are refused as often as the others.

use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest request in a rank's share.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Time in which a share that is not renewed falls to a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Share of refusals among the more urgent at which the less urgent leave them all queues.
const FULL_SHEDDING_FRACTION: f64 = 0.1;

/// Part of the less urgent that are treated as the most urgent ones are. Without it they would not be
/// served at all for as long as the more urgent alone fill the targets.
pub(super) const EQUAL_FRACTION: f64 = 1.0 / 3.0;

/// Share of requests that found no room.
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

/// What a service's requests found lately, by rank; 0 is the most urgent.
#[derive(Clone, Debug, Default)]
pub struct PriorityShedder {
    refused: BTreeMap<u8, RefusalRate>,
}

impl PriorityShedder {
    /// Opens ranks of which nothing is known; all have the same room.
    pub fn open() -> PriorityShedder {
        PriorityShedder::default()
    }

    /// Notes whether a request was refused for want of room.
    pub fn record(&mut self, rank: u8, is_refused: bool, now: Duration) {
        self.refused
            .entry(rank)
            .or_default()
            .record(is_refused, now);
    }

    /// Requests that a target with `slots` may have for one of `rank` to be sent to it, where one of the
    /// most urgent may be up to `room`; never less than its slots. `draw` is even in 0 to 1.
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
