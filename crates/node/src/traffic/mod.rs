//! Traffic measured at this host, as input to the decisions between regions.
//!
//! The serving workers add to a few totals under a lock that is held for nanoseconds. The control
//! worker reads and resets the totals once a second.

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Totals since the last [`TrafficMeter::drain`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficTotals {
    /// Requests that arrived, by service and region of callers.
    pub arrivals: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
    /// Sizes of requests and responses, by service.
    pub sizes: BTreeMap<Arc<str>, Sizes>,
    /// Work of the pools that this host owns, by service.
    pub work: BTreeMap<Arc<str>, Work>,
}

/// Total sizes of requests and responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sizes {
    /// Number of responses.
    pub count: u64,
    /// Bytes of their requests.
    pub request: u64,
    /// Bytes of the responses.
    pub answer: u64,
}

/// Total work of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Runs that ended.
    pub count: u64,
    /// Their total duration.
    pub time: Duration,
    /// Total duration of the runs whose requests came from hosts of this host's region.
    pub local_time: Duration,
}

/// Meter that the workers add to.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    totals: Mutex<TrafficTotals>,
}

impl TrafficMeter {
    /// Records the arrival of a caller's request.
    pub fn record_arrival(&self, service: &Arc<str>, callers: &Arc<str>) {
        let mut totals = self.lock();
        let flows = totals.arrivals.entry(Arc::clone(service)).or_default();
        *flows.entry(Arc::clone(callers)).or_default() += 1;
    }

    /// Records the sizes of a request and its response, in bytes.
    pub fn record_answer(&self, service: &Arc<str>, request: usize, answer: usize) {
        let mut totals = self.lock();
        let sizes = totals.sizes.entry(Arc::clone(service)).or_default();
        sizes.count += 1;
        sizes.request += request as u64;
        sizes.answer += answer as u64;
    }

    /// Records a run at a pool that this host owns. `local` is whether its request came from a host
    /// of this host's region.
    pub fn record_run(&self, service: &Arc<str>, time: Duration, local: bool) {
        let mut totals = self.lock();
        let work = totals.work.entry(Arc::clone(service)).or_default();
        work.count += 1;
        work.time += time;
        if local {
            work.local_time += time;
        }
    }

    /// Returns the totals and resets them.
    pub fn drain(&self) -> TrafficTotals {
        mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, TrafficTotals> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
