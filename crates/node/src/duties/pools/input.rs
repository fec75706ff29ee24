//! Inputs of the pools worker and events for the tasks that run requests.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{
    Completion, Load, LoadReport, Offer, Outcome, PoolState, QuarantineUpdate, RefusalReason,
};
use tokio::sync::{mpsc, oneshot};

use super::{PoolId, PoolSpec};

/// Input of the worker. The comment of each variant states what happens if the channel is full.
#[derive(Debug)]
pub enum Input {
    /// The set of pools that this host owns now. Sent again with the next view.
    SetPools(Vec<PoolSpec>),
    /// A request for a slot. Full channel: refused; the request has not run.
    Offer {
        /// Requested pool.
        pool: Arc<PoolId>,
        /// The request.
        offer: Offer,
        /// Channel for the events of the request.
        events: EventSender,
    },
    /// A run at a target has ended. Full channel: sent later, since it frees a slot.
    Finish {
        /// The pool.
        pool: Arc<PoolId>,
        /// The request.
        ticket: u64,
        /// Target of the run.
        target: Arc<str>,
        /// Outcome of the run.
        outcome: Outcome,
        /// Load that the target reported, if its response contains it.
        report: Option<LoadReport>,
        /// Time for which the target wants no requests, if it rejected this one and named a time.
        backoff: Option<Duration>,
    },
    /// The task of a request has ended: the request leaves the queue, and its runs have been
    /// aborted. Full channel: sent later.
    Cancel {
        /// The pool.
        pool: Arc<PoolId>,
        /// The request.
        ticket: u64,
    },
    /// Quarantine updates of other hosts, for requests that crash their targets. Full channel: sent
    /// later.
    Quarantines(Vec<QuarantineUpdate>),
    /// Requests the state of each pool. Full channel: the request is dropped.
    GetState(oneshot::Sender<Vec<PoolReport>>),
    /// Executes due timers.
    Tick,
    /// Stops the worker.
    Stop,
}

/// Event for the task of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Send the request to this target.
    Start(Arc<str>),
    /// Abort the run at this target.
    Abort(Arc<str>),
    /// Consequence of the end of a run for the request.
    Ended(Completion),
    /// The request is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
        /// Whether an earlier run of the request may have had an effect.
        ran: bool,
    },
    /// Another host owns the pool; the request has not run here.
    NotOwner,
}

/// Sending end of the event channel of a request's task. Unbounded, because a request receives only
/// a few events: one for each run, abort and end, and the retry budget limits the runs.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Creates an event channel.
    pub fn channel() -> (EventSender, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (EventSender(sender), receiver)
    }

    /// Sends an event; the task may have ended.
    pub(super) fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }
}

/// State of a pool, for other hosts and dumps.
#[derive(Clone, Debug)]
pub struct PoolReport {
    /// Id of the pool.
    pub id: Arc<PoolId>,
    /// Load, as it is sent to other hosts.
    pub load: Load,
    /// Complete state.
    pub state: PoolState,
    /// Quarantine updates that have not expired.
    pub quarantines: Vec<QuarantineUpdate>,
    /// Whether another host owns the pool and this one only waits for its last run to end.
    pub released: bool,
}
