//! State of each target as this host observes it in its own exchanges with the target.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::{
    admit::{
        CrashedRun, RunTicket, TargetRuns,
        direct::{ColdStartLimiter, Ejection, TargetRate},
    },
    steer::hash,
};

use dunlinrock_node::clock::Clock;
use tokio::sync::Notify;

use super::{connection::TargetConnection, idle::IdleConnection};
use crate::{
    model::{Fingerprint, ReportedLoad, Target},
    replica::View,
};

/// Idle connections kept to one target: as many as it has slots are used at a time, and each saves
/// the target an accept.
const MAX_IDLE_PER_TARGET: usize = 12;

/// Time over which a reported load decays to nothing. Runs take some hundred milliseconds, after
/// which others have begun.
const LOAD_DECAY_TIME: Duration = Duration::from_secs(1);

/// State of one target as this host sees it.
#[derive(Debug)]
pub(super) struct TargetHandle {
    pub(super) target: Arc<Target>,
    pub(super) id_hash: u64,
    pub(super) ejection: RefCell<Ejection>,
    pub(super) cold_limiter: RefCell<ColdStartLimiter>,
    /// Rate that the target names for all hosts together.
    pub(super) rate: RefCell<TargetRate>,
    /// Notifies requests in flight at the target that it is down.
    pub(super) down_notify: Notify,
    /// Requests of this host in flight at the target.
    in_flight: Cell<u32>,
    /// Requests of other hosts in flight at the target, and when that was reported.
    reported_load: Cell<(u32, Duration)>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests of this host that the target runs or has left without a response.
    runs: RefCell<TargetRuns>,
    /// Whether a check is in progress whether the target lives.
    is_checked: Cell<bool>,
    /// Notifies those that wait for the end of the check.
    check_notify: Notify,
}

impl TargetHandle {
    fn open(target: Arc<Target>) -> TargetHandle {
        TargetHandle {
            id_hash: hash::hash_str(&target.id),
            target,
            ejection: RefCell::new(Ejection::open()),
            cold_limiter: RefCell::new(ColdStartLimiter::open()),
            rate: RefCell::new(TargetRate::open()),
            down_notify: Notify::new(),
            in_flight: Cell::new(0),
            reported_load: Cell::new((0, Duration::ZERO)),
            idle: RefCell::default(),
            runs: RefCell::default(),
            is_checked: Cell::new(false),
            check_notify: Notify::new(),
        }
    }

    /// Whether this is the handle of the given process of the target.
    fn matches(&self, target: &Target) -> bool {
        (self.target.born, self.target.address) == (target.born, target.address)
    }

    /// Returns the number of this host's requests in flight at the target.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the estimated number of requests that the target runs or queues.
    pub(super) fn busy(&self, now: Duration) -> u32 {
        let (reported_load, at) = self.reported_load.get();
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_DECAY_TIME.as_secs_f64();
        let remaining = f64::from(reported_load) * (1.0 - age).max(0.0);
        self.in_flight.get() + remaining.round() as u32
    }

    /// Returns the age of the load that the target reported last.
    pub(super) fn load_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.reported_load.get().1)
    }

    /// Takes back a selection of the target: the request is not sent.
    pub(super) fn cancel_selection(&self) {
        self.ejection.borrow_mut().cancel_probe();
        self.rate.borrow_mut().cancel();
    }

    /// Records the load that a response reports; the answered request still counts among this
    /// host's own.
    pub(super) fn record_load(&self, load: ReportedLoad, now: Duration) {
        let in_flight = self.in_flight.get().saturating_sub(1);
        let reported_load = (load.running + load.waiting).saturating_sub(in_flight);
        self.reported_load.set((reported_load, now));
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(super) fn track_request(self: &Rc<TargetHandle>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(Rc::clone(self))
    }

    /// Records that a request is sent to the target.
    pub(super) fn start_run(
        self: &Rc<TargetHandle>,
        fingerprint: Fingerprint,
        clock: Clock,
    ) -> RunGuard {
        let ticket = self.runs.borrow_mut().start(fingerprint.0, clock.now());
        RunGuard {
            handle: Rc::clone(self),
            ticket: Some(ticket),
            clock,
        }
    }

    /// Takes the requests that the end of the target's process left without a response, and the
    /// time of the first of them.
    pub(super) fn take_ended(&self, now: Duration) -> (Vec<CrashedRun>, Duration) {
        self.runs.borrow_mut().crash(now)
    }

    /// Records that the target's process lives.
    pub(super) fn confirm_alive(&self, now: Duration) {
        self.runs.borrow_mut().confirm_alive(now);
    }

    /// Whether the target has sent no response for this long.
    pub(super) fn is_silent(&self, time: Duration, now: Duration) -> bool {
        self.runs.borrow().is_silent(time, now)
    }

    /// Starts a check whether the target lives, unless one is in progress.
    pub(super) fn start_check(self: &Rc<TargetHandle>) -> Option<CheckGuard> {
        let is_idle = !self.is_checked.replace(true);
        is_idle.then(|| CheckGuard(Rc::clone(self)))
    }

    /// Waits for the end of the check in progress.
    pub(super) async fn check_ended(&self) {
        self.check_notify.notified().await;
    }

    /// Takes an idle connection that can be reused.
    pub(super) fn take_idle(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(idle_connection) = idle.pop() {
            let connection = idle_connection.take();
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(super) fn keep_idle(&self, connection: TargetConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_PER_TARGET {
            idle.extend(IdleConnection::keep(connection));
        }
    }

    /// Closes all idle connections: a request on one to a target that is down would be lost.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Counts a request in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Rc<TargetHandle>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A request that a target runs. Dropped without a result, it ended without a response.
#[derive(Debug)]
pub(super) struct RunGuard {
    handle: Rc<TargetHandle>,
    ticket: Option<RunTicket>,
    clock: Clock,
}

impl RunGuard {
    /// Records a complete response.
    pub(super) fn finish(mut self) {
        let ticket = self.ticket.take();
        let mut runs = self.handle.runs.borrow_mut();
        ticket
            .into_iter()
            .for_each(|t| runs.finish(t, self.clock.now()));
    }

    /// Records that the target never got the request.
    pub(super) fn withdraw(mut self) {
        let ticket = self.ticket.take();
        let mut runs = self.handle.runs.borrow_mut();
        ticket.into_iter().for_each(|t| runs.withdraw(t));
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.clock.now();
            self.handle.runs.borrow_mut().abandon(ticket, now);
        }
    }
}

/// Marks a target as being checked until it is dropped.
#[derive(Debug)]
pub(super) struct CheckGuard(Rc<TargetHandle>);

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.is_checked.set(false);
        self.0.check_notify.notify_waiters();
    }
}

/// Handles of all targets.
#[derive(Debug, Default)]
pub(super) struct TargetTable {
    handles: RefCell<BTreeMap<Arc<str>, Rc<TargetHandle>>>,
    /// Last change of the view that the handles were pruned for.
    change: Cell<u64>,
}

impl TargetTable {
    /// Returns the handle of a target's current process.
    ///
    /// A target that restarted under its id has lost its requests, is healthy and has no warm keys.
    /// So the state in its old handle is discarded, and idempotent requests in flight at the old
    /// process are retried elsewhere at once.
    pub(super) fn get(&self, target: &Arc<Target>) -> Rc<TargetHandle> {
        let mut handles = self.handles.borrow_mut();
        let handle = handles
            .entry(Arc::clone(&target.id))
            .or_insert_with(|| Rc::new(TargetHandle::open(Arc::clone(target))));
        if !handle.matches(target) {
            let old = std::mem::replace(handle, Rc::new(TargetHandle::open(Arc::clone(target))));
            old.close_idle();
            old.down_notify.notify_waiters();
        }
        Rc::clone(handle)
    }

    /// Closes the idle connections to all targets.
    pub(super) fn close_idle(&self) {
        let handles = self.handles.borrow();
        handles.values().for_each(|handle| handle.close_idle());
    }

    /// Forgets which targets were not reached, after lost links are restored.
    ///
    /// Returns those that were ejected for it.
    pub(super) fn forget_unreachable(&self) -> Vec<Arc<str>> {
        let mut recovered = Vec::new();
        for (id, handle) in &*self.handles.borrow() {
            let mut ejection = handle.ejection.borrow_mut();
            let was_ejected = ejection.is_ejected();
            ejection.forget_unreachable();
            if was_ejected && !ejection.is_ejected() {
                recovered.push(Arc::clone(id));
            }
        }
        recovered
    }

    /// Removes targets that get no more requests, and closes their idle connections.
    pub(super) fn prune(&self, view: &View) {
        if self.change.replace(view.change) == view.change {
            return;
        }
        let present: BTreeSet<_> = {
            let present = view.services.values().flatten();
            present.map(|k| &k.target.id).collect()
        };
        self.handles
            .borrow_mut()
            .retain(|id, _| present.contains(id));
    }
}
