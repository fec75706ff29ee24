//! The ledger: each host has one and is the owner of some keys and the witness of others.
//!
//! The load is retries of requests that are not idempotent, in bursts when hosts fail or are
//! replaced. Without a record of what was dispatched, a retry would run the request twice. With a
//! record on the owner only, a failed owner would leave every caller with `unknown`. [`Limits`] has
//! the thresholds; `docs/notes/at-most-once.md` gives the reasons for them.

mod dispatch;
mod handover;
mod owner;
mod request;
mod resolve;
mod table;
mod timers;
mod witness;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dunlinrock_schema::once::Message;

use self::{handover::Stop, table::Table};
use crate::{
    Action, Key, Limits, Outcome, Participant, Request,
    record::{Record, Waiter},
};

/// Ledger of a host: the records of its keys.
///
/// Order and equality cover the complete state, so that a state-space search can recognise visited
/// states.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ledger {
    incarnation: u64,
    limits: Limits,
    /// Start of epoch 0.
    opened_at: Duration,
    /// Latest time passed in; never decreases.
    clock: Duration,
    /// Records of earlier epochs have been dropped.
    oldest_retained: u64,
    /// First epoch that accepts new keys, if the ledger has been full.
    closed_before: Option<u64>,
    table: Table,
    peers: BTreeMap<u64, Peer>,
    stop: Option<Stop>,
}

/// State of another incarnation, as far as known.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Peer {
    /// Whether it was last reported as gone.
    gone: bool,
    /// First and last epoch for which it has handed over all its records. It runs no request of
    /// these epochs any more, so no claim is needed.
    handed_over: Option<(u64, u64)>,
    /// Parts received of its handover.
    received_parts: BTreeSet<u32>,
    /// Time of the last change.
    updated_at: Duration,
}

/// Size of a ledger, for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStats {
    /// Number of records.
    pub records: usize,
    /// Number of records without an outcome on this host: claiming, or sent to a target.
    pub open: usize,
    /// Number of waiting attempts.
    pub waiting: usize,
    /// Total size of the cached answers in bytes.
    pub answer_bytes: usize,
    /// Number of handover parts that are not acknowledged yet.
    pub parts_left: usize,
}

/// Role of this host for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Witness,
    Neither,
}

impl Ledger {
    /// Creates an empty ledger for an incarnation. An incarnation must never have a second ledger.
    ///
    /// `now` is the time of the ledger's own monotonic clock, here and in every input.
    #[must_use]
    pub fn open(incarnation: u64, limits: Limits, now: Duration) -> Ledger {
        Ledger {
            incarnation,
            limits,
            opened_at: now,
            clock: now,
            oldest_retained: 0,
            closed_before: None,
            table: Table::open(incarnation),
            peers: BTreeMap::new(),
            stop: None,
        }
    }

    /// Returns this host's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the epoch for bindings at `now`. It is frozen once the handover of records starts.
    #[must_use]
    pub fn epoch(&self, now: Duration) -> u64 {
        let frozen = self.stop.as_ref().and_then(Stop::frozen_at);
        let now = frozen.map_or(now, |at| at.min(now));
        let length = self.limits.epoch_length.as_nanos().max(1);
        let elapsed = now.saturating_sub(self.opened_at).as_nanos();
        u64::try_from(elapsed / length).unwrap_or(u64::MAX)
    }

    /// Returns this host as a participant for a binding that a look-up returns at `now`.
    #[must_use]
    pub fn participant(&self, now: Duration) -> Participant {
        Participant {
            incarnation: self.incarnation,
            epoch: self.epoch(now),
        }
    }

    /// Processes an attempt of a caller.
    pub fn handle_request(&mut self, request: Request, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_request(request, out))
    }

    /// Processes a message of another incarnation. `from` is the sender as known to the transport.
    ///
    /// A message is ignored if its key does not name these two incarnations.
    pub fn handle_message(&mut self, from: u64, message: Message, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_message(from, message, out))
    }

    /// Processes the outcome of a request that was dispatched by [`Action::Dispatch`].
    pub fn handle_outcome(&mut self, key: &Key, outcome: Outcome, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_outcome(key, outcome, out))
    }

    /// Removes an attempt whose caller has disconnected; no later action refers to it.
    pub fn cancel(&mut self, attempt_id: u64, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_cancel(attempt_id, out))
    }

    /// Processes a report that an incarnation is gone: attempts that wait for it are resolved now.
    /// A false report costs answers but never leads to a duplicate execution.
    pub fn peer_gone(&mut self, incarnation: u64, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_peer_gone(incarnation, out))
    }

    /// Starts a graceful shutdown: the ledger accepts no new keys, and hands its records over to
    /// `peers` (the live incarnations) once no record is open, or at `deadline`.
    pub fn stop(&mut self, peers: &[u64], deadline: Duration, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, _| {
            if ledger.stop.is_none() {
                ledger.stop = Some(Stop::open(peers, deadline));
            }
        })
    }

    /// Returns whether a graceful shutdown is complete and the process may exit.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stop.as_ref().is_some_and(Stop::is_complete)
    }

    /// Processes the timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.handle_input(now, |_, _| ())
    }

    /// Returns the time of the next call to [`Ledger::tick`], or `None` if there is no timer.
    /// Epochs need no timer: they are checked with each input.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let talk = self.table.first_timer().map(|(due, _)| *due);
        let stop = self.stop.as_ref().and_then(Stop::due);
        [talk, stop].into_iter().flatten().min()
    }

    /// Returns the size of the ledger.
    #[must_use]
    pub fn stats(&self) -> LedgerStats {
        LedgerStats {
            records: self.table.records(),
            open: self.table.open_records(),
            waiting: self.table.waiting(),
            answer_bytes: self.table.answer_bytes(),
            parts_left: self.stop.as_ref().map_or(0, Stop::parts_left),
        }
    }

    /// Advances the ledger to `now`, calls `f`, then advances a graceful shutdown.
    ///
    /// A host that resumes after a pause receives messages that are late by its own clock. Requests
    /// that timed out are closed before the input is processed, so that a late grant finds the key
    /// closed.
    fn handle_input(
        &mut self,
        now: Duration,
        f: impl FnOnce(&mut Ledger, &mut Vec<Action>),
    ) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        f(self, &mut out);
        self.advance_stop(&mut out);
        out
    }

    fn on_message(&mut self, from: u64, message: Message, out: &mut Vec<Action>) {
        if from == self.incarnation {
            return;
        }
        // A host that was only paused may have been reported as gone. Without this reset, keys with
        // it as the witness would be closed without a claim.
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.gone = false;
        }
        match message {
            Message::Claim(m) => self.with_key(from, &m.key, |l, k| l.on_claim(k, m.caller, out)),
            Message::ClaimAnswer(m) => {
                self.with_key(from, &m.key, |l, k| l.on_claim_answer(&k, m.verdict, out));
            }
            Message::Close(m) => self.with_key(from, &m.key, |l, k| l.on_close(&k, m.caller, out)),
            Message::CloseAnswer(m) => {
                self.with_key(from, &m.key, |l, k| l.on_close_answer(&k, m.closing, out));
            }
            Message::AnswerAsk(m) => {
                self.with_key(from, &m.key, |l, k| l.on_answer_ask(&k, m.caller, out));
            }
            Message::AnswerGive(m) => {
                self.with_key(from, &m.key, |l, k| l.on_answer_give(&k, m.end, out));
            }
            Message::Handover(m) => self.on_handover(from, m, out),
            Message::HandoverAnswer(m) => self.on_handover_answer(from, &m, out),
        }
    }

    /// Calls `f` with the key if this host and `from` are its participants; ignores it otherwise.
    fn with_key(&mut self, from: u64, text: &str, f: impl FnOnce(&mut Ledger, Key)) {
        let Ok(key) = text.parse::<Key>() else {
            return;
        };
        if self.role(&key) != Role::Neither && !key.is_single_host() && self.peer_of(&key) == from {
            f(self, key);
        }
    }

    fn role(&self, key: &Key) -> Role {
        if key.owner.incarnation == self.incarnation {
            Role::Owner
        } else if key.witness.incarnation == self.incarnation {
            Role::Witness
        } else {
            Role::Neither
        }
    }

    /// Returns the other participant of a key that names this host.
    fn peer_of(&self, key: &Key) -> u64 {
        if key.owner.incarnation == self.incarnation {
            key.witness.incarnation
        } else {
            key.owner.incarnation
        }
    }

    fn is_gone(&self, incarnation: u64) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.gone)
    }

    /// Returns whether the witness of a key owned by this host has handed over its records of the
    /// key's epoch: it will never run the request, and this host has a record if it did.
    fn is_handed_over(&self, key: &Key) -> bool {
        let peer = self.peers.get(&key.witness.incarnation);
        let handed = peer.and_then(|peer| peer.handed_over);
        handed.is_some_and(|(first, last)| (first..=last).contains(&key.witness.epoch))
    }

    fn is_full(&self) -> bool {
        self.table.records() >= self.limits.max_records
    }

    /// Puts a record back, unless its epoch has expired and nothing waits for it any more.
    fn put(&mut self, key: Key, record: Record) {
        let epoch = self.table.epoch_of(&key);
        if epoch < self.oldest_retained && record.is_idle() {
            self.table.release_answer(&record);
            self.table.remove_empty_epoch(epoch);
            return;
        }
        self.table.put(key, record);
    }

    /// Adds an attempt that waits for the outcome of the key.
    fn add_waiter(&mut self, key: &Key, record: &mut Record, waiter: Waiter) {
        self.table.add_attempt(waiter.attempt_id, key.clone());
        record.waiters.push(waiter);
    }
}

/// Returns an epoch of another host's ledger that has started and stays active for a while, from
/// the wall-clock times of the ledger's start and of now.
///
/// The result is the epoch before the one computed from the clocks. Clocks that differ or jump by
/// less than an epoch then never yield a future epoch, and one or two of the three active epochs
/// remain. A clock that is off by more causes a refused key and a new look-up, never a duplicate
/// execution.
#[must_use]
pub fn estimate_epoch(started: Duration, now: Duration, length: Duration) -> u64 {
    let elapsed = now.saturating_sub(started).as_nanos();
    let epoch = elapsed / length.as_nanos().max(1);
    u64::try_from(epoch).unwrap_or(u64::MAX).saturating_sub(1)
}
