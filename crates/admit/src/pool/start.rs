//! Starts of waiting requests.

use std::{sync::Arc, time::Duration};

use crate::{
    Action, Pool, RefusalReason,
    fair_queue::QueueKey,
    pool::request::{Place, Run},
    service_time::Class,
};

/// Maximum number of requests at the head of a queue that are tried when the first cannot be
/// placed, because the only free targets are those that it has tried.
const MAX_SCAN: usize = 4;

impl Pool {
    /// Starts requests as long as there are free slots.
    pub(super) fn start_queued_requests(&mut self, now: Duration) {
        while let Some(class) = self.next_class(now) {
            if !self.start_next(class, now) {
                return;
            }
        }
    }

    fn next_class(&self, now: Duration) -> Option<Class> {
        let [short, long] = [0, 1].map(|i| !self.queues[i].is_empty());
        if !short && !long {
            return None;
        }
        self.slot_shares(now).next(short, long)
    }

    /// Starts the first request of a class that can be placed; returns false if there is none.
    fn start_next(&mut self, class: Class, now: Duration) -> bool {
        for i in 0..MAX_SCAN {
            let Some(ticket) = self.queues[class as usize].peek(i) else {
                return false;
            };
            let Some(request) = self.tickets.get(&ticket) else {
                return false;
            };
            if request.start_by < now {
                let reason = request.reason;
                self.refuse(ticket, reason, now);
                return true;
            }
            let Place::Queued(queue_key) = request.place else {
                return false;
            };
            if let Some(status) = self.quarantine.status(request.fingerprint, now) {
                self.divert(ticket, status, now);
                return true;
            }
            if let Some(at) = self
                .targets
                .place(&request.placement_request(self.depth_per_slot(), now), now)
            {
                self.start_queued(ticket, class, queue_key, at, now);
                return true;
            }
        }
        false
    }

    /// Returns the queue depth per slot: the mean service times until a slot is expected to be free
    /// for a waiting request.
    pub(super) fn depth_per_slot(&self) -> f64 {
        (self.waiting() + 1) as f64 / f64::from(self.targets.slots().max(1))
    }

    fn start_queued(
        &mut self,
        ticket: u64,
        class: Class,
        queue_key: QueueKey,
        at: usize,
        now: Duration,
    ) {
        self.queues[class as usize].start(queue_key, now);
        self.start_waiting(ticket, at, now);
    }

    /// Starts a request that was removed from its queue.
    pub(super) fn start_waiting(&mut self, ticket: u64, at: usize, now: Duration) {
        let Some(request) = self.tickets.get(&ticket) else {
            return;
        };
        let first = request.tried.is_empty() && !request.ran;
        self.start_deadlines.remove(&(request.start_by, ticket));
        let target = self.run(ticket, at, now);
        self.actions.push(Action::Start { ticket, target });
        if first {
            self.counts.started += 1;
            self.budget.record_request();
        }
    }

    /// Records a run of a request that is in `tickets` and in no queue.
    pub(super) fn run(&mut self, ticket: u64, at: usize, now: Duration) -> Arc<str> {
        self.targets.start(at, ticket, &self.config, now);
        if let Some(request) = self.tickets.get_mut(&ticket) {
            let hedge = !request.runs.is_empty();
            request.place = Place::Running;
            request.runs.push(Run {
                target: at,
                since: now,
                hedge,
                crash_counted: false,
            });
            self.busy[request.class as usize] += 1;
            self.load[request.class as usize] += request.estimate.mean.as_micros() as u64;
            if !hedge {
                request.check = now + request.estimate.p95;
                self.checks.insert((request.check, ticket));
            }
        }
        Arc::clone(&self.targets.get(at).name)
    }

    /// Refuses a waiting request.
    pub(super) fn refuse(&mut self, ticket: u64, reason: RefusalReason, now: Duration) {
        self.remove_from_queue(ticket);
        let Some(request) = self.tickets.remove(&ticket) else {
            return;
        };
        let retry_after = self.retry_after(reason, request.fingerprint, now);
        self.counts.refused += 1;
        self.actions.push(Action::Refuse {
            ticket,
            reason,
            retry_after,
            ran: request.ran,
        });
    }
}
