//! Witness of a key: claims and closes; for both participants, answers to the peer's questions.

use dunlinrock_schema::once::{ClaimAnswer, CloseAnswer, Closing, End, EndKind, Message, Verdict};

use super::{Ledger, Role, timers::EpochStatus};
use crate::{
    Action, Key,
    record::{PeerStatus, Record, State},
};

impl Ledger {
    /// Processes the owner's claim. A grant is permanent: this host then never runs the request.
    pub(super) fn on_claim(&mut self, key: Key, fingerprint: u64, out: &mut Vec<Action>) {
        if self.role(&key) != Role::Witness {
            return;
        }
        let verdict = match self.table.get(&key) {
            Some(record) => verdict_for(record),
            None if self.epoch_status(&key) != EpochStatus::Active => Verdict::Ended,
            None if self.is_full() => Verdict::Full,
            None => Verdict::Granted,
        };
        let message = Message::ClaimAnswer(ClaimAnswer {
            key: key.to_string().into(),
            verdict,
        });
        let to = key.owner.incarnation;
        out.push(Action::SendMessage { to, message });
        if verdict == Verdict::Granted && self.table.get(&key).is_none() {
            self.put(key, Record::open(fingerprint, State::Claimed));
        }
    }

    /// Processes a close: the owner has closed the key and asks the witness to close it too.
    pub(super) fn on_close(&mut self, key: &Key, fingerprint: u64, out: &mut Vec<Action>) {
        if self.role(key) != Role::Witness {
            return;
        }
        let closing = match self.table.take(key) {
            Some(record) => self.close_known(key, record, out),
            None => self.close_new(key, fingerprint),
        };
        let message = Message::CloseAnswer(CloseAnswer {
            closing,
            key: key.to_string().into(),
        });
        let to = key.owner.incarnation;
        out.push(Action::SendMessage { to, message });
    }

    fn close_known(&mut self, key: &Key, mut record: Record, out: &mut Vec<Action>) -> Closing {
        let closing = match record.state {
            State::Claimed | State::Closed(_) => {
                record.state = State::Closed(PeerStatus::WillNotRun);
                self.resolve(key, &mut record, out);
                Closing::Closed
            }
            _ => Closing::Taken,
        };
        self.put(key.clone(), record);
        closing
    }

    fn close_new(&mut self, key: &Key, fingerprint: u64) -> Closing {
        if self.epoch_status(key) != EpochStatus::Active {
            return Closing::Unknown;
        }
        if self.stop.is_some() {
            // A stopping host accepts no key, and has a record of each key that it accepted.
            return Closing::Closed;
        }
        if self.is_full() {
            self.close_epochs();
            return Closing::Closed;
        }
        let closed = State::Closed(PeerStatus::WillNotRun);
        self.put(key.clone(), Record::open(fingerprint, closed));
        Closing::Closed
    }

    /// Processes the peer's question how the key's request ended.
    pub(super) fn on_answer_ask(&mut self, key: &Key, fingerprint: u64, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.take(key) else {
            self.send_end(key, end_without_answer(EndKind::Unknown), out);
            return;
        };
        if record.fingerprint != fingerprint {
            self.send_end(key, end_without_answer(EndKind::Mismatch), out);
        } else if record.state == State::Claimed {
            self.send_end(key, end_without_answer(EndKind::Unknown), out);
        } else {
            record.peer_waiting = true;
            self.answer_peer(key, &mut record, out);
        }
        self.put(key.clone(), record);
    }

    /// Sends the outcome to the peer if it is known. Waiting attempts of this host are not
    /// affected.
    fn answer_peer(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        let end = end_of(&record.state);
        if let Some(end) = end {
            record.peer_waiting = false;
            self.send_end(key, end, out);
        }
    }

    /// Processes the peer's message how the key's request ended.
    pub(super) fn on_answer_give(&mut self, key: &Key, end: End, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.take(key) else {
            return;
        };
        if accepts_peer_end(&record.state) {
            self.accept_peer_end(key, &mut record, end, out);
        }
        self.put(key.clone(), record);
    }
}

fn verdict_for(record: &Record) -> Verdict {
    match record.state {
        State::Claimed => Verdict::Granted,
        State::Closed(_) => Verdict::Closed,
        _ => Verdict::Taken,
    }
}

/// Returns whether a record in this state accepts the outcome from the peer: this host never runs
/// the request, and does not know yet how it ended.
pub(super) fn accepts_peer_end(state: &State) -> bool {
    matches!(
        state,
        State::Claimed | State::Closed(PeerStatus::Unknown | PeerStatus::Claimed)
    )
}

/// Returns the outcome to send to the peer for a final state, or `None` for a transient one.
pub(super) fn end_of(state: &State) -> Option<End> {
    match state {
        State::Claiming | State::Claimed | State::Running => None,
        State::Answered { answer, .. } => Some(End {
            kind: EndKind::Answered,
            answer: answer.to_vec(),
        }),
        State::Evicted => Some(end_without_answer(EndKind::Dropped)),
        State::Indeterminate => Some(end_without_answer(EndKind::Unknown)),
        State::Closed(_) => Some(end_without_answer(EndKind::Closed)),
    }
}

/// Returns an outcome without an answer.
pub(super) fn end_without_answer(kind: EndKind) -> End {
    End {
        kind,
        answer: Vec::new(),
    }
}
