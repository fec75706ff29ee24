//! Two homes of an object, of which a request takes the one that will answer sooner.
//!
//! Targets share their machines with others and run several times slower for moments. An object with
//! one home waits through each such moment, because a target that has not handled it lately takes
//! just as long. So the first two targets of the object's ranking are both kept warm: the second
//! gets a steady part of the requests, and all of them while it is expected to answer sooner. The
//! ranking is the same at all hosts; what only one host knows decides between the two homes, never
//! for a third target.
//!
//! ```
//! use dunlinrock_steer::affinity::{Home, SecondHome, choose_between};
//!
//! let usual = Home { slots: 9, busy: 2, pace: 1.0, way: 0.0 };
//! let slow = Home { pace: 2.5, ..usual };
//! let second = SecondHome::open();
//! assert_eq!(choose_between(&usual, &usual, &second, 0.9), 0);
//! assert_eq!(choose_between(&slow, &usual, &second, 0.9), 1);
//! ```

/// Part of the requests that go to the second home only to keep it warm.
const WARM_PART: f64 = 0.1;

/// The same while most runs at second homes are cold: enough to see that they have become warm.
const PROBE_PART: f64 = 0.02;

/// Fraction of cold runs at second homes, beyond that at the first, above which they are not kept
/// warm: their targets keep fewer objects than live there, and each run there makes another object
/// cold.
const MAX_COLD: f64 = 0.5;

/// Fraction of cold runs at first homes above which second homes are not kept warm yet: an object
/// whose first home is cold has no warm target at all.
const MAX_FIRST_COLD: f64 = 0.3;

/// Time beyond a warm run that a cold one takes, in warm runs.
const COLD_EXTRA: f64 = 2.3;

/// How much sooner the second home must answer, in usual runs, for a request to go there.
const MARGIN: f64 = 0.25;

/// Multiple of the usual run time from which on a run counts as cold.
const COLD_FACTOR: f64 = 2.0;

/// Weight of the newest run in the fractions of cold runs.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;

/// What a host knows of a target that is one of an object's two homes.
#[derive(Clone, Copy, Debug)]
pub struct Home {
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Requests that it runs or queues.
    pub busy: u32,
    /// Time that work takes there now, as a multiple of the usual.
    pub pace: f64,
    /// Round trip to it, in usual runs of the route.
    pub way: f64,
}

impl Home {
    /// Returns the expected time to an answer, in usual runs; `cold` is the chance of a cold run.
    fn answer_time(&self, cold: f64) -> f64 {
        let ahead = (self.busy + 1).saturating_sub(self.slots);
        let wait = f64::from(ahead) / f64::from(self.slots.max(1));
        self.way + self.pace.max(0.0) * (1.0 + wait + cold * COLD_EXTRA)
    }
}

/// What a host has seen of the runs of a route at first and second homes.
#[derive(Clone, Copy, Debug)]
pub struct SecondHome {
    /// Fraction of the latest runs at first homes that were cold.
    first: f64,
    /// The same at second homes.
    second: f64,
}

impl Default for SecondHome {
    fn default() -> SecondHome {
        SecondHome {
            first: 1.0,
            second: MAX_COLD,
        }
    }
}

impl SecondHome {
    /// Opens the state of a route without runs: its objects are cold everywhere.
    pub fn open() -> SecondHome {
        SecondHome::default()
    }

    /// Records a run at the home of this rank: its time as a multiple of the route's usual time.
    pub fn record(&mut self, rank: usize, multiple: f64) {
        let cold = f64::from(u8::from(multiple >= COLD_FACTOR));
        let fraction = match rank {
            0 => &mut self.first,
            _ => &mut self.second,
        };
        *fraction += (cold - *fraction) * EWMA_WEIGHT;
    }

    /// Returns the chance that a run at the second home is cold where one at the first is not.
    pub fn excess(&self) -> f64 {
        (self.second - self.first).max(0.0)
    }

    /// Whether targets keep the objects of second homes warm.
    pub fn is_kept(&self) -> bool {
        self.excess() <= MAX_COLD
    }

    /// Returns the part of the requests that goes to second homes only to keep them warm.
    fn part(&self) -> f64 {
        match (self.first <= MAX_FIRST_COLD, self.is_kept()) {
            (false, _) => 0.0,
            (true, true) => WARM_PART,
            (true, false) => PROBE_PART,
        }
    }
}

/// Chooses between an object's first and second home; returns 0 or 1. `draw` is uniform in 0 to 1,
/// drawn for each request.
pub fn choose_between(first: &Home, second: &Home, seen: &SecondHome, draw: f64) -> usize {
    let stays = first.answer_time(0.0);
    let moves = second.answer_time(seen.excess());
    if moves + MARGIN < stays {
        return 1;
    }
    // Kept warm while that costs the request little: not through a slow or full target.
    let costs_little = second.answer_time(0.0) <= stays + MARGIN;
    usize::from(costs_little && draw < seen.part())
}
