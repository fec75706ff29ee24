//! One pool of this host and the holders of its requests.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use dunlinrock_decide::admit::{
    Action, Cancelled, Completion, Decision, LoadReport, Offer, Outcome, Pool, QuarantineUpdate,
};

use super::{Event, Events, PoolId, PoolPlan, PoolReport};

/// A pool and the holders of the requests it holds.
///
/// Invariant: a ticket that the pool holds has an entry in `holders`, unless its holder is gone.
#[derive(Debug)]
pub(super) struct Owned {
    pool: Pool,
    holders: BTreeMap<u64, Holder>,
    /// Another host owns the pool now; this one only waits for its last runs to end.
    released: bool,
}

/// The task that carries a request.
#[derive(Debug)]
struct Holder {
    events: Events,
    /// Whether the request runs at a target now; else it waits.
    runs: bool,
}

impl Owned {
    pub(super) fn open(plan: &PoolPlan, now: Duration) -> Owned {
        let mut pool = Pool::open(plan.rules.clone(), &plan.targets, now);
        for word in &plan.words {
            pool.apply_update(*word, now);
        }
        Owned {
            pool,
            holders: BTreeMap::new(),
            released: false,
        }
    }

    pub(super) fn reconfigure(&mut self, plan: &PoolPlan, now: Duration) {
        self.released = false;
        self.pool
            .reconfigure(plan.rules.clone(), &plan.targets, now);
        self.poll(now);
    }

    /// Gives waiting requests back to their holders; running ones stay until they end.
    pub(super) fn release(&mut self, now: Duration) {
        self.released = true;
        let (run, wait) = mem::take(&mut self.holders)
            .into_iter()
            .partition(|(_, h)| h.runs);
        self.holders = run;
        let waiting: BTreeMap<u64, Holder> = wait;
        for (ticket, holder) in waiting {
            let event = match self.pool.cancel(ticket, now) {
                Cancelled::Queued { ran: true } => Event::Ended(Completion::Final { ran: true }),
                _ => Event::NotOwner,
            };
            holder.events.tell(event);
        }
    }

    /// Whether another host owns the pool and its last run here has ended.
    pub(super) fn is_done(&self) -> bool {
        self.released && self.holders.is_empty()
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.pool.next_wake()
    }

    pub(super) fn offer(&mut self, offer: Offer, events: Events, now: Duration) {
        if self.released {
            events.tell(Event::NotOwner);
            return;
        }
        let ticket = offer.ticket;
        match self.pool.offer(offer, now) {
            Decision::Start { target } => {
                events.tell(Event::Start(target));
                self.holders.insert(ticket, Holder { events, runs: true });
            }
            Decision::Queued => {
                self.holders.insert(
                    ticket,
                    Holder {
                        events,
                        runs: false,
                    },
                );
            }
            Decision::Refused {
                reason,
                retry_after,
            } => {
                events.tell(Event::Refused {
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
        now: Duration,
    ) {
        if let Some(report) = report {
            self.pool.report(target, report, now);
        }
        let ending = self.pool.finish(ticket, target, outcome, now);
        match ending {
            Completion::Final { .. } => {
                if let Some(holder) = self.holders.remove(&ticket) {
                    holder.events.tell(Event::Ended(ending));
                }
            }
            Completion::Retry | Completion::Pending => {
                if let Some(holder) = self.holders.get_mut(&ticket) {
                    holder.runs = ending == Completion::Pending;
                    holder.events.tell(Event::Ended(ending));
                }
            }
            Completion::Stale => {}
        }
        self.poll(now);
    }

    pub(super) fn cancel(&mut self, ticket: u64, now: Duration) {
        self.holders.remove(&ticket);
        if let Cancelled::Running(targets) = self.pool.cancel(ticket, now) {
            // The holder dropped its connections before it said that it is gone.
            for target in targets {
                self.pool.finish(ticket, &target, Outcome::Cancelled, now);
            }
        }
        self.poll(now);
    }

    pub(super) fn hear(&mut self, words: &[QuarantineUpdate], now: Duration) {
        for word in words {
            self.pool.apply_update(*word, now);
        }
        self.poll(now);
    }

    pub(super) fn tell(&mut self, id: &Arc<PoolId>, now: Duration) -> PoolReport {
        PoolReport {
            id: Arc::clone(id),
            load: self.pool.load(now),
            state: self.pool.state(now),
            // All that hold, whoever asks: the control duty tells what is new to it, and a dump must
            // not take a word away before other hosts have heard of it.
            words: self.pool.all_updates(now),
            released: self.released,
        }
    }

    /// Does all that is due.
    pub(super) fn poll(&mut self, now: Duration) {
        for action in self.pool.poll(now) {
            match action {
                Action::Start { ticket, target } | Action::Hedge { ticket, target } => {
                    self.start(ticket, target, now);
                }
                Action::Abort { ticket, target } => {
                    if let Some(holder) = self.holders.get(&ticket) {
                        holder.events.tell(Event::Abort(Arc::clone(&target)));
                    }
                    self.pool.finish(ticket, &target, Outcome::Cancelled, now);
                }
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                    ran,
                } => {
                    if let Some(holder) = self.holders.remove(&ticket) {
                        holder.events.tell(Event::Refused {
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
        match self.holders.get_mut(&ticket) {
            Some(holder) => {
                holder.runs = true;
                holder.events.tell(Event::Start(target));
            }
            // Its holder went between the offer and now, and its cancel is still in the ring.
            None => {
                self.pool.finish(ticket, &target, Outcome::Cancelled, now);
            }
        }
    }
}
