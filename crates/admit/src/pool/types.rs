//! Inputs and results of a pool.

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
    /// Hash of the kind of request, such as the service's path without its parameters. The service
    /// time is estimated for each kind.
    pub kind: u64,
    /// Hash of the whole request: a resend has the same fingerprint.
    pub fingerprint: u64,
    /// Time by which the caller needs the response, on the clock of `now`.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Targets of earlier attempts; the request is not sent to them again.
    pub tried: Vec<Arc<str>>,
}

/// Admission decision about an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to this target now.
    Start {
        /// Name of the target.
        target: Arc<str>,
    },
    /// The request waits: [`Pool::poll`](crate::Pool::poll) will start or refuse it.
    Queued,
    /// The request was not run and will not be.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Estimated time after which the same offer would be admitted.
        retry_after: Duration,
    },
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RefusalReason {
    /// The wait and the service would take longer than the deadline allows.
    #[error("the answer would come after the deadline")]
    DeadlineExceeded,
    /// The queue is full of requests that rank before it.
    #[error("the queue is full")]
    QueueFull,
    /// The request waited for the maximum time.
    #[error("it waited as long as the pool lets a request wait")]
    QueueTimeout,
    /// No target of the pool may be used.
    #[error("no target takes new work")]
    NoTarget,
    /// The request has crashed the targets that ran it.
    #[error("the request is quarantined: targets that ran it died")]
    Quarantined,
    /// Another attempt would exceed the retry budget.
    #[error("the retry budget is spent")]
    RetryBudget,
    /// A ticket with this id is already in the pool.
    #[error("the ticket is in use")]
    DuplicateTicket,
}

/// Action that the embedder must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the target.
    Start {
        /// Id of the request.
        ticket: u64,
        /// Name of the target.
        target: Arc<str>,
    },
    /// Send a hedge to the target; the first response counts.
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
    /// Refuse the request to its caller.
    Refuse {
        /// Id of the request.
        ticket: u64,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Estimated time after which a new offer would be admitted.
        retry_after: Duration,
        /// Whether an earlier run may have had an effect: the caller is not told `run: no`.
        ran: bool,
    },
}

/// Result of a run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response.
    Ok,
    /// A response that says that the target failed, or no complete response.
    Failed,
    /// The target shed the request: it was not run.
    Refused,
    /// The target's process crashed while it ran the request.
    Died,
    /// No response came in time.
    TimedOut,
    /// The embedder aborted the run, after `cancel` or an [`Action::Abort`].
    Cancelled,
}

/// What the end of a run means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completion {
    /// The outcome is final: respond to the caller.
    Final {
        /// Whether some run of the request may have had an effect. If false, `run: no` is true.
        ran: bool,
    },
    /// The pool retries: `poll` will start or refuse the request. Do not respond yet.
    Retry,
    /// Another run of the request is still in flight. Do not respond yet.
    Pending,
    /// The request was answered or cancelled before: ignore this outcome.
    Stale,
}

/// State of a request when it was cancelled.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancelled {
    /// It waited and was removed from the queue: it was not run, unless `ran`.
    Queued {
        /// Whether an earlier run may have had an effect.
        ran: bool,
    },
    /// It runs at these targets: abort it there, then call `finish` for each of them.
    Running(Vec<Arc<str>>),
    /// The pool does not hold it.
    Unknown,
}

/// A target's report of its own load. It may lag or be false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target reports as running.
    pub busy: u32,
    /// Slots that the target reports.
    pub slots: u32,
    /// Whether the target reports that it is leaving.
    pub leaving: bool,
    /// Whether the target reports that its caches are cold.
    pub cold: bool,
}
