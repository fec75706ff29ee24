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
        direct::{
            ColdStartLimiter, Ejection, LoadFigure, LostSends, TargetLoad, TargetRate, ToldLoad,
        },
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

/// State of one target as this host sees it.
#[derive(Debug)]
pub(super) struct TargetHandle {
    pub(super) target: Arc<Target>,
    pub(super) id_hash: u64,
    pub(super) ejection: RefCell<Ejection>,
    pub(super) cold_limiter: RefCell<ColdStartLimiter>,
    /// Sends that were cancelled for second sends that answered.
    pub(super) lost: RefCell<LostSends>,
    /// Rate that the target names for all hosts together.
    pub(super) rate: RefCell<TargetRate>,
    /// Notifies requests in flight at the target that it is down.
    pub(super) down_notify: Notify,
    /// Requests of this host in flight at the target.
    in_flight: Cell<u32>,
    /// What the target and other hosts report of its load.
    load: Cell<TargetLoad>,
    /// Hash of the target's process, by which hosts report its load.
    process_hash: u32,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests of this host that the target runs or has left without a response.
    runs: RefCell<TargetRuns>,
    /// Whether a check is in progress whether the target lives.
    is_checked: Cell<bool>,
    /// Whether the last check was refused: no process listens at the target's address.
    is_refused: Cell<bool>,
    /// Notifies those that wait for the end of the check.
    check_notify: Notify,
}

impl TargetHandle {
    fn open(target: Arc<Target>) -> TargetHandle {
        TargetHandle {
            id_hash: hash::hash_str(&target.id),
            process_hash: target.process_hash(),
            target,
            ejection: RefCell::new(Ejection::open()),
            cold_limiter: RefCell::new(ColdStartLimiter::open()),
            lost: RefCell::default(),
            rate: RefCell::new(TargetRate::open()),
            down_notify: Notify::new(),
            in_flight: Cell::new(0),
            load: Cell::new(TargetLoad::open()),
            idle: RefCell::default(),
            runs: RefCell::default(),
            is_checked: Cell::new(false),
            is_refused: Cell::new(false),
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
        self.in_flight.get() + self.load.get().others(now)
    }

    /// Returns how long work takes at the target at the moment, as a multiple of the usual time;
    /// 1.0 if that is unknown.
    pub(super) fn pace(&self, now: Duration) -> f64 {
        self.load.get().pace(now)
    }

    /// Returns the time since the target last reported its pace; `None` if it never did.
    pub(super) fn pace_age(&self, now: Duration) -> Option<Duration> {
        self.load.get().pace_age(now)
    }

    /// Whether the target has ever reported its pace.
    pub(super) fn reports_pace(&self) -> bool {
        self.pace_age(Duration::ZERO).is_some()
    }

    /// Returns the age of the load that the target reported last.
    pub(super) fn load_age(&self, now: Duration) -> Duration {
        self.load.get().own_age(now)
    }

    /// Takes back a selection of the target: the request is not sent.
    pub(super) fn cancel_selection(&self) {
        self.ejection.borrow_mut().cancel_probe();
        self.rate.borrow_mut().cancel();
    }

    /// Records the load that a response reports; the answered request still counts among this
    /// host's own.
    pub(super) fn record_load(&self, reported: ReportedLoad, now: Duration) {
        let in_flight = self.in_flight.get().saturating_sub(1);
        self.record_load_beside(reported, in_flight, now);
    }

    /// Records the load that the answer to a question reports, which counts none of this host's
    /// requests more than those in flight.
    pub(super) fn record_load_at_rest(&self, reported: ReportedLoad, now: Duration) {
        self.record_load_beside(reported, self.in_flight.get(), now);
    }

    /// Records a reported load, in which this many requests of this host count.
    fn record_load_beside(&self, reported: ReportedLoad, in_flight: u32, now: Duration) {
        let total = reported.running.saturating_add(reported.waiting);
        let mut load = self.load.get();
        load.record_own(total, reported.pace, in_flight, now);
        self.load.set(load);
    }

    fn record_told(&self, told: &BTreeMap<u32, ToldLoad>, sent: Duration) {
        let mut load = self.load.get();
        load.record_told(told.get(&self.process_hash), sent);
        self.load.set(load);
    }

    /// Returns what this host reports of the target to others: its requests in flight, and what the
    /// target said after `since`; `None` if there is nothing to report.
    fn load_figure(&self, since: Duration, now: Duration) -> Option<LoadFigure> {
        let figure = LoadFigure {
            target: self.process_hash,
            in_flight: u16::try_from(self.in_flight.get()).unwrap_or(u16::MAX),
            said: self.load.get().said_since(since, now),
        };
        (figure.in_flight > 0 || figure.said.is_some()).then_some(figure)
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

    /// Records whether a check was refused.
    pub(super) fn record_check(&self, is_refused: bool) {
        self.is_refused.set(is_refused);
    }

    /// Whether the last check was refused.
    pub(super) fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Takes an idle connection that can be reused after the time that it has rested, and closes
    /// those that cannot.
    pub(super) fn take_idle(
        &self,
        mut allows: impl FnMut(Duration) -> bool,
    ) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(idle_connection) = idle.pop() {
            let connection = idle_connection.take();
            if connection.is_reusable() && allows(connection.rest()) {
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
    /// What the collector told last, by target, and when it was asked.
    told: RefCell<(BTreeMap<u32, ToldLoad>, Duration)>,
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
            .or_insert_with(|| self.open_handle(target));
        if !handle.matches(target) {
            let old = std::mem::replace(handle, self.open_handle(target));
            old.close_idle();
            old.down_notify.notify_waiters();
        }
        Rc::clone(handle)
    }

    fn open_handle(&self, target: &Arc<Target>) -> Rc<TargetHandle> {
        let handle = TargetHandle::open(Arc::clone(target));
        let (told, sent) = &*self.told.borrow();
        handle.record_told(told, *sent);
        Rc::new(handle)
    }

    /// Returns what this host reports of the targets' loads, with what they said after `since`.
    pub(super) fn load_figures(&self, since: Duration, now: Duration) -> Vec<LoadFigure> {
        let handles = self.handles.borrow();
        let figures = handles.values();
        figures.filter_map(|h| h.load_figure(since, now)).collect()
    }

    /// Records what the collector told in its answer to a report sent at `sent`. It tells nothing of
    /// targets that have room.
    pub(super) fn record_told(&self, told: &[ToldLoad], sent: Duration) {
        let told: BTreeMap<_, _> = told.iter().map(|told| (told.target, *told)).collect();
        for handle in self.handles.borrow().values() {
            handle.record_told(&told, sent);
        }
        self.told.replace((told, sent));
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
