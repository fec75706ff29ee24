//! What targets have said about themselves to this host, for all of its threads.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dunlinrock_decide::admit::direct::{Notices, Process};

use crate::model::Target;

/// Notices of all targets to this host.
#[derive(Debug, Default)]
pub struct TargetNotices(Mutex<Notices>);

impl TargetNotices {
    /// Records that a target is leaving. Returns whether that is new.
    pub(crate) fn record_leaving(&self, target: &Target, now: Duration) -> bool {
        self.lock().record_leaving(process(target), now)
    }

    /// Records that a target wants no requests for a time. Returns whether a backoff begins.
    pub(crate) fn record_backoff(&self, target: &Target, time: Duration, now: Duration) -> bool {
        self.lock().record_backoff(process(target), time, now)
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

fn process(target: &Target) -> Process {
    Process {
        id: target.id.clone(),
        born: target.born,
    }
}
