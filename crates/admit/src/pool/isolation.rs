//! Isolated runs of suspects, each alone on its target; see [`Quarantine`](crate::Quarantine).
//!
//! Suspects run one at a time, because each takes a whole target for a moment: no new request
//! starts on the target until it is idle, the suspect runs, and the target is released.

use std::{collections::VecDeque, time::Duration};

use crate::{
    Decision, Pool, QuarantineStatus, RefusalReason,
    pool::request::{Place, Request},
    target::TargetSet,
};

/// Maximum number of suspects that wait for an isolated run. Each waits for the runs of those
/// before it, so a longer queue would not be served within usual deadlines.
const MAX_SUSPECTS: usize = 32;

/// The suspects that wait, and the one that has a target.
///
/// Invariant: `target` is isolated in `TargetSet` exactly while it is set here; `ticket` is set
/// only together with `target`.
#[derive(Debug, Default)]
pub(super) struct IsolationQueue {
    queue: VecDeque<u64>,
    target: Option<usize>,
    ticket: Option<u64>,
}

impl IsolationQueue {
    pub(super) fn push(&mut self, ticket: u64) {
        self.queue.push_back(ticket);
    }

    pub(super) fn remove(&mut self, ticket: u64) {
        self.queue.retain(|t| *t != ticket);
    }

    /// Releases the target if the run that has ended was the suspect's.
    pub(super) fn ended(&mut self, ticket: u64, targets: &mut TargetSet) {
        if self.ticket == Some(ticket) {
            self.ticket = None;
            self.release(targets);
        }
    }

    fn release(&mut self, targets: &mut TargetSet) {
        if let Some(at) = self.target.take() {
            targets.release(at);
        }
    }
}

impl Pool {
    /// Queues a suspect for an isolated run, if that is expected to start before its deadline.
    pub(super) fn offer_suspect(&mut self, mut request: Request, now: Duration) -> Decision {
        request.wait(self.config.max_wait, now);
        let before = self.isolation.queue.len() as u32 + u32::from(self.isolation.target.is_some());
        let each = request.estimate.mean * 2;
        if now + each * before > request.start_by {
            let retry_after = super::admit::clamp_retry_after(each * before);
            return self.refused(request.reason, retry_after);
        }
        if self.isolation.queue.len() >= MAX_SUSPECTS || self.waiting() >= self.config.max_queued {
            let retry_after = super::admit::clamp_retry_after(each * before);
            return self.refused(RefusalReason::QueueFull, retry_after);
        }
        request.place = Place::Isolated;
        self.start_deadlines
            .insert((request.start_by, request.ticket));
        self.isolation.push(request.ticket);
        self.tickets.insert(request.ticket, request);
        Decision::Queued
    }

    /// Starts the next isolated run if its target is idle, and isolates or releases targets.
    pub(super) fn advance_isolation(&mut self, now: Duration) {
        self.update_isolation(now);
        let Some(ticket) = self.isolation.queue.front().copied() else {
            if self.isolation.ticket.is_none() {
                self.isolation.release(&mut self.targets);
            }
            return;
        };
        if self.isolation.ticket.is_some() {
            return;
        }
        if self
            .isolation
            .target
            .is_some_and(|at| self.targets.get(at).limit == 0)
        {
            self.isolation.release(&mut self.targets);
        }
        let Some(request) = self.tickets.get(&ticket) else {
            return;
        };
        if self.isolation.target.is_none() {
            self.isolation.target = self.targets.isolate(&request.tried);
            self.targets.refresh(&self.config, now);
        }
        let Some(at) = self
            .isolation
            .target
            .filter(|at| self.targets.get(*at).busy() == 0)
        else {
            return;
        };
        self.isolation.queue.pop_front();
        self.isolation.ticket = Some(ticket);
        self.start_waiting(ticket, at, now);
    }

    /// Moves a request out of its usual queue, because a crash has happened since it was queued.
    pub(super) fn divert(&mut self, ticket: u64, status: QuarantineStatus, now: Duration) {
        if status == QuarantineStatus::Convict {
            return self.refuse(ticket, RefusalReason::Quarantined, now);
        }
        if self.isolation.queue.len() >= MAX_SUSPECTS {
            return self.refuse(ticket, RefusalReason::QueueFull, now);
        }
        self.remove_from_queue(ticket);
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return;
        };
        request.place = Place::Isolated;
        self.start_deadlines.insert((request.start_by, ticket));
        self.isolation.push(ticket);
    }

    /// Refuses queued suspects that were confirmed, and moves those that were cleared to the usual
    /// queue.
    fn update_isolation(&mut self, now: Duration) {
        for id in self.isolation.queue.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.tickets.get_mut(&id) else {
                continue;
            };
            match self.quarantine.status(request.fingerprint, now) {
                Some(QuarantineStatus::Suspect) => {}
                Some(QuarantineStatus::Convict) => self.refuse(id, RefusalReason::Quarantined, now),
                None => {
                    self.isolation.remove(id);
                    let work = request.estimate.mean.as_micros() as u64;
                    let queue = &mut self.queues[request.class as usize];
                    let queue_key = queue.push(id, request.caller, request.key, work);
                    request.place = Place::Queued(queue_key);
                }
            }
        }
    }
}
