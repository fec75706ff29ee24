//! Which requests get the last room at targets when there is more to do than slots.
//!
//! Load: overload of a service whose requests differ in rank. Where all ranks may use the whole queue of
//! a target, the more urgent ones are refused as often as the others.

use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest request in a rank's share.
const WEIGHT: f64 = 1.0 / 16.0;

/// Time in which a share that is not renewed falls to a third.
const FADE: Duration = Duration::from_secs(2);

/// Share of refusals among the more urgent at which the less urgent leave them all queues.
const WHOLE: f64 = 0.1;

/// Part of the less urgent that are treated as the most urgent ones are. Without it they would not be
/// served at all for as long as the more urgent alone fill the targets.
pub(super) const EQUAL_PART: f64 = 1.0 / 3.0;

/// Share of requests that found no room.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    share: f64,
    at: Duration,
}

impl Refused {
    fn note(&mut self, is_refused: bool, now: Duration) {
        self.share = self.faded(now) * (1.0 - WEIGHT) + f64::from(u8::from(is_refused)) * WEIGHT;
        self.at = now;
    }

    fn faded(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at);
        self.share * (-since.div_duration_f64(FADE)).exp()
    }
}

/// What a service's requests found lately, by rank; 0 is the most urgent.
#[derive(Clone, Debug, Default)]
pub struct PriorityShedder {
    refused: BTreeMap<u8, Refused>,
}

impl PriorityShedder {
    /// Opens ranks of which nothing is known; all have the same room.
    pub fn open() -> PriorityShedder {
        PriorityShedder::default()
    }

    /// Notes whether a request was refused for want of room.
    pub fn record(&mut self, rank: u8, is_refused: bool, now: Duration) {
        self.refused.entry(rank).or_default().note(is_refused, now);
    }

    /// Requests that a target with `slots` may have for one of `rank` to be sent to it, where one of the
    /// most urgent may be up to `room`; never less than its slots. `draw` is even in 0 to 1.
    pub fn concurrency_limit(
        &self,
        rank: u8,
        room: u32,
        slots: u32,
        draw: f64,
        now: Duration,
    ) -> u32 {
        if draw < EQUAL_PART {
            return room;
        }
        let urgent = self.refused.range(..rank);
        let most = urgent.map(|(_, r)| r.faded(now)).fold(0.0, f64::max);
        let left = 1.0 - (most / WHOLE).min(1.0);
        let queue = f64::from(room.saturating_sub(slots));
        slots + (queue * left).ceil() as u32
    }
}
