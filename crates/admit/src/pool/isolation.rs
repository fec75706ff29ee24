//! Runs of suspects, each alone on its target.
//!
//! Load: see [`quarantine`](crate::Quarantine). One suspect at a time, because each takes a whole
//! target for a moment: new work stays off the target until it is idle, the suspect runs, and the
//! target is released.

use std::{collections::VecDeque, time::Duration};

use crate::{
    Decision, Pool, QuarantineStatus, RefusalReason,
    pool::request::{Place, Request},
    target::Targets,
};

/// Suspects that wait for a target of their own. Each waits for the runs of those before it, so
/// that a longer line would not be served within usual deadlines.
const TRIALS: usize = 32;

/// The suspects that wait, and the one that has a target.
///
/// Invariant: `target` is held in `Targets` exactly while it is set here; `ticket` is set only
/// together with `target`.
#[derive(Debug, Default)]
pub(super) struct Trials {
    line: VecDeque<u64>,
    target: Option<usize>,
    ticket: Option<u64>,
}

impl Trials {
    pub(super) fn push(&mut self, ticket: u64) {
        self.line.push_back(ticket);
    }

    pub(super) fn remove(&mut self, ticket: u64) {
        self.line.retain(|t| *t != ticket);
    }

    /// A run has ended; if it was the suspect's, its target is free for others.
    pub(super) fn ended(&mut self, ticket: u64, targets: &mut Targets) {
        if self.ticket == Some(ticket) {
            self.ticket = None;
            self.release(targets);
        }
    }

    fn release(&mut self, targets: &mut Targets) {
        if let Some(at) = self.target.take() {
            targets.release(at);
        }
    }
}

impl Pool {
    /// Takes a suspect's offer into the line, if its turn is expected before its deadline.
    pub(super) fn offer_trial(&mut self, mut request: Request, now: Duration) -> Decision {
        request.wait(self.rules.max_wait, now);
        let before = self.trials.line.len() as u32 + u32::from(self.trials.target.is_some());
        let each = request.estimate.mean * 2;
        if now + each * before > request.latest {
            let retry_after = super::admit::bounded(each * before);
            return self.refused(request.reason, retry_after);
        }
        if self.trials.line.len() >= TRIALS || self.waiting() >= self.rules.max_queued {
            let retry_after = super::admit::bounded(each * before);
            return self.refused(RefusalReason::QueueFull, retry_after);
        }
        request.place = Place::Trial;
        self.due.insert((request.latest, request.ticket));
        self.trials.push(request.ticket);
        self.tickets.insert(request.ticket, request);
        Decision::Queued
    }

    /// Moves the line of suspects on.
    pub(super) fn try_suspects(&mut self, now: Duration) {
        self.sort_cleared(now);
        let Some(ticket) = self.trials.line.front().copied() else {
            if self.trials.ticket.is_none() {
                self.trials.release(&mut self.targets);
            }
            return;
        };
        if self.trials.ticket.is_some() {
            return;
        }
        if self
            .trials
            .target
            .is_some_and(|at| self.targets.get(at).limit == 0)
        {
            self.trials.release(&mut self.targets);
        }
        let Some(request) = self.tickets.get(&ticket) else {
            return;
        };
        if self.trials.target.is_none() {
            self.trials.target = self.targets.hold(&request.tried);
            self.targets.refresh(&self.rules, now);
        }
        let Some(at) = self
            .trials
            .target
            .filter(|at| self.targets.get(*at).busy() == 0)
        else {
            return;
        };
        self.trials.line.pop_front();
        self.trials.ticket = Some(ticket);
        self.start_waiting(ticket, at, now);
    }

    /// Takes a request out of its usual queue, because a death has happened since it was queued.
    pub(super) fn divert(&mut self, ticket: u64, grade: QuarantineStatus, now: Duration) {
        if grade == QuarantineStatus::Convict {
            return self.refuse(ticket, RefusalReason::Quarantined, now);
        }
        if self.trials.line.len() >= TRIALS {
            return self.refuse(ticket, RefusalReason::QueueFull, now);
        }
        self.unqueue(ticket);
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return;
        };
        request.place = Place::Trial;
        self.due.insert((request.latest, ticket));
        self.trials.push(ticket);
    }

    /// Refuses those in line that were convicted, and queues those that were cleared.
    fn sort_cleared(&mut self, now: Duration) {
        for ticket in self.trials.line.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.tickets.get_mut(&ticket) else {
                continue;
            };
            match self.quarantine.status(request.fingerprint, now) {
                Some(QuarantineStatus::Suspect) => {}
                Some(QuarantineStatus::Convict) => {
                    self.refuse(ticket, RefusalReason::Quarantined, now)
                }
                None => {
                    self.trials.remove(ticket);
                    let work = request.estimate.mean.as_micros() as u64;
                    let queue = &mut self.queues[request.class as usize];
                    let slot = queue.push(ticket, request.caller, request.key, work);
                    request.place = Place::Queued(slot);
                }
            }
        }
    }
}
