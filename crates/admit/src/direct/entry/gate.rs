//! Admission to the queues of a service's targets, by urgency and by workspace.
//!
//! If all requests may use a target's whole queue under overload, urgent ones are refused as often
//! as the others, and a workspace that asks for six times its usual takes most of the room.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Decaying, FairShares};

/// Weight of the newest request in a refusal rate.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Time in which counts and rates that are not renewed decay to about a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Refusal rate of requests before it at which a request leaves them the whole queue.
const FULL_SHEDDING_FRACTION: f64 = 0.1;

/// Fraction of the success of all requests below which those of one urgency are let in like the
/// most urgent. They are promised a quarter; not all that are let in are answered in time.
pub(crate) const FLOOR: f64 = 1.0 / 3.0;

/// How urgent a request is; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the route or workspace; 0 is the highest.
    pub priority: u8,
    /// Whether its answer is expected after its objective.
    pub is_late: bool,
}

/// Place of a request in the order in which requests are let in; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// How urgent it is.
    pub urgency: Urgency,
    /// Whether its workspace has had more than its fair share of the room.
    pub is_above: bool,
}

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

/// Requests that asked and that were let in.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: Decaying,
    let_in: Decaying,
}

impl Counts {
    fn record(&mut self, is_refused: bool, now: Duration) {
        self.asked.add(1.0, DECAY_TIME, now);
        let let_in = f64::from(u8::from(!is_refused));
        self.let_in.add(let_in, DECAY_TIME, now);
    }

    fn values(&self, now: Duration) -> (f64, f64) {
        let asked = self.asked.value(DECAY_TIME, now);
        (asked, self.let_in.value(DECAY_TIME, now))
    }
}

/// Recent requests of a service by their place, and its workspaces' shares.
///
/// Invariant: a place has an entry only if a request of it was recorded, so there are at most four
/// for each priority in use.
#[derive(Clone, Debug, Default)]
pub struct EntryGate {
    refused: BTreeMap<Place, RefusalRate>,
    counts: BTreeMap<Urgency, Counts>,
    total: Counts,
    shares: FairShares,
}

impl EntryGate {
    /// Opens a gate without requests; all have the same limit.
    pub fn open() -> EntryGate {
        EntryGate::default()
    }

    /// Returns the place of a request. Lateness counts only among requests of several priorities,
    /// and a share only for a request of a workspace.
    pub fn place(
        &mut self,
        urgency: Urgency,
        workspace: Option<&Arc<str>>,
        now: Duration,
    ) -> Place {
        let urgency = Urgency {
            is_late: urgency.is_late && self.is_ranked(urgency.priority),
            ..urgency
        };
        let is_above = workspace.is_some_and(|name| self.shares.is_above(name, now));
        Place { urgency, is_above }
    }

    /// Returns the maximum number of requests in flight at a target with `slots` for a request of
    /// this place to be sent to it, where the first in the order are allowed up to `limit`; never
    /// less than its slots.
    pub fn concurrency_limit(&self, place: Place, limit: u32, slots: u32, now: Duration) -> u32 {
        if !place.is_above && self.is_below_floor(place.urgency, now) {
            return limit;
        }
        let remaining = 1.0 - (self.pressure(place, now) / FULL_SHEDDING_FRACTION).min(1.0);
        let queue = f64::from(limit.saturating_sub(slots));
        slots + (queue * remaining).ceil() as u32
    }

    /// Returns the highest refusal rate of the requests that go before this place.
    fn pressure(&self, place: Place, now: Duration) -> f64 {
        let before = self.refused.range(..place);
        before.map(|(_, r)| r.decayed(now)).fold(0.0, f64::max)
    }

    /// Whether requests this urgent were let in less than a third as often as all.
    pub fn is_below_floor(&self, urgency: Urgency, now: Duration) -> bool {
        let (all_asked, all_in) = self.total.values(now);
        let counts = self.counts.get(&urgency).copied().unwrap_or_default();
        let (asked, let_in) = counts.values(now);
        let_in * all_asked < FLOOR * all_in * asked
    }

    /// Records whether a request was refused because its target was full.
    pub fn record(
        &mut self,
        place: Place,
        workspace: Option<&Arc<str>>,
        is_refused: bool,
        now: Duration,
    ) {
        let rate = self.refused.entry(place).or_default();
        rate.record(is_refused, now);
        let counts = self.counts.entry(place.urgency).or_default();
        counts.record(is_refused, now);
        self.total.record(is_refused, now);
        if let Some(name) = workspace {
            self.shares.record(name, is_refused, now);
        }
    }

    /// Whether there were requests of another priority than this.
    fn is_ranked(&self, priority: u8) -> bool {
        self.counts.keys().any(|other| other.priority != priority)
    }
}
