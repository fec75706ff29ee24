//! Record of a key in a ledger.

use std::{sync::Arc, time::Duration};

/// Attempt of a caller that waits for the outcome of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Waiter {
    /// Id of the attempt.
    pub(crate) attempt_id: u64,
    /// Whether an earlier attempt of the caller may have reached the peer, the key's other
    /// participant.
    pub(crate) tried_peer: bool,
}

/// State of a key on this host. `Claiming`, `Claimed` and `Running` are transient, the other states
/// final; a closed key can still accept the outcome from the peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum State {
    /// Owner: a claim was sent to the witness.
    Claiming,
    /// Witness: the owner has the claim. This host never runs the request.
    Claimed,
    /// The request was dispatched, which happens once for a key.
    Running,
    /// The request ran, and its answer is cached.
    Answered {
        /// Position in the order in which answers are evicted.
        order: u64,
        /// The answer.
        answer: Arc<[u8]>,
    },
    /// The request ran, and its answer is not cached.
    Evicted,
    /// The request may have run.
    Indeterminate,
    /// This host did not run the request and never will.
    Closed(PeerStatus),
}

/// Status of a closed key at the peer, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PeerStatus {
    /// The peer may run the request.
    Unknown,
    /// The peer did not run the request and never will.
    WillNotRun,
    /// The peer accepted the request to run it.
    Claimed,
}

/// Kind of a request to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PeerRequest {
    /// Owner: asks the witness for the claim.
    Claim,
    /// Owner: asks the witness to close the key.
    Close,
    /// Asks how the key's request ended.
    Answer,
}

/// Request to the peer that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Pending {
    /// Kind of the request.
    pub(crate) request: PeerRequest,
    /// Time at which the request times out.
    pub(crate) deadline: Duration,
    /// Time at which the message is resent.
    pub(crate) resend_at: Duration,
    /// Interval between the last message and `resend_at`. It doubles with each resend, so that a
    /// long run causes few messages.
    pub(crate) interval: Duration,
}

impl Pending {
    /// Returns the time of the next resend or of the timeout, whichever is earlier.
    pub(crate) fn due(&self) -> Duration {
        self.deadline.min(self.resend_at)
    }
}

/// Record of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Record {
    /// Hash of the caller's identity and request; an attempt with another one is refused.
    pub(crate) fingerprint: u64,
    /// State of the key.
    pub(crate) state: State,
    /// Waiting attempts. Empty in a final state, unless `pending` is a close or answer request.
    pub(crate) waiters: Vec<Waiter>,
    /// Unanswered request to the peer; the ledger's timers hold its `due`. Boxed, since most
    /// records are idle and retained for minutes.
    pub(crate) pending: Option<Box<Pending>>,
    /// Whether the peer has asked how the request ended and has no answer yet.
    pub(crate) peer_waiting: bool,
}

impl Record {
    pub(crate) fn open(fingerprint: u64, state: State) -> Record {
        Record {
            fingerprint,
            state,
            waiters: Vec::new(),
            pending: None,
            peer_waiting: false,
        }
    }

    /// Returns whether nothing on this host waits for the key: the record is retained for retries
    /// only.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_open() && self.waiters.is_empty() && self.pending.is_none()
    }

    /// Returns whether the outcome on this host is still to come.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, State::Claiming | State::Running)
    }
}
