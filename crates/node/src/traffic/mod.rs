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
pub struct Sums {
    /// Requests taken in, by service and region of callers.
    pub entered: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
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
    pub home: Duration,
}

/// Sums that the duties add to.
#[derive(Debug, Default)]
pub struct Meters {
    sums: Mutex<Sums>,
}

impl Meters {
    /// Counts a request of a caller.
    pub fn entered(&self, service: &Arc<str>, callers: &Arc<str>) {
        let mut sums = self.lock();
        let lanes = sums.entered.entry(Arc::clone(service)).or_default();
        *lanes.entry(Arc::clone(callers)).or_default() += 1;
    }

    /// Counts an answer.
    pub fn answered(&self, service: &Arc<str>, request: usize, answer: usize) {
        let mut sums = self.lock();
        let sizes = sums.sizes.entry(Arc::clone(service)).or_default();
        sizes.count += 1;
        sizes.request += request as u64;
        sizes.answer += answer as u64;
    }

    /// Counts a run at a pool owned here; `home` tells whether its request came from a host of this
    /// host's region.
    pub fn ran(&self, service: &Arc<str>, time: Duration, home: bool) {
        let mut sums = self.lock();
        let work = sums.work.entry(Arc::clone(service)).or_default();
        work.count += 1;
        work.time += time;
        if home {
            work.home += time;
        }
    }

    /// Takes the sums and starts anew.
    pub fn take(&self) -> Sums {
        mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Sums> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
