//! What one host knows about each target from its own exchanges.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::{
    admit::direct::{ColdStartLimiter, Ejection},
    steer::hash,
};

use tokio::sync::Notify;

use super::{connection::Link, idle::Kept};
use crate::{
    model::{ReportedLoad, Target},
    replica::View,
};

/// Idle connections kept to one target: as many as it has slots are used at a time, and each that
/// is kept saves the target an accept.
const IDLE: usize = 12;

/// How long a reported load counts; it fades over this time. Targets' runs take some hundred
/// milliseconds, after which others have begun.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// A target as this host sees it.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) target: Arc<Target>,
    pub(super) seed: u64,
    pub(super) aside: RefCell<Ejection>,
    pub(super) cold: RefCell<ColdStartLimiter>,
    /// Tells those whose requests are at the target that it is down.
    pub(super) fell: Notify,
    /// Requests of this host that are at the target.
    own: Cell<u32>,
    /// Requests of other hosts there, when that was reported.
    others: Cell<(u32, Duration)>,
    idle: RefCell<Vec<Kept>>,
}

impl Lane {
    fn open(target: Arc<Target>) -> Lane {
        Lane {
            seed: hash::hash_str(&target.id),
            target,
            aside: RefCell::new(Ejection::open()),
            cold: RefCell::new(ColdStartLimiter::open()),
            fell: Notify::new(),
            own: Cell::new(0),
            others: Cell::new((0, Duration::ZERO)),
            idle: RefCell::default(),
        }
    }

    /// Whether it is the lane of this process of the target.
    fn is_of(&self, target: &Target) -> bool {
        (self.target.born, self.target.address) == (target.born, target.address)
    }

    /// Requests that the target runs or queues, as far as is known.
    pub(super) fn busy(&self, now: Duration) -> u32 {
        let (others, at) = self.others.get();
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_TIME.as_secs_f64();
        let left = f64::from(others) * (1.0 - age).max(0.0);
        self.own.get() + left.round() as u32
    }

    /// Age of the load that the target reported last.
    pub(super) fn load_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.others.get().1)
    }

    /// Takes the load of an answer in; the answered request is still counted among this host's own.
    pub(super) fn report(&self, load: ReportedLoad, now: Duration) {
        let own = self.own.get().saturating_sub(1);
        let others = (load.running + load.waiting).saturating_sub(own);
        self.others.set((others, now));
    }

    /// Counts a request that goes to the target, until the guard is dropped.
    pub(super) fn enter(self: &Rc<Lane>) -> Visit {
        self.own.set(self.own.get() + 1);
        Visit(Rc::clone(self))
    }

    /// Takes an idle connection.
    pub(super) fn take(&self) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            let link = kept.take();
            if link.is_reusable() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(super) fn keep(&self, link: Link) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE {
            idle.extend(Kept::keep(link));
        }
    }

    /// Closes all idle connections: one to a target that is down would take a request with it.
    pub(super) fn close(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// A request at a target.
#[derive(Debug)]
pub(super) struct Visit(Rc<Lane>);

impl Drop for Visit {
    fn drop(&mut self) {
        self.0.own.set(self.0.own.get() - 1);
    }
}

/// All lanes.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    held: RefCell<BTreeMap<Arc<str>, Rc<Lane>>>,
    /// Number of the view that the lanes were last compared with.
    number: Cell<u64>,
}

impl Lanes {
    /// The lane of a target's present process.
    ///
    /// One that started again under its id has lost what was at it, is sound, and knows no object:
    /// nothing of its old lane holds, and repeatable requests at the old process go elsewhere at once.
    pub(super) fn get(&self, target: &Arc<Target>) -> Rc<Lane> {
        let mut held = self.held.borrow_mut();
        let lane = held
            .entry(Arc::clone(&target.id))
            .or_insert_with(|| Rc::new(Lane::open(Arc::clone(target))));
        if !lane.is_of(target) {
            let old = std::mem::replace(lane, Rc::new(Lane::open(Arc::clone(target))));
            old.close();
            old.fell.notify_waiters();
        }
        Rc::clone(lane)
    }

    /// Forgets targets that get no more work, and closes their idle connections.
    pub(super) fn prune(&self, view: &View) {
        if self.number.replace(view.change) == view.change {
            return;
        }
        let live: BTreeSet<_> = {
            let live = view.services.values().flatten();
            live.map(|k| &k.target.id).collect()
        };
        self.held.borrow_mut().retain(|id, _| live.contains(id));
    }
}
