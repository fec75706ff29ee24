//! Inputs of a ledger from callers and targets, and the actions it returns.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::once::Message;

use crate::{Key, PriorAttempts};

/// One attempt of a caller's request, without its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Idempotency key from the caller.
    pub key: Key,
    /// Hash of the caller's identity and of the request. Only attempts with the same fingerprint
    /// get the answer.
    pub fingerprint: u64,
    /// Number of earlier attempts, as stated by the caller.
    pub attempts: PriorAttempts,
    /// Identifies this attempt in actions; unique among the waiting attempts.
    pub attempt_id: u64,
}

/// Outcome of a request that was dispatched to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target returned a complete answer, which is opaque to the ledger.
    Answered(Arc<[u8]>),
    /// The request may have run, and no complete answer was received.
    Indeterminate,
    /// The request did not run: each target that was tried shed it, or the connection failed before
    /// the first byte was sent. The key is closed.
    NotRun {
        /// Time after which the caller may retry with a new key.
        retry_after: Option<Duration>,
    },
}

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStatus {
    /// The request did not run, and none of the attempts so far will run.
    No,
    /// The request may have run, or may still run.
    Unknown,
    /// The request ran; its answer is no longer cached.
    Yes,
}

/// Reason for which a caller's attempt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The key does not name this host's incarnation, for example after a restart.
    WrongIncarnation,
    /// The key's epoch has expired.
    EpochExpired,
    /// The key's epoch has not started.
    EpochNotStarted,
    /// The ledger is at capacity, or has been since the key's epoch started.
    LedgerFull,
    /// The maximum number of attempts already waits for this key.
    TooManyWaiters,
    /// The host is stopping; the key's other participant may run the request.
    Stopping,
    /// The key was used with another request or by another caller.
    Mismatch,
    /// The key is closed: the claim was refused, timed out, or was abandoned.
    Closed,
    /// No target ran the request.
    NotRun,
    /// The request was sent to a target, and no complete answer was received.
    Indeterminate,
    /// The request was answered, and the answer is no longer cached: it was evicted or too long.
    AnswerEvicted,
    /// The other participant may have run the request and does not answer.
    PeerTimeout,
}

/// Operation that the user of a ledger has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another incarnation. It may be lost; the ledger resends it where needed.
    SendMessage {
        /// Incarnation of the receiver.
        to: u64,
        /// The message.
        message: Message,
    },
    /// Send the request of this attempt to a target now, and report its end with
    /// [`Ledger::handle_outcome`](crate::Ledger::handle_outcome). This action is returned once for
    /// a key. Another target may be tried only if it is certain that the previous one did not run
    /// the request.
    Dispatch {
        /// Key of the request.
        key: Key,
        /// Attempt whose request is to be sent.
        attempt_id: u64,
    },
    /// No attempt waits for this key any more: the request may be cancelled at the target.
    /// [`Ledger::handle_outcome`](crate::Ledger::handle_outcome) still has to be called.
    Cancel {
        /// Key of the request.
        key: Key,
    },
    /// Return the answer to the caller of this attempt.
    Answer {
        /// The attempt.
        attempt_id: u64,
        /// The answer, as passed to [`Ledger::handle_outcome`](crate::Ledger::handle_outcome).
        answer: Arc<[u8]>,
    },
    /// Refuse the attempt.
    Refuse {
        /// The attempt.
        attempt_id: u64,
        /// Whether the request ran.
        run: RunStatus,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
}

impl Action {
    /// Returns the attempt that this action ends.
    pub(crate) fn completed_attempt(&self) -> Option<u64> {
        match self {
            Action::Answer { attempt_id, .. } | Action::Refuse { attempt_id, .. } => {
                Some(*attempt_id)
            }
            Action::SendMessage { .. } | Action::Dispatch { .. } | Action::Cancel { .. } => None,
        }
    }
}
