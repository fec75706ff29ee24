//! The load of targets as all hosts together know it.
//!
//! A host alone sees its own requests and, with each response, the load of one target. With many
//! hosts and targets it hears of a target every few seconds, while runs take less than one. So one
//! host of each region, the collector, adds up what the region's hosts report, exchanges the sums
//! with the other regions' collectors, and tells each host which targets are nearly full or slow.
//!
//! Nothing is lent or granted: figures only add to what a host observes itself, and expire. Without
//! a collector each host goes by its own.

mod collector;
mod target_load;

use std::time::Duration;

pub use self::{
    collector::{LoadCollector, Reporter},
    target_load::{TargetLoad, ToldLoad},
};

/// Age at which a figure is dropped. Requests run for about as long, so that an older one says
/// nothing about the present.
const EXPIRY: Duration = Duration::from_secs(1);

/// Age up to which a figure counts whole: the next one replaces it by then, unless messages are
/// lost. From here to [`EXPIRY`] it decays.
const FRESH_TIME: Duration = Duration::from_millis(500);

/// Time over which a pace decays to the usual one. Neighbors on a target's machine change about as
/// often.
const PACE_DECAY_TIME: Duration = Duration::from_millis(600);

/// Pace of a target at its usual speed, in percent.
const USUAL_PACE: u16 = 100;

/// Maximum pace, in percent. A higher figure is an error of the target's.
const MAX_PACE: u16 = 2_000;

/// Maximum number of requests that one host is believed to have in flight at one target, and that
/// a target is believed to hold.
const MAX_REQUESTS: u16 = 1_000;

/// What a target said of itself in one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaidLoad {
    /// Requests that it ran or queued, of all hosts.
    pub total: u16,
    /// How long work takes at the moment, in percent of the usual time; `None` if it did not say.
    pub pace: Option<u16>,
    /// Time since it said so.
    pub age: Duration,
}

impl SaidLoad {
    /// Returns the pace as a factor that decays to the usual one.
    fn pace_factor(&self) -> f64 {
        let pace = f64::from(self.pace.unwrap_or(USUAL_PACE).clamp(1, MAX_PACE));
        let remaining = 1.0 - self.age.div_duration_f64(PACE_DECAY_TIME);
        1.0 + (pace / f64::from(USUAL_PACE) - 1.0) * remaining.max(0.0)
    }

    /// Returns what is left of the total at this age.
    fn remaining_total(&self) -> u16 {
        decay(self.total.min(MAX_REQUESTS), self.age)
    }
}

/// What a host, or a whole region, reports of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadFigure {
    /// Hash of the target's process.
    pub target: u32,
    /// Requests of the reporting hosts in flight at it.
    pub in_flight: u16,
    /// The newest word of the target, if there is one since the last report.
    pub said: Option<SaidLoad>,
}

/// Returns what is left of a number of requests at this age, as it decays over [`EXPIRY`].
fn decay(requests: u16, age: Duration) -> u16 {
    scale(requests, EXPIRY.saturating_sub(age), EXPIRY)
}

/// Returns what is left of a told number of requests, which is renewed while messages pass.
fn decay_told(requests: u16, age: Duration) -> u16 {
    const SPAN: Duration = EXPIRY.saturating_sub(FRESH_TIME);
    scale(requests, EXPIRY.saturating_sub(age).min(SPAN), SPAN)
}

/// Returns a number of requests times `part` of `whole`, which are at most some seconds, rounded.
/// Each request reads the load of all targets, so that this takes no floating-point division.
fn scale(requests: u16, part: Duration, whole: Duration) -> u16 {
    let (part, whole) = (part.as_nanos() as u64, whole.as_nanos() as u64);
    ((u64::from(requests) * part + whole / 2) / whole) as u16
}
