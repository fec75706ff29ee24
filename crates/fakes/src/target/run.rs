//! The run of one request: waits in the backlog, takes a slot, runs and ends.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::Shared;

/// Parameters of the run of a request.
pub(super) struct WorkRequest {
    /// Idempotency key, of a request that must run at most once.
    pub(super) key: Option<Arc<str>>,
    /// Timeout of the caller, counted from the arrival.
    pub(super) deadline: Option<Duration>,
    /// Run time, if the request sets it.
    pub(super) work: Option<Duration>,
    /// Whether the request crashes its target.
    pub(super) crashes_target: bool,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The request was shed before its run started.
    Shed,
    /// The run was completed.
    Done,
    /// The run was started, and stopped at the deadline.
    DeadlineExceeded,
    /// The run crashed the target.
    Crashed,
}

/// Runs a request. Dropping the future stops the run and counts it as cancelled.
pub(super) async fn run(shared: &Arc<Shared>, request: WorkRequest) -> Outcome {
    let Some(mut guard) = RequestGuard::try_enqueue(shared) else {
        return Outcome::Shed;
    };
    let deadline = request.deadline.unwrap_or(Duration::MAX);
    let slot = time::timeout(deadline, Arc::clone(&shared.slots).acquire_owned());
    let arrived = shared.now();
    let Ok(Ok(slot)) = slot.await else {
        return guard.finish(Outcome::Shed);
    };
    let time = guard.start(&request);
    if request.crashes_target {
        return guard.finish(Outcome::Crashed);
    }
    let left = deadline.saturating_sub(shared.now().saturating_sub(arrived));
    // A timer takes at least a millisecond, so a run time of 0 skips it.
    if !time.is_zero() {
        time::sleep(time.min(left)).await;
    }
    drop(slot);
    match time > left {
        true => guard.finish(Outcome::DeadlineExceeded),
        false => guard.finish(Outcome::Done),
    }
}

/// Guard of a request at the target. Dropping it updates the load and the counts however the request
/// ends.
struct RequestGuard<'a> {
    shared: &'a Arc<Shared>,
    started: bool,
    finished: bool,
}

impl<'a> RequestGuard<'a> {
    fn try_enqueue(shared: &'a Arc<Shared>) -> Option<Self> {
        let entered = shared.lock().try_enqueue();
        entered.then(|| Self {
            shared,
            started: false,
            finished: false,
        })
    }

    fn start(&mut self, request: &WorkRequest) -> Duration {
        self.started = true;
        self.shared
            .change(|state| state.start(request.key.as_deref(), request.work))
    }

    fn finish(mut self, outcome: Outcome) -> Outcome {
        self.finished = true;
        let mut state = self.shared.lock();
        let count = match outcome {
            Outcome::Shed => &mut state.counts.shed,
            Outcome::Done => &mut state.counts.finished,
            Outcome::DeadlineExceeded => &mut state.counts.late,
            Outcome::Crashed => &mut state.counts.killed,
        };
        *count += 1;
        drop(state);
        outcome
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.shared.change(|state| {
            state.busy -= u32::from(self.started);
            state.waiting -= u32::from(!self.started);
            state.counts.cancelled += u64::from(!self.finished);
        });
    }
}
