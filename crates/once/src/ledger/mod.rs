//! The ledger: one for each host, owner of some keys and witness of others.
//!
//! Load pattern: retries of requests that may not be repeated, which come in bursts just when hosts
//! fail or are replaced. Without a record of what was sent, a retry runs twice; with a record only
//! on the owner, its death leaves every caller with `unknown`. Thresholds are [`Limits`]; the notes
//! in `docs/notes/at-most-once.md` say what chose them.

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

/// A host's ledger.
///
/// Its order and equality are those of its whole state, so that a search over states can tell
/// which it has seen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ledger {
    incarnation: u64,
    limits: Limits,
    /// When epoch 0 began.
    opened_at: Duration,
    /// Latest time seen; never goes back.
    clock: Duration,
    /// Epochs before this one have been dropped.
    oldest_retained: u64,
    /// First epoch that takes new keys, once the ledger has been full.
    closed_before: Option<u64>,
    table: Table,
    peers: BTreeMap<u64, Peer>,
    stop: Option<Stop>,
}

/// What is known of another incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Peer {
    /// Whether it is gone, as far as this host was told.
    gone: bool,
    /// Epochs for which it has handed over all its records, first and last: it runs nothing more
    /// of these, and needs not be asked for a claim.
    handed_over: Option<(u64, u64)>,
    /// Parts of its hand-over that are held.
    received_parts: BTreeSet<u32>,
    /// When this was last changed.
    updated_at: Duration,
}

/// What a ledger holds, for metrics and dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStats {
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

/// Which side of a key a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Witness,
    Neither,
}

impl Ledger {
    /// Opens an empty ledger for an incarnation, which must never have had one before.
    ///
    /// `now` is the ledger's own monotonic clock, as in every input.
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

    /// This host's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Epoch to bind keys to at `now`. Epochs stand still once records are being handed over.
    #[must_use]
    pub fn epoch(&self, now: Duration) -> u64 {
        let frozen = self.stop.as_ref().and_then(Stop::frozen_at);
        let now = frozen.map_or(now, |at| at.min(now));
        let length = self.limits.epoch_length.as_nanos().max(1);
        let elapsed = now.saturating_sub(self.opened_at).as_nanos();
        u64::try_from(elapsed / length).unwrap_or(u64::MAX)
    }

    /// This host's side of a binding that a look-up gives at `now`.
    #[must_use]
    pub fn participant(&self, now: Duration) -> Participant {
        Participant {
            incarnation: self.incarnation,
            epoch: self.epoch(now),
        }
    }

    /// Takes a caller's request in.
    pub fn handle_request(&mut self, request: Request, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_request(request, out))
    }

    /// Takes a message of another incarnation in. `from` is what the transport knows of the sender.
    ///
    /// A message that names no key of these two incarnations is ignored.
    pub fn handle_message(&mut self, from: u64, message: Message, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_message(from, message, out))
    }

    /// Takes the end of a request in that [`Action::Dispatch`] gave out.
    pub fn handle_outcome(&mut self, key: &Key, outcome: Outcome, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_outcome(key, outcome, out))
    }

    /// Forgets an attempt whose caller is gone; nothing that comes out from now on names it.
    pub fn cancel(&mut self, attempt_id: u64, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_cancel(attempt_id, out))
    }

    /// Notes that an incarnation is gone for good, or seems to be: what waits for it is answered
    /// now. A wrong word costs answers, never a second run.
    pub fn peer_gone(&mut self, incarnation: u64, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, out| ledger.on_peer_gone(incarnation, out))
    }

    /// Begins a planned stop: takes no new key, and hands its records to `peers` (the live
    /// incarnations) once nothing is open, or at `deadline`.
    pub fn stop(&mut self, peers: &[u64], deadline: Duration, now: Duration) -> Vec<Action> {
        self.handle_input(now, |ledger, _| {
            if ledger.stop.is_none() {
                ledger.stop = Some(Stop::open(peers, deadline));
            }
        })
    }

    /// Whether a planned stop has come to its end: the process may exit.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stop.as_ref().is_some_and(Stop::is_complete)
    }

    /// Fires what is due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.handle_input(now, |_, _| ())
    }

    /// When to call [`Ledger::tick`] next; `None` while nothing is due. Epochs need no wake: they
    /// are looked at with each input.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let talk = self.table.first_timer().map(|(due, _)| *due);
        let stop = self.stop.as_ref().and_then(Stop::due);
        [talk, stop].into_iter().flatten().min()
    }

    /// What the ledger holds.
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

    /// Brings the ledger to `now`, does `f`, then whatever a stop has to do.
    ///
    /// A host that was paused wakes with messages that were in time for others, not for its own
    /// clock. What timed out is closed before the input is looked at, so that a late grant finds
    /// the key closed.
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
        // A host that was only paused was called gone; without this its claims stay closed.
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

    /// Does `f` with a key whose other side is `from`; anything else is no message for this host.
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

    /// The other side of a key that names this host.
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

    /// Whether the witness of a key of this host's has handed over what it held of the key's epoch:
    /// it will never run the request, and what it ran is among this host's records.
    fn is_handed_over(&self, key: &Key) -> bool {
        let peer = self.peers.get(&key.witness.incarnation);
        let handed = peer.and_then(|peer| peer.handed_over);
        handed.is_some_and(|(first, last)| (first..=last).contains(&key.witness.epoch))
    }

    fn is_full(&self) -> bool {
        self.table.records() >= self.limits.max_records
    }

    /// Puts a record back, unless its epoch has ended and nobody waits for it any more.
    fn put(&mut self, key: Key, record: Record) {
        let epoch = self.table.epoch_of(&key);
        if epoch < self.oldest_retained && record.is_idle() {
            self.table.release_answer(&record);
            self.table.remove_empty_epoch(epoch);
            return;
        }
        self.table.put(key, record);
    }

    /// Adds an attempt that waits for the key's end.
    fn add_waiter(&mut self, key: &Key, record: &mut Record, waiter: Waiter) {
        self.table.add_attempt(waiter.attempt_id, key.clone());
        record.waiters.push(waiter);
    }
}

/// An epoch of another host's ledger that is surely begun and, for a while yet, held, given the times of day
/// of its start and of now.
///
/// The epoch before the one that the clocks give is taken: clocks that differ or jump by less than an epoch
/// then never name one that has not begun, and of the three epochs held one or two are left. A clock that
/// is wrong by more costs a refused key and a new look-up, never a second run.
#[must_use]
pub fn estimate_epoch(started: Duration, now: Duration, length: Duration) -> u64 {
    let elapsed = now.saturating_sub(started).as_nanos();
    let epoch = elapsed / length.as_nanos().max(1);
    u64::try_from(epoch).unwrap_or(u64::MAX).saturating_sub(1)
}
