//! What this host measures of its traffic, for the decisions between regions.
//!
//! The duties that serve add to a few sums under a lock that is held for nanoseconds; the control
//! duty takes them once a second and starts anew.

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Sums since they were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficTotals {
    /// Requests taken in, by service and region of callers.
    pub arrivals: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
    /// Sizes of requests and answers, by service.
    pub sizes: BTreeMap<Arc<str>, Sizes>,
    /// Work at the pools owned here, by service.
    pub work: BTreeMap<Arc<str>, Work>,
}

/// Sums of sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sizes {
    /// Answers counted.
    pub count: u64,
    /// Bytes of their requests.
    pub request: u64,
    /// Bytes of their answers.
    pub answer: u64,
}

/// Sums of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Runs that ended.
    pub count: u64,
    /// Time that they took, in all.
    pub time: Duration,
    /// Time taken by those that came from hosts of this host's region.
    pub local_time: Duration,
}

/// Sums that the duties add to.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    totals: Mutex<TrafficTotals>,
}

impl TrafficMeter {
    /// Counts a request of a caller.
    pub fn record_arrival(&self, service: &Arc<str>, callers: &Arc<str>) {
        let mut totals = self.lock();
        let flows = totals.arrivals.entry(Arc::clone(service)).or_default();
        *flows.entry(Arc::clone(callers)).or_default() += 1;
    }

    /// Counts an answer.
    pub fn record_answer(&self, service: &Arc<str>, request: usize, answer: usize) {
        let mut totals = self.lock();
        let sizes = totals.sizes.entry(Arc::clone(service)).or_default();
        sizes.count += 1;
        sizes.request += request as u64;
        sizes.answer += answer as u64;
    }

    /// Counts a run at a pool owned here; `home` tells whether its request came from a host of this
    /// host's region.
    pub fn record_run(&self, service: &Arc<str>, time: Duration, local: bool) {
        let mut totals = self.lock();
        let work = totals.work.entry(Arc::clone(service)).or_default();
        work.count += 1;
        work.time += time;
        if local {
            work.local_time += time;
        }
    }

    /// Takes the sums and starts anew.
    pub fn drain(&self) -> TrafficTotals {
        mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, TrafficTotals> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
