//! What a ledger holds on a key.

use std::{sync::Arc, time::Duration};

/// A caller's attempt that waits for the key's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Waiter {
    /// The attempt.
    pub(crate) attempt_id: u64,
    /// Whether the caller may have reached the other side with an earlier attempt.
    pub(crate) tried_peer: bool,
}

/// Where a key stands on this side. A state after `Claiming`, `Claimed` and `Running` is final, but
/// that `Closed` can still learn how the request ended on the other side.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum State {
    /// Owner: the witness has been asked for the claim.
    Claiming,
    /// Witness: the owner holds the claim. This side never runs the request.
    Claimed,
    /// The request was given to the ledger's user to send, which happens once for a key.
    Running,
    /// It ran, and its answer is held.
    Answered {
        /// Place in the order in which answers are dropped for space.
        order: u64,
        /// The answer.
        answer: Arc<[u8]>,
    },
    /// It ran, and its answer is not held.
    Evicted,
    /// It may have run.
    Indeterminate,
    /// This side did not run it and never will.
    Closed(PeerStatus),
}

/// What a closed side knows of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PeerStatus {
    /// The other side may run the request.
    Unknown,
    /// The other side did not run it and never will.
    WillNotRun,
    /// The other side took it.
    Claimed,
}

/// What a side waits for from the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PeerRequest {
    /// Owner: a claim.
    Claim,
    /// Owner: a close.
    Close,
    /// The answer.
    Answer,
}

/// A talk with the other side that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Pending {
    /// What is waited for.
    pub(crate) request: PeerRequest,
    /// When to give up.
    pub(crate) deadline: Duration,
    /// When to send the message again.
    pub(crate) resend_at: Duration,
    /// Time between the last message and `again`; doubles, so that a long run is asked for seldom.
    pub(crate) interval: Duration,
}

impl Pending {
    /// When to look at this talk again.
    pub(crate) fn due(&self) -> Duration {
        self.deadline.min(self.resend_at)
    }
}

/// A ledger's record of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Record {
    /// Fingerprint of the caller and its request; only an attempt with the same one is served.
    pub(crate) fingerprint: u64,
    /// Where the key stands.
    pub(crate) state: State,
    /// Attempts that wait. None in a final state, but where `pending` is a close or an ask.
    pub(crate) waiters: Vec<Waiter>,
    /// Talk under way with the other side; the ledger's timers hold its `due`. Boxed, since most
    /// records are at rest and held for minutes.
    pub(crate) pending: Option<Box<Pending>>,
    /// Whether the other side waits to be told how the request ended.
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

    /// Whether nobody waits on this side: the record is held for retries only.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_open() && self.waiters.is_empty() && self.pending.is_none()
    }

    /// Whether the key's end is still to come on this side.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, State::Claiming | State::Running)
    }
}
