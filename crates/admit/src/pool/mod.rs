//! The pool: one service's targets in one failure domain.

mod admit;
mod config;
mod finish;
mod isolation;
mod overload;
mod request;
mod start;
mod state;
mod timers;
mod types;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub use self::{
    config::{PoolConfig, TargetSpec},
    state::{Counts, Load, PoolState, TargetState},
    types::{Action, Cancelled, Completion, Decision, LoadReport, Offer, Outcome, RefusalReason},
};
use crate::{
    Quarantine, QuarantineStatus, QuarantineUpdate,
    fair_queue::FairQueue,
    pool::{
        isolation::IsolationQueue,
        overload::Overload,
        request::{Place, Request},
    },
    retry_budget::RetryTokens,
    service_time::{Class, Kinds},
    slot_shares::{DemandMeter, SlotShares},
    target::TargetSet,
};

/// The targets of one service in one failure domain, with the requests that wait and run.
///
/// After each call other than the read-only ones, call [`Pool::poll`] and perform the actions it
/// returns.
///
/// Invariants: a request is in `tickets` from its offer until its last run has ended; `queues`,
/// `isolation` and `start_deadlines` hold exactly the tickets that wait, `checks` exactly those
/// that run and are not settled; no target runs more requests than it has slots.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    targets: TargetSet,
    tickets: BTreeMap<u64, Request>,
    /// Short requests, then long requests.
    queues: [FairQueue; 2],
    /// The overload state of each class.
    overloads: [Overload; 2],
    isolation: IsolationQueue,
    /// Waiting requests by the time by which they must start.
    start_deadlines: BTreeSet<(Duration, u64)>,
    /// Running requests by the time of their next check for a late run.
    checks: BTreeSet<(Duration, u64)>,
    /// Runs of short requests, then of long requests.
    busy: [u32; 2],
    /// Sums of the expected service times of the runs, short and long, in microseconds.
    load: [u64; 2],
    kinds: Kinds,
    short_need: DemandMeter,
    budget: RetryTokens,
    quarantine: Quarantine,
    actions: Vec<Action>,
    counts: Counts,
}

impl Pool {
    /// Opens a pool. Its targets are warm unless their spec says that they are cold.
    pub fn open(config: PoolConfig, targets: &[TargetSpec], now: Duration) -> Self {
        let mut pool = Self {
            targets: TargetSet::open(targets, now),
            tickets: BTreeMap::new(),
            queues: [
                FairQueue::open(config.seed),
                FairQueue::open(config.seed.wrapping_add(1)),
            ],
            overloads: [Overload::default(); 2],
            isolation: IsolationQueue::default(),
            start_deadlines: BTreeSet::new(),
            checks: BTreeSet::new(),
            busy: [0; 2],
            load: [0; 2],
            kinds: Kinds::open(config.initial_estimate),
            short_need: DemandMeter::default(),
            budget: RetryTokens::open(config.retry_ratio),
            quarantine: Quarantine::open(),
            actions: Vec::new(),
            counts: Counts::default(),
            config,
        };
        pool.targets.refresh(&pool.config, now);
        pool
    }

    /// Applies new settings and targets. Requests that run or wait stay; a target that is no longer
    /// listed finishes its runs and gets no new ones; a new target starts cold. A new
    /// `initial_estimate` or `seed` has no effect on an open pool.
    pub fn reconfigure(&mut self, config: PoolConfig, targets: &[TargetSpec], now: Duration) {
        self.budget.set_ratio(config.retry_ratio);
        self.config = config;
        self.targets.reconfigure(targets, now);
        self.targets.refresh(&self.config, now);
    }

    /// Cancels a request whose caller has disconnected or given up.
    pub fn cancel(&mut self, ticket: u64, _now: Duration) -> Cancelled {
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return Cancelled::Unknown;
        };
        if request.settled {
            return Cancelled::Unknown;
        }
        if request.place != Place::Running {
            let ran = request.ran;
            self.remove_from_queue(ticket);
            self.tickets.remove(&ticket);
            return Cancelled::Queued { ran };
        }
        request.settled = true;
        let names = request
            .runs
            .iter()
            .map(|r| Arc::clone(&self.targets.get(r.target).name));
        let names = names.collect();
        self.checks.remove(&(request.check, ticket));
        Cancelled::Running(names)
    }

    /// Applies a target's report of its own load.
    pub fn report(&mut self, target: &str, report: LoadReport, now: Duration) {
        self.targets.report(target, report, &self.config, now);
    }

    /// Records that a target rejected a request and wants no others for a time. Requests in the
    /// queue that can no longer start in time are refused. Call [`Pool::poll`] after it.
    pub fn back_off(&mut self, target: &str, time: Duration, now: Duration) {
        self.targets.back_off(target, time, now);
        self.targets.refresh(&self.config, now);
        for class in [Class::Short, Class::Long] {
            self.evict_late(class, now);
        }
    }

    /// Merges a quarantine update from a peer.
    pub fn apply_update(&mut self, update: QuarantineUpdate, now: Duration) {
        self.quarantine.apply_update(update, now);
    }

    /// Returns the quarantine updates for the peers since the last call.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        self.quarantine.take_updates()
    }

    /// Returns all live quarantine records, for a new peer.
    pub fn all_updates(&self, now: Duration) -> Vec<QuarantineUpdate> {
        self.quarantine.all_updates(now)
    }

    /// Returns a summary for the hosts that hand requests over.
    pub fn load(&self, now: Duration) -> Load {
        let work: u64 = self.queues.iter().map(FairQueue::work).sum();
        let slots = self.targets.slots();
        let busy = self.busy[0] + self.busy[1];
        let slot_interval = self.slot_interval();
        let full = if busy >= slots {
            slot_interval
        } else {
            Duration::ZERO
        };
        Load {
            queued: self.waiting() as u32,
            busy,
            slots: if self.targets.usable(now) { slots } else { 0 },
            queue_delay: full + Duration::from_micros(work / u64::from(slots.max(1))),
            slot_interval,
        }
    }

    /// Returns a snapshot for a dump.
    pub fn state(&self, now: Duration) -> PoolState {
        PoolState {
            load: self.load(now),
            short_busy: self.busy[0],
            long_busy: self.busy[1],
            reserve: self.slot_shares(now).reserve,
            budget: self.budget.tokens(),
            suspects: self.quarantine.count(QuarantineStatus::Suspect, now) as u32,
            quarantined: self.quarantine.count(QuarantineStatus::Convict, now) as u32,
            kinds: self.kinds.len() as u32,
            counts: self.counts,
            targets: self
                .targets
                .iter()
                .map(|t| TargetState::read(t, now))
                .collect(),
        }
    }

    /// Returns the number of waiting requests.
    fn waiting(&self) -> usize {
        self.start_deadlines.len()
    }

    /// Returns the expected time between two slots becoming free while all slots are in use.
    fn slot_interval(&self) -> Duration {
        let busy = u64::from(self.busy[0] + self.busy[1]).max(1);
        let mean = match self.load[0] + self.load[1] {
            0 => self.config.initial_estimate,
            work => Duration::from_micros(work / busy),
        };
        mean / self.targets.slots().max(1)
    }

    /// Returns the present division of the slots.
    fn slot_shares(&self, now: Duration) -> SlotShares {
        let need = self.short_need.read(now);
        SlotShares::divide(self.targets.slots(), &self.config, need, self.busy)
    }

    /// Removes a waiting request from its queue.
    fn remove_from_queue(&mut self, ticket: u64) {
        let Some(request) = self.tickets.get(&ticket) else {
            return;
        };
        match request.place {
            Place::Queued(queue_key) => self.queues[request.class as usize].remove(queue_key),
            Place::Isolated => self.isolation.remove(ticket),
            Place::Running => return,
        }
        self.start_deadlines.remove(&(request.start_by, ticket));
    }

    /// Returns the maximum time that a request of a class with this mean service time may wait,
    /// from `now` on.
    fn max_wait(&self, class: Class, mean: Duration, now: Duration) -> Duration {
        let is_sustained = self.overloads[class as usize].is_sustained(self.config.burst_time, now);
        let most = if is_sustained {
            self.config.overload_wait
        } else {
            self.config.max_wait
        };
        most.max(mean)
    }

    fn class(&self, mean: Duration) -> Class {
        if mean <= self.config.short_max {
            Class::Short
        } else {
            Class::Long
        }
    }
}
