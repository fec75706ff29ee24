//! A pool of this host with the tasks of its requests.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use dunlinrock_decide::admit::{
    Action, Cancelled, Completion, Decision, LoadReport, Offer, Outcome, Pool, QuarantineUpdate,
};

use super::{Event, EventSender, PoolId, PoolReport, PoolSpec};

/// A pool and the tasks of its requests.
///
/// Invariant: each ticket in the pool has an entry in `tasks`, unless its task has ended.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pool: Pool,
    tasks: BTreeMap<u64, RequestTask>,
    /// Whether another host owns the pool now. A released pool only waits for its last runs to end.
    released: bool,
}

/// Task of a request.
#[derive(Debug)]
struct RequestTask {
    events: EventSender,
    /// Whether the request runs at a target now; otherwise it is queued.
    running: bool,
}

impl OwnedPool {
    pub(super) fn open(spec: &PoolSpec, now: Duration) -> OwnedPool {
        let mut pool = Pool::open(spec.rules.clone(), &spec.targets, now);
        for update in &spec.quarantines {
            pool.apply_update(*update, now);
        }
        OwnedPool {
            pool,
            tasks: BTreeMap::new(),
            released: false,
        }
    }

    pub(super) fn reconfigure(&mut self, spec: &PoolSpec, now: Duration) {
        self.released = false;
        self.pool
            .reconfigure(spec.rules.clone(), &spec.targets, now);
        self.poll(now);
    }

    /// Returns queued requests to their tasks; running requests stay until they end.
    pub(super) fn release(&mut self, now: Duration) {
        self.released = true;
        let (running, waiting) = mem::take(&mut self.tasks)
            .into_iter()
            .partition(|(_, task)| task.running);
        self.tasks = running;
        let waiting: BTreeMap<u64, RequestTask> = waiting;
        for (ticket, task) in waiting {
            let event = match self.pool.cancel(ticket, now) {
                Cancelled::Queued { ran: true } => Event::Ended(Completion::Final { ran: true }),
                _ => Event::NotOwner,
            };
            task.events.send(event);
        }
    }

    /// Returns whether another host owns the pool and its last run here has ended.
    pub(super) fn is_done(&self) -> bool {
        self.released && self.tasks.is_empty()
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.pool.next_wake()
    }

    pub(super) fn offer(&mut self, offer: Offer, events: EventSender, now: Duration) {
        if self.released {
            events.send(Event::NotOwner);
            return;
        }
        let ticket = offer.ticket;
        match self.pool.offer(offer, now) {
            Decision::Start { target } => {
                events.send(Event::Start(target));
                self.tasks.insert(
                    ticket,
                    RequestTask {
                        events,
                        running: true,
                    },
                );
            }
            Decision::Queued => {
                self.tasks.insert(
                    ticket,
                    RequestTask {
                        events,
                        running: false,
                    },
                );
            }
            Decision::Refused {
                reason,
                retry_after,
            } => {
                events.send(Event::Refused {
                    reason,
                    retry_after,
                    ran: false,
                });
            }
        }
        self.poll(now);
    }

    pub(super) fn finish(
        &mut self,
        ticket: u64,
        target: &str,
        (outcome, report): (Outcome, Option<LoadReport>),
        backoff: Option<Duration>,
        now: Duration,
    ) {
        if let Some(time) = backoff {
            self.pool.back_off(target, time, now);
        }
        if let Some(report) = report {
            self.pool.report(target, report, now);
        }
        let ending = self.pool.finish(ticket, target, outcome, now);
        match ending {
            Completion::Final { .. } => {
                if let Some(task) = self.tasks.remove(&ticket) {
                    task.events.send(Event::Ended(ending));
                }
            }
            Completion::Retry | Completion::Pending => {
                if let Some(task) = self.tasks.get_mut(&ticket) {
                    task.running = ending == Completion::Pending;
                    task.events.send(Event::Ended(ending));
                }
            }
            Completion::Stale => {}
        }
        self.poll(now);
    }

    pub(super) fn cancel(&mut self, ticket: u64, now: Duration) {
        self.tasks.remove(&ticket);
        if let Cancelled::Running(targets) = self.pool.cancel(ticket, now) {
            // The task dropped its connections before it sent the cancellation.
            for target in targets {
                self.pool.finish(ticket, &target, Outcome::Cancelled, now);
            }
        }
        self.poll(now);
    }

    pub(super) fn apply_quarantines(&mut self, updates: &[QuarantineUpdate], now: Duration) {
        for update in updates {
            self.pool.apply_update(*update, now);
        }
        self.poll(now);
    }

    pub(super) fn report(&mut self, id: &Arc<PoolId>, now: Duration) -> PoolReport {
        PoolReport {
            id: Arc::clone(id),
            load: self.pool.load(now),
            state: self.pool.state(now),
            // All unexpired updates, regardless of the requester: the control worker broadcasts
            // those that are new to it, and a dump must not consume an update before other hosts
            // have received it.
            quarantines: self.pool.all_updates(now),
            released: self.released,
        }
    }

    /// Executes all due actions.
    pub(super) fn poll(&mut self, now: Duration) {
        for action in self.pool.poll(now) {
            match action {
                Action::Start { ticket, target } | Action::Hedge { ticket, target } => {
                    self.start(ticket, target, now);
                }
                Action::Abort { ticket, target } => {
                    if let Some(task) = self.tasks.get(&ticket) {
                        task.events.send(Event::Abort(Arc::clone(&target)));
                    }
                    self.pool.finish(ticket, &target, Outcome::Cancelled, now);
                }
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                    ran,
                } => {
                    if let Some(task) = self.tasks.remove(&ticket) {
                        task.events.send(Event::Refused {
                            reason,
                            retry_after,
                            ran,
                        });
                    }
                }
            }
        }
    }

    fn start(&mut self, ticket: u64, target: Arc<str>, now: Duration) {
        match self.tasks.get_mut(&ticket) {
            Some(task) => {
                task.running = true;
                task.events.send(Event::Start(target));
            }
            // The task ended between the offer and now, and its cancellation is still in the
            // channel.
            None => {
                self.pool.finish(ticket, &target, Outcome::Cancelled, now);
            }
        }
    }
}
