//! The run of one request: a place in the backlog, a slot, work, an end.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::Shared;

/// What a request asks of a target.
pub(super) struct Job {
    /// Key of a request that may not be repeated.
    pub(super) key: Option<Arc<str>>,
    /// Time the caller gives; counts from the arrival.
    pub(super) deadline: Option<Duration>,
    /// Time of the work, where the request says so.
    pub(super) work: Option<Duration>,
    /// Whether the request takes its target down.
    pub(super) kills: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Never started.
    Shed,
    /// Ran to its end.
    Done,
    /// Started, and stopped at the deadline.
    Late,
    /// Took the target down.
    Killed,
}

/// Runs a request. Dropping the future stops the work and counts it as cancelled.
pub(super) async fn run(shared: &Arc<Shared>, job: Job) -> Outcome {
    let Some(mut stay) = Stay::enter(shared) else {
        return Outcome::Shed;
    };
    let deadline = job.deadline.unwrap_or(Duration::MAX);
    let slot = time::timeout(deadline, Arc::clone(&shared.slots).acquire_owned());
    let arrived = shared.now();
    let Ok(Ok(slot)) = slot.await else {
        return stay.end(Outcome::Shed);
    };
    let time = stay.begin(&job);
    if job.kills {
        return stay.end(Outcome::Killed);
    }
    let left = deadline.saturating_sub(shared.now().saturating_sub(arrived));
    // A timer takes a millisecond at least: work that takes no time does not wait for one.
    if !time.is_zero() {
        time::sleep(time.min(left)).await;
    }
    drop(slot);
    match time > left {
        true => stay.end(Outcome::Late),
        false => stay.end(Outcome::Done),
    }
}

/// A request's stay at the target; counted out when it goes, however it goes.
struct Stay<'a> {
    shared: &'a Arc<Shared>,
    began: bool,
    ended: bool,
}

impl<'a> Stay<'a> {
    fn enter(shared: &'a Arc<Shared>) -> Option<Self> {
        let entered = shared.lock().enter();
        entered.then(|| Self {
            shared,
            began: false,
            ended: false,
        })
    }

    fn begin(&mut self, job: &Job) -> Duration {
        self.began = true;
        self.shared
            .change(|state| state.begin(job.key.as_deref(), job.work))
    }

    fn end(mut self, outcome: Outcome) -> Outcome {
        self.ended = true;
        let mut state = self.shared.lock();
        let count = match outcome {
            Outcome::Shed => &mut state.counts.shed,
            Outcome::Done => &mut state.counts.finished,
            Outcome::Late => &mut state.counts.late,
            Outcome::Killed => &mut state.counts.killed,
        };
        *count += 1;
        drop(state);
        outcome
    }
}

impl Drop for Stay<'_> {
    fn drop(&mut self) {
        self.shared.change(|state| {
            state.busy -= u32::from(self.began);
            state.waiting -= u32::from(!self.began);
            state.counts.cancelled += u64::from(!self.ended);
        });
    }
}
