//! The ledger: one for each host, owner of some keys and witness of others.

use std::time::Duration;

use dunlinrock_schema::once::Message;

use crate::{Action, Key, Limits, Outcome, Request, Seat};

/// A host's ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ledger {
    me: u64,
    limits: Limits,
    opened: Duration,
}

/// What a ledger holds, for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records held.
    pub records: usize,
    /// Records whose end is still to come on this side: claiming, or sent to a target.
    pub open: usize,
    /// Attempts that wait.
    pub waiting: usize,
    /// Bytes of answers held.
    pub answer_bytes: usize,
    /// Parts of a hand-over that are not acknowledged yet.
    pub parts_left: usize,
}

impl Ledger {
    /// Opens an empty ledger for an incarnation, which must never have had one before.
    ///
    /// `now` is the ledger's own monotonic clock, as in every input.
    #[must_use]
    pub fn open(me: u64, limits: Limits, now: Duration) -> Ledger {
        Ledger {
            me,
            limits,
            opened: now,
        }
    }

    /// This host's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.me
    }

    /// Epoch to bind keys to at `now`.
    #[must_use]
    pub fn epoch(&self, now: Duration) -> u64 {
        let length = self.limits.epoch_length.as_nanos().max(1);
        let past = now.saturating_sub(self.opened).as_nanos();
        u64::try_from(past / length).unwrap_or(u64::MAX)
    }

    /// This host's side of a binding that a look-up gives at `now`.
    #[must_use]
    pub fn seat(&self, now: Duration) -> Seat {
        Seat {
            incarnation: self.me,
            epoch: self.epoch(now),
        }
    }

    /// Takes a caller's request in.
    pub fn request(&mut self, _request: Request, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Takes a message of another incarnation in. `from` is what the transport knows of the sender.
    pub fn hear(&mut self, _from: u64, _message: Message, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Takes the end of a request in that [`Action::Send`] gave out.
    pub fn finished(&mut self, _key: &Key, _outcome: Outcome, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Forgets an attempt whose caller is gone.
    pub fn cancel(&mut self, _ticket: u64, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Notes that an incarnation is gone for good, or seems to be: what waits for it is answered now.
    /// A wrong word costs answers, never a second run.
    pub fn peer_gone(&mut self, _incarnation: u64, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Begins a planned stop: takes no new key, and hands its records to `peers` (the live
    /// incarnations) once nothing is open, or at `deadline`.
    pub fn stop(&mut self, _peers: &[u64], _deadline: Duration, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// Whether a planned stop has come to its end: the process may exit.
    #[must_use]
    pub fn stopped(&self) -> bool {
        false
    }

    /// Fires what is due at `now`.
    pub fn tick(&mut self, _now: Duration) -> Vec<Action> {
        Vec::new()
    }

    /// When to call [`Ledger::tick`] next; `None` while nothing is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        None
    }

    /// What the ledger holds.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts::default()
    }
}
