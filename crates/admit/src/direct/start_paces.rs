//! The starts of all targets, as one host sees them: when a ramp begins and ends, and which targets
//! failed soon after a start.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    notices::Process,
    start_pace::{Start, StartPace, StartResult},
};

/// Time after a start in which a failure is a setback.
const SETBACK_TIME: Duration = Duration::from_secs(10);

/// Time after which a target that was not listed is forgotten, with its setbacks.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Tolerance between two reports of the end of a cold time.
const COLD_TOLERANCE: Duration = Duration::from_secs(1);

/// Weight of the newest report in the usual load of a service.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Multiple of the usual load of a service, and requests per slot, up to which a load is good.
const MAX_LOAD_FACTOR: f64 = 1.5;
const MAX_GOOD_LOAD: f64 = 1.0;

/// A target as it is listed now.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    /// Its process. One that does not tell when it started has no ramp: a restart could not be told
    /// from an entry that returns.
    pub process: Process,
    /// Until when it is cold.
    pub cold_until: Duration,
    /// Whether a process of its service is cold for a time after its start.
    pub starts_cold: bool,
}

/// A ramp that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunRamp {
    /// Id of the target.
    pub id: Arc<str>,
    /// Why it begins.
    pub start: Start,
    /// Setbacks of earlier starts that count.
    pub setbacks: u32,
}

/// What one exchange with a target shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartEvidence {
    /// Result of the exchange, if it says anything about the target.
    pub result: Option<StartResult>,
    /// Requests that it runs or queues, per slot, if it reports them.
    pub load: Option<f64>,
}

/// What is known of one target.
#[derive(Clone, Debug)]
struct Known {
    born: u64,
    /// When its last ramp began; `None` if it ran before this host did.
    started: Option<Duration>,
    setbacks: u32,
    /// Whether its last start is counted in `setbacks`.
    is_counted: bool,
    /// Observation in which it was listed last, and its time.
    round: u64,
    listed_at: Duration,
}

impl Known {
    /// Records that the target failed; a failure soon after a start is a setback, once a start.
    fn fail(&mut self, now: Duration) {
        let is_soon = self
            .started
            .is_some_and(|at| now.saturating_sub(at) < SETBACK_TIME);
        match is_soon {
            true if !std::mem::replace(&mut self.is_counted, true) => self.setbacks += 1,
            true => {}
            false => self.setbacks = 0,
        }
    }
}

/// Starts of all targets at one host.
#[derive(Clone, Debug, Default)]
pub struct StartPaces {
    known: BTreeMap<Arc<str>, Known>,
    /// Ramps that have begun or will; each of a known target.
    ramps: BTreeMap<Arc<str>, StartPace>,
    /// Usual load of each service's targets, in requests per slot.
    loads: BTreeMap<Arc<str>, f64>,
    /// Number of observations.
    round: u64,
    /// Whether one of them was complete.
    is_read: bool,
}

impl StartPaces {
    /// Opens the starts of a host that knows no targets.
    pub fn open() -> StartPaces {
        StartPaces::default()
    }

    /// Whether no target has a ramp.
    pub fn is_idle(&self) -> bool {
        self.ramps.is_empty()
    }

    /// Returns the ramp of a target.
    pub fn get(&self, id: &str) -> Option<&StartPace> {
        self.ramps.get(id)
    }

    /// Returns the usual load of a service's targets that are not in their ramps, in requests per
    /// slot; `None` if they report none.
    pub fn usual_load(&self, service: &str) -> Option<f64> {
        self.loads.get(service).copied()
    }

    /// Records the targets that are listed now, and returns the ramps that begin. Until the host has
    /// seen a list that `is_complete`, and in that one, it finds targets that ran before, unless
    /// they are cold.
    pub fn observe(
        &mut self,
        listed: impl Iterator<Item = ListedTarget>,
        length: Duration,
        is_complete: bool,
        now: Duration,
    ) -> Vec<BegunRamp> {
        self.round += 1;
        let knows_all = self.is_read;
        self.is_read |= is_complete;
        let mut begun = Vec::new();
        for target in listed.filter(|target| target.process.born > 0) {
            if let Some(start) = self.note_listed(&target, knows_all, now) {
                let begin = target.cold_until.max(now);
                begun.extend(self.begin(&target.process.id, start, begin, length));
            }
        }
        for (id, known) in &mut self.known {
            if known.round + 1 == self.round {
                known.fail(now);
                self.ramps.remove(id);
            }
        }
        self.known
            .retain(|_, known| now < known.listed_at + FORGET_TIME);
        begun
    }

    /// Begins the ramp of a target that answers again after this host had ejected it or lost its
    /// links, or at the end of a pause that it asked for. If it was in its ramp, it begins that
    /// anew.
    pub fn recover(&mut self, id: &str, begin: Duration, length: Duration) -> Option<BegunRamp> {
        let start = match self.ramps.contains_key(id) {
            true => Start::New,
            false => Start::Recovered,
        };
        let id = Arc::clone(self.known.get_key_value(id)?.0);
        self.begin(&id, start, begin, length)
    }

    /// Records that a target is ejected or asks for a pause.
    pub fn fail(&mut self, id: &str, now: Duration) {
        if let Some(known) = self.known.get_mut(id) {
            known.fail(now);
        }
    }

    /// Records an exchange with a target. Returns the part to which it falls back, if it does.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        id: &str,
        evidence: StartEvidence,
        now: Duration,
    ) -> Option<f64> {
        let usual = self.loads.get(service).copied();
        let Some(ramp) = self.ramps.get_mut(id) else {
            if let Some(load) = evidence.load {
                let usual = usual.unwrap_or(load);
                let usual = usual + (load - usual) * EWMA_WEIGHT;
                self.loads.insert(Arc::clone(service), usual);
            }
            return None;
        };
        let most = MAX_GOOD_LOAD.max(usual.unwrap_or_default() * MAX_LOAD_FACTOR);
        let is_loaded = evidence.load.is_some_and(|load| load > most);
        let result = match is_loaded {
            true => StartResult::Bad,
            false => evidence.result?,
        };
        ramp.record(result, now).then(|| ramp.part(now))
    }

    /// Removes the ramps that are over, and returns the targets with the lengths.
    pub fn take_ended(&mut self, now: Duration) -> Vec<(Arc<str>, Duration)> {
        let ended = self.ramps.extract_if(.., |_, ramp| ramp.is_over(now));
        ended.map(|(id, ramp)| (id, now - ramp.begin())).collect()
    }

    /// Removes all ramps.
    pub fn clear(&mut self) {
        self.ramps.clear();
    }

    fn begin(
        &mut self,
        id: &Arc<str>,
        start: Start,
        begin: Duration,
        length: Duration,
    ) -> Option<BegunRamp> {
        let known = self.known.get_mut(id)?;
        // The last start did well.
        if !std::mem::take(&mut known.is_counted) {
            known.setbacks = 0;
        }
        known.started = Some(begin);
        let setbacks = known.setbacks;
        let ramp = StartPace::open(start, begin, length, setbacks);
        self.ramps.insert(Arc::clone(id), ramp);
        Some(BegunRamp {
            id: Arc::clone(id),
            start,
            setbacks,
        })
    }

    /// Records a listed target; returns the start that it has made, if any.
    fn note_listed(
        &mut self,
        target: &ListedTarget,
        knows_all: bool,
        now: Duration,
    ) -> Option<Start> {
        let Process { id, born } = &target.process;
        let is_cold = target.cold_until > now;
        let Some(known) = self.known.get_mut(id) else {
            self.insert(&target.process, now);
            return match (is_cold, knows_all, target.starts_cold) {
                (true, ..) => Some(Start::Cold),
                (false, true, false) => Some(Start::New),
                // Started before its cold time, unnoticed by this host alone.
                (false, true, true) => Some(Start::Recovered),
                (false, false, _) => None,
            };
        };
        let was_away = known.round + 1 < self.round;
        (known.round, known.listed_at) = (self.round, now);
        if std::mem::replace(&mut known.born, *born) != *born {
            if !was_away {
                known.fail(now);
            }
            return Some(if is_cold { Start::Cold } else { Start::New });
        }
        let begin = self.ramps.get(id).map(StartPace::begin);
        let is_later = begin.is_none_or(|at| target.cold_until > at + COLD_TOLERANCE);
        match (is_cold && is_later, was_away) {
            (true, _) => Some(Start::Cold),
            (false, true) => Some(Start::Recovered),
            (false, false) => None,
        }
    }

    fn insert(&mut self, process: &Process, now: Duration) {
        let known = Known {
            born: process.born,
            started: None,
            setbacks: 0,
            is_counted: false,
            round: self.round,
            listed_at: now,
        };
        self.known.insert(Arc::clone(&process.id), known);
    }
}
