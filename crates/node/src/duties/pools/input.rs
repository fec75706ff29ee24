//! What the duty takes in and what it tells the holders of requests.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{
    Completion, Load, LoadReport, Offer, Outcome, PoolState, QuarantineUpdate, RefusalReason,
};
use tokio::sync::{mpsc, oneshot};

use super::{PoolId, PoolSpec};

/// Something for the duty to do. What a full ring does is said for each.
#[derive(Debug)]
pub enum Input {
    /// These pools are this host's now, and no others. Sent again with the next view.
    SetPools(Vec<PoolSpec>),
    /// A request asks for a slot. Full ring: turned away, it has not run.
    Offer {
        /// The pool asked.
        pool: Arc<PoolId>,
        /// The request.
        offer: Offer,
        /// Where its holder listens.
        events: EventSender,
    },
    /// A run at a target has ended. Full ring: delivered later, since it frees a slot.
    Finish {
        /// The pool.
        pool: Arc<PoolId>,
        /// The request.
        ticket: u64,
        /// The target that ran it.
        target: Arc<str>,
        /// How it ended.
        outcome: Outcome,
        /// The target's word about its own load, where its answer brought one.
        report: Option<LoadReport>,
    },
    /// A holder is gone: its request leaves the queue, its runs have been aborted. Full ring:
    /// delivered later.
    Cancel {
        /// The pool.
        pool: Arc<PoolId>,
        /// The request.
        ticket: u64,
    },
    /// Words of other hosts about requests that kill their targets. Full ring: delivered later.
    Quarantines(Vec<QuarantineUpdate>),
    /// Asks for the state of every pool. Full ring: the asker goes without.
    GetState(oneshot::Sender<Vec<PoolReport>>),
    /// Looks at what is due.
    Tick,
    /// Ends the duty.
    Stop,
}

/// What a holder is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Send the request to this target.
    Start(Arc<str>),
    /// Drop the run at this target.
    Abort(Arc<str>),
    /// What a run's end means for the request.
    Ended(Completion),
    /// The request is turned away.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a new try may help.
        retry_after: Duration,
        /// Whether an earlier run of it may have had an effect.
        ran: bool,
    },
    /// Another host owns the pool; the request has not run here.
    NotOwner,
}

/// A holder's ear. Unbounded because a request has a handful of events in its life: one for each
/// run, abort and end, and the retry budget bounds the runs.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Opens an ear.
    pub fn channel() -> (EventSender, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (EventSender(sender), receiver)
    }

    /// Tells the holder, which may be gone.
    pub(super) fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }
}

/// One pool's state, for other hosts and dumps.
#[derive(Clone, Debug)]
pub struct PoolReport {
    /// Which pool.
    pub id: Arc<PoolId>,
    /// Summary for other hosts.
    pub load: Load,
    /// All of it.
    pub state: PoolState,
    /// Words about requests that kill their targets, all that hold.
    pub quarantines: Vec<QuarantineUpdate>,
    /// Whether it is only kept until its last run ends.
    pub released: bool,
}
