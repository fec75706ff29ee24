//! The pace of a target that has just started or recovered: which part of its objects it serves.
//!
//! A target that starts holds none of its objects. If all of them come home at once, each runs cold,
//! the slots fill, and requests are late, rejected or lost. So they come home one after the other;
//! the others stay at the next target of their ranking, which has served them meanwhile.
//!
//! The order is a hash of object and target, and the part grows with time from a moment that all
//! hosts see alike, so hosts agree without messages. A host that hears from the target corrects its
//! own part: it grows twice as fast for a while after an answer that shows room. It stops after one
//! that is late, rejected or failed, or that reports more load than the others of the service have,
//! and halves after a second one in a row, or if that is the first that it hears. Each answer reports the load of all hosts together; a host that hears nothing goes by time.
//!
//! Before an object comes home, some of its requests do: the first of them warm the target for the
//! others, where otherwise all that arrive during the first run would run cold beside each other.

use std::time::Duration;

use super::cold_start::mix;

/// Part of an object's requests that go to the target before the object's turn, and during it.
const TRICKLE: f64 = 1.0 / 16.0;
const SAMPLE: f64 = 1.0 / 4.0;

/// Length of an object's turn, as a fraction of the ramp.
const TURN: f64 = 0.5;

/// Part with which a target begins that has most of its objects: it was ejected or paused, its entry
/// had lapsed, or its cold time has warmed it. Half of them come home at once.
const WARM_PART: f64 = 0.75;

/// Time for which the part grows faster after a good answer, as a fraction of the ramp.
const GOOD_NEWS: f64 = 0.25;

/// Time after a bad result in which the part neither grows nor falls, as a fraction of the ramp:
/// requests that were in flight end together.
const SETTLING: f64 = 0.125;

/// Maximum length of a ramp, in ramps without answers. Later, a target that still fails is a case
/// for its ejection.
const MAX_RAMPS: u32 = 4;

/// Maximum number of setbacks that count: each doubles the length of the ramp.
const MAX_SETBACKS: u32 = 2;

/// Maximum additional load of the other targets of a service for the sake of those in their ramps,
/// as a fraction of their load.
const MAX_EXTRA: f64 = 1.0;

/// Load in requests per slot from which the others of a service have no room: objects are uneven, and
/// the busiest targets have about twice the mean.
const FULL_LOAD: f64 = 0.5;

/// Separates the order of an object's targets from its place at one of them.
const PLACE_SEED: u64 = 0x57a2;

/// Why a ramp begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// A process without objects: new or restarted.
    New,
    /// A process that is cold until the ramp begins, and gets some requests of each object
    /// meanwhile.
    Cold,
    /// A process that kept its objects and gets requests again.
    Recovered,
}

/// What one host learns of a target in its ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// An answer in time, with a load like that of the others of the service.
    Good,
    /// Late, rejected, failed or lost, or more load than the others have.
    Bad,
}

/// Ramp of one target at one host.
#[derive(Clone, Debug)]
pub struct StartPace {
    /// When the ramp begins. Until then the target is cold or paused.
    begin: Duration,
    /// Length of the ramp without answers.
    length: Duration,
    /// Part of the target's objects at `since`, in 0 to 1.
    part: f64,
    /// When `part` was set last; it grows from then on. Never before `begin`.
    since: Duration,
    /// Until when it grows faster.
    fast_until: Duration,
    /// Whether the last result was bad, or there was none: another bad one is a fall. Single requests
    /// fail at any target, and a fall sends objects away that are warm already.
    is_doubtful: bool,
    /// Setbacks of the target's earlier starts, at most [`MAX_SETBACKS`].
    setbacks: u32,
}

impl StartPace {
    /// Opens a ramp that begins at `begin`. `length` is that of a target without setbacks.
    pub fn open(start: Start, begin: Duration, length: Duration, setbacks: u32) -> StartPace {
        let setbacks = setbacks.min(MAX_SETBACKS);
        let part = match start {
            Start::New => 0.0,
            Start::Cold | Start::Recovered => WARM_PART * lowered(setbacks),
        };
        StartPace {
            begin,
            length: length * 2_u32.pow(setbacks),
            part,
            since: begin,
            fast_until: begin,
            is_doubtful: true,
            setbacks,
        }
    }

    /// Returns the part of the target's objects that may be at the target, in 0 to 1.
    pub fn part(&self, now: Duration) -> f64 {
        let usual = now.saturating_sub(self.since);
        let fast = now.min(self.fast_until).saturating_sub(self.since);
        let grown = (usual + fast).div_duration_f64(self.length.max(Duration::from_millis(1)));
        (self.part + grown).min(1.0)
    }

    /// Returns when the ramp begins.
    pub fn begin(&self) -> Duration {
        self.begin
    }

    /// Returns whether the ramp is over: all objects are home, or it has lasted too long.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.begin + self.length * MAX_RAMPS || self.part(now) >= 1.0
    }

    /// Records a result. Returns whether the part falls.
    pub fn record(&mut self, result: StartResult, now: Duration) -> bool {
        if now < self.since {
            return false;
        }
        self.part = self.part(now);
        self.since = now;
        match result {
            StartResult::Good => {
                self.is_doubtful = false;
                self.fast_until = now + self.length.mul_f64(GOOD_NEWS);
                false
            }
            StartResult::Bad => {
                self.since = now + self.length.mul_f64(SETTLING);
                self.fast_until = self.since;
                let falls = std::mem::replace(&mut self.is_doubtful, true);
                if falls {
                    self.part /= 2.0;
                }
                falls
            }
        }
    }

    /// Returns the chance with which a request for an object goes to the target, in 0 to 1. `point`
    /// is the object's place in the order, uniform in 0 to 1; `senders` is the fraction of the hosts
    /// that may send to the target at all while it is cold.
    pub fn chance(&self, point: f64, senders: f64, now: Duration) -> f64 {
        if now < self.begin {
            return (SAMPLE / senders.max(SAMPLE)).min(1.0);
        }
        let turn = self.part(now) - point * (1.0 - TURN);
        if turn >= TURN {
            1.0
        } else if turn > 0.0 {
            SAMPLE
        } else {
            TRICKLE * lowered(self.setbacks)
        }
    }
}

/// Returns the factor on what a target gets at first after setbacks.
fn lowered(setbacks: u32) -> f64 {
    0.5_f64.powi(setbacks.min(MAX_SETBACKS) as i32)
}

/// Returns an object's place in the order in which objects come home to a target, uniform in 0 to 1
/// and the same on all hosts.
pub fn place(object: u64, target: u64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    (mix(object, mix(target, PLACE_SEED)) >> 11) as f64 * SCALE
}

/// Returns the least chance of a request at a target in its ramp, such that the others of its
/// service have room for what it does not get. `ramping` and `all` are the slots of the targets in
/// their ramps and of all; `load` is the usual load of the others in requests per slot, if known.
pub fn least_chance(ramping: f64, all: f64, load: Option<f64>) -> f64 {
    if ramping <= 0.0 {
        return 1.0;
    }
    let room = load.map_or(MAX_EXTRA, |load| {
        FULL_LOAD / load.max(f64::MIN_POSITIVE) - 1.0
    });
    let others = (all - ramping).max(0.0);
    (1.0 - room.clamp(0.0, MAX_EXTRA) * others / ramping).clamp(0.0, 1.0)
}
