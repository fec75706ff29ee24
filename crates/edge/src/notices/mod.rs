//! What targets have said about themselves to this host, for all of its threads.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dunlinrock_decide::admit::direct::{Admission, Notices, Process};

use crate::model::Target;

/// Notices of all targets to this host.
#[derive(Debug, Default)]
pub struct TargetNotices(Mutex<Notices>);

impl TargetNotices {
    /// Records that a target's process is leaving. Returns whether that is new.
    pub(crate) fn record_leaving(&self, process: Process, now: Duration) -> bool {
        self.lock().record_leaving(process, now)
    }

    /// Records that a target wants no requests for a time. Returns whether a backoff begins.
    pub(crate) fn record_backoff(&self, target: &Target, time: Duration, now: Duration) -> bool {
        self.lock().record_backoff(process(target), time, now)
    }

    /// Records that a target has answered a request.
    pub(crate) fn record_answer(&self, target: &Target, now: Duration) {
        let mut notices = self.lock();
        if !notices.is_empty() {
            notices.record_answer(&process(target), target.slots, now);
        }
    }

    /// Returns whether a target takes a request now, while it has `in_flight` requests of this
    /// host.
    pub(crate) fn admission(&self, target: &Target, in_flight: u32, now: Duration) -> Admission {
        let notices = self.lock();
        match notices.is_empty() {
            true => Admission::Open,
            false => notices.admission(&process(target), in_flight, now),
        }
    }

    /// Returns the targets that take requests now, or all if none of them does.
    pub(crate) fn prefer_open(&self, targets: Vec<Arc<Target>>, now: Duration) -> Vec<Arc<Target>> {
        let is_open = |target: &Arc<Target>| self.admission(target, 0, now) == Admission::Open;
        let open: Vec<_> = targets.iter().filter(|t| is_open(t)).cloned().collect();
        if open.is_empty() { targets } else { open }
    }

    /// Describes the targets that take no requests now, by id, for a dump.
    pub(crate) fn describe(&self, now: Duration) -> serde_json::Map<String, serde_json::Value> {
        let closed = self.lock().closed(now).into_iter();
        let closed = closed.map(|(process, admission)| {
            let admission = format!("{admission:?}");
            (process.id.to_string(), admission.into())
        });
        closed.collect()
    }

    fn lock(&self) -> MutexGuard<'_, Notices> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the process that announced a target.
pub(crate) fn process(target: &Target) -> Process {
    Process {
        id: target.id.clone(),
        born: target.born,
    }
}
