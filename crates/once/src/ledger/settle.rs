//! Telling those who wait how a key ended.

use std::{mem, sync::Arc, time::Duration};

use dunlinrock_schema::once::{AnswerGive, End, EndKind, Message};

use super::Ledger;
use crate::{
    Action, Key, RefusalReason, RunStatus,
    record::{Other, Record, State, Talk, Waiter},
};

impl Ledger {
    /// Tells those who wait what a record's final state says. Does nothing in another state.
    pub(super) fn settle(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        match record.state.clone() {
            State::Claiming | State::Claimed | State::Running => {}
            State::Answered { answer, .. } => self.settle_answer(key, record, &answer, out),
            State::Dropped => {
                self.give(key, record, EndKind::Dropped, out);
                self.refuse_all(record, RunStatus::Yes, RefusalReason::AnswerEvicted, out);
            }
            State::Lost => {
                self.give(key, record, EndKind::Unknown, out);
                self.refuse_all(
                    record,
                    RunStatus::Unknown,
                    RefusalReason::Indeterminate,
                    out,
                );
            }
            State::Closed(other) => self.settle_closed(key, record, other, out),
        }
    }

    /// Tells those who wait the answer, whether or not it is held.
    pub(super) fn settle_answer(
        &mut self,
        key: &Key,
        record: &mut Record,
        answer: &Arc<[u8]>,
        out: &mut Vec<Action>,
    ) {
        if mem::take(&mut record.asked) {
            let end = End {
                kind: EndKind::Answered,
                answer: answer.to_vec(),
            };
            self.tell_end(key, end, out);
        }
        for waiter in mem::take(&mut record.waiters) {
            self.table.end_ticket(waiter.attempt_id);
            out.push(Action::Answer {
                attempt_id: waiter.attempt_id,
                answer: Arc::clone(answer),
            });
        }
        record.pending = None;
    }

    /// Tells `no` to those who may be told; for the rest, has the other side close the key.
    ///
    /// This side never runs the request, but an attempt that went to the other side may be run
    /// there, even by a message that is still under way. A `no` without the other side's word
    /// would then be false.
    fn settle_closed(
        &mut self,
        key: &Key,
        record: &mut Record,
        other: Other,
        out: &mut Vec<Action>,
    ) {
        self.give(key, record, EndKind::Closed, out);
        let took = other == Other::Took;
        if !took {
            self.refuse_closed(key, record, out);
        }
        if record.waiters.is_empty() {
            record.pending = None;
        } else if self.is_gone(self.other(key)) {
            self.refuse_silent(record, out);
        } else if record.pending.is_none() {
            let talk = if took { Talk::Ask } else { Talk::Close };
            self.talk(key, record, talk, out);
        }
    }

    /// Refuses with `no` the attempts for which a closed key means that.
    pub(super) fn refuse_closed(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        let dead = self.is_dead(key, record);
        let (sure, unsure): (Vec<Waiter>, Vec<Waiter>) = mem::take(&mut record.waiters)
            .into_iter()
            .partition(|waiter| dead || !waiter.elsewhere);
        record.waiters = unsure;
        for waiter in sure {
            self.refuse(
                waiter.attempt_id,
                RunStatus::No,
                RefusalReason::Closed,
                None,
                out,
            );
        }
    }

    /// Whether neither side ran the request of a closed key, nor will.
    pub(super) fn is_dead(&self, key: &Key, record: &Record) -> bool {
        record.state == State::Closed(Other::Never) || key.is_solo() || self.is_handed(key)
    }

    /// Refuses those who wait for the other side's word, which did not come.
    pub(super) fn refuse_silent(&mut self, record: &mut Record, out: &mut Vec<Action>) {
        record.pending = None;
        let retry_after = Some(self.limits.answer_timeout);
        for waiter in mem::take(&mut record.waiters) {
            let run = RunStatus::Unknown;
            self.refuse(
                waiter.attempt_id,
                run,
                RefusalReason::PeerTimeout,
                retry_after,
                out,
            );
        }
    }

    pub(super) fn refuse_all(
        &mut self,
        record: &mut Record,
        run: RunStatus,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        record.pending = None;
        for waiter in mem::take(&mut record.waiters) {
            self.refuse(waiter.attempt_id, run, reason, None, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        attempt_id: u64,
        run: RunStatus,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.table.end_ticket(attempt_id);
        out.push(Action::Refuse {
            attempt_id,
            run,
            reason,
            retry_after,
        });
    }

    /// Tells the other side how the key ended, if it waits for that.
    pub(super) fn give(
        &mut self,
        key: &Key,
        record: &mut Record,
        kind: EndKind,
        out: &mut Vec<Action>,
    ) {
        if mem::take(&mut record.asked) {
            let answer = Vec::new();
            self.tell_end(key, End { kind, answer }, out);
        }
    }

    pub(super) fn tell_end(&self, key: &Key, end: End, out: &mut Vec<Action>) {
        let key_text = key.to_string().into();
        let message = Message::AnswerGive(AnswerGive { end, key: key_text });
        let to = self.other(key);
        out.push(Action::SendMessage { to, message });
    }

    /// Takes the other side's word on how the key ended, for a record that is taken out.
    ///
    /// Only a side that will never run the request itself learns from the other.
    pub(super) fn learn(
        &mut self,
        key: &Key,
        record: &mut Record,
        end: End,
        out: &mut Vec<Action>,
    ) {
        record.pending = None;
        record.state = match end.kind {
            EndKind::Answered => {
                let answer: Arc<[u8]> = end.answer.into();
                self.settle_answer(key, record, &answer, out);
                self.hold(key, answer)
            }
            EndKind::Dropped => State::Dropped,
            EndKind::Unknown => State::Lost,
            // The other side's record belongs to another request, so this one ran on neither.
            EndKind::Closed | EndKind::Mismatch => State::Closed(Other::Never),
        };
        self.settle(key, record, out);
    }

    /// State that holds an answer, if it may be held.
    pub(super) fn hold(&mut self, key: &Key, answer: Arc<[u8]>) -> State {
        let room = self.limits.answer_bytes;
        if answer.len() > self.limits.max_answer_bytes.min(room) {
            return State::Dropped;
        }
        self.table.hold(key, answer, room)
    }
}
