//! What goes into a pool and what comes out.

use std::{sync::Arc, time::Duration};

use thiserror::Error;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Id of the request, unique among those that the pool holds.
    pub ticket: u64,
    /// Hash of the caller.
    pub caller: u64,
    /// Hash of the key that the request is about (a course, a camp, an account).
    pub key: u64,
    /// Hash of the kind of work, such as the service's path without its parameters. The service
    /// time is estimated for each kind.
    pub kind: u64,
    /// Hash of the whole request: a resend has the same fingerprint.
    pub fingerprint: u64,
    /// Time by which the caller needs the answer, on the clock of `now`.
    pub deadline: Duration,
    /// The request may run more than once.
    pub repeatable: bool,
    /// Targets that an earlier attempt was sent to; it is not sent there again.
    pub tried: Vec<Arc<str>>,
}

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this target now.
    Start {
        /// Name of the target.
        target: Arc<str>,
    },
    /// It waits: [`Pool::poll`](crate::Pool::poll) will start or refuse it.
    Queued,
    /// It was not run and will not be.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Estimate of the time after which the same offer would be let in.
        retry_after: Duration,
    },
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RefusalReason {
    /// The wait and the work would take longer than the deadline allows.
    #[error("the answer would come after the deadline")]
    DeadlineExceeded,
    /// The queue is full of requests with a better claim.
    #[error("the queue is full")]
    QueueFull,
    /// It waited as long as a request may.
    #[error("it waited as long as the pool lets a request wait")]
    QueueTimeout,
    /// No target of the pool may be used.
    #[error("no target takes new work")]
    NoTarget,
    /// The request has killed the targets that ran it.
    #[error("the request is quarantined: targets that ran it died")]
    Quarantined,
    /// Another run would exceed the retry budget.
    #[error("the retry budget is spent")]
    RetryBudget,
    /// A ticket with this id is in the pool already.
    #[error("the ticket is in use")]
    DuplicateTicket,
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the target.
    Start {
        /// Id of the request.
        ticket: u64,
        /// Name of the target.
        target: Arc<str>,
    },
    /// Send a second copy to the target; the first to answer counts.
    Hedge {
        /// Id of the request.
        ticket: u64,
        /// Name of the target.
        target: Arc<str>,
    },
    /// Abort the run at the target, then call `finish` with [`Outcome::Cancelled`].
    Abort {
        /// Id of the request.
        ticket: u64,
        /// Name of the target.
        target: Arc<str>,
    },
    /// Tell the caller that it will not be answered.
    Refuse {
        /// Id of the request.
        ticket: u64,
        /// Why.
        reason: RefusalReason,
        /// Estimate of the time after which a new offer would be let in.
        retry_after: Duration,
        /// An earlier run may have had an effect: the caller is not told `run: no`.
        ran: bool,
    },
}

/// How a run at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A whole answer.
    Ok,
    /// An answer that says that the target failed, or no whole answer.
    Failed,
    /// The target turned it away: it was not run.
    Refused,
    /// The target's process died while it ran this.
    Died,
    /// No answer came in time.
    TimedOut,
    /// The embedder aborted it, after `cancel` or an [`Action::Abort`].
    Cancelled,
}

/// What `finish` says of the request as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completion {
    /// This outcome is the request's: answer the caller.
    Final {
        /// Some run of it may have had an effect. If false, `run: no` is true.
        ran: bool,
    },
    /// The pool tries again: `poll` will start or refuse it. Say nothing to the caller yet.
    Retry,
    /// Another run of the request still goes on. Say nothing to the caller yet.
    Pending,
    /// The request has had its answer, or was cancelled: drop this outcome.
    Stale,
}

/// What `cancel` found.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancelled {
    /// It waited and has left the queue: it was not run, unless `ran`.
    Queued {
        /// An earlier run may have had an effect.
        ran: bool,
    },
    /// It runs at these targets: abort it there, then call `finish` for each of them.
    Running(Vec<Arc<str>>),
    /// The pool does not hold it.
    Unknown,
}

/// A target's own word about itself. It may lag or be false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it says it runs.
    pub busy: u32,
    /// Slots that it says it has.
    pub slots: u32,
    /// It says that it is leaving.
    pub leaving: bool,
    /// It says that its caches are cold.
    pub cold: bool,
}
