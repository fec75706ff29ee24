//! Telling those who wait how a key ended.

use std::{mem, sync::Arc, time::Duration};

use dunlinrock_schema::once::{AnswerGive, End, EndKind, Message};

use super::Ledger;
use crate::{
    Action, Key, RefusalReason, RunStatus,
    record::{PeerRequest, PeerStatus, Record, State, Waiter},
};

impl Ledger {
    /// Tells those who wait what a record's final state says. Does nothing in another state.
    pub(super) fn resolve(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        match record.state.clone() {
            State::Claiming | State::Claimed | State::Running => {}
            State::Answered { answer, .. } => self.resolve_answered(key, record, &answer, out),
            State::Evicted => {
                self.notify_peer(key, record, EndKind::Dropped, out);
                self.refuse_all(record, RunStatus::Yes, RefusalReason::AnswerEvicted, out);
            }
            State::Indeterminate => {
                self.notify_peer(key, record, EndKind::Unknown, out);
                self.refuse_all(
                    record,
                    RunStatus::Unknown,
                    RefusalReason::Indeterminate,
                    out,
                );
            }
            State::Closed(peer) => self.resolve_closed(key, record, peer, out),
        }
    }

    /// Tells those who wait the answer, whether or not it is held.
    pub(super) fn resolve_answered(
        &mut self,
        key: &Key,
        record: &mut Record,
        answer: &Arc<[u8]>,
        out: &mut Vec<Action>,
    ) {
        if mem::take(&mut record.peer_waiting) {
            let end = End {
                kind: EndKind::Answered,
                answer: answer.to_vec(),
            };
            self.send_end(key, end, out);
        }
        for waiter in mem::take(&mut record.waiters) {
            self.table.remove_attempt(waiter.attempt_id);
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
    fn resolve_closed(
        &mut self,
        key: &Key,
        record: &mut Record,
        peer: PeerStatus,
        out: &mut Vec<Action>,
    ) {
        self.notify_peer(key, record, EndKind::Closed, out);
        let took = peer == PeerStatus::Claimed;
        if !took {
            self.refuse_closed(key, record, out);
        }
        if record.waiters.is_empty() {
            record.pending = None;
        } else if self.is_gone(self.peer_of(key)) {
            self.refuse_timeout(record, out);
        } else if record.pending.is_none() {
            let request = if took {
                PeerRequest::Answer
            } else {
                PeerRequest::Close
            };
            self.start_request(key, record, request, out);
        }
    }

    /// Refuses with `no` the attempts for which a closed key means that.
    pub(super) fn refuse_closed(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        let permanently_closed = self.is_permanently_closed(key, record);
        let (certain, uncertain): (Vec<Waiter>, Vec<Waiter>) = mem::take(&mut record.waiters)
            .into_iter()
            .partition(|waiter| permanently_closed || !waiter.tried_peer);
        record.waiters = uncertain;
        for waiter in certain {
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
    pub(super) fn is_permanently_closed(&self, key: &Key, record: &Record) -> bool {
        record.state == State::Closed(PeerStatus::WillNotRun)
            || key.is_single_host()
            || self.is_handed_over(key)
    }

    /// Refuses those who wait for the other side's word, which did not come.
    pub(super) fn refuse_timeout(&mut self, record: &mut Record, out: &mut Vec<Action>) {
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
        self.table.remove_attempt(attempt_id);
        out.push(Action::Refuse {
            attempt_id,
            run,
            reason,
            retry_after,
        });
    }

    /// Tells the other side how the key ended, if it waits for that.
    pub(super) fn notify_peer(
        &mut self,
        key: &Key,
        record: &mut Record,
        kind: EndKind,
        out: &mut Vec<Action>,
    ) {
        if mem::take(&mut record.peer_waiting) {
            let answer = Vec::new();
            self.send_end(key, End { kind, answer }, out);
        }
    }

    pub(super) fn send_end(&self, key: &Key, end: End, out: &mut Vec<Action>) {
        let key_text = key.to_string().into();
        let message = Message::AnswerGive(AnswerGive { end, key: key_text });
        let to = self.peer_of(key);
        out.push(Action::SendMessage { to, message });
    }

    /// Takes the other side's word on how the key ended, for a record that is taken out.
    ///
    /// Only a side that will never run the request itself learns from the other.
    pub(super) fn accept_peer_end(
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
                self.resolve_answered(key, record, &answer, out);
                self.cache_answer(key, answer)
            }
            EndKind::Dropped => State::Evicted,
            EndKind::Unknown => State::Indeterminate,
            // The other side's record belongs to another request, so this one ran on neither.
            EndKind::Closed | EndKind::Mismatch => State::Closed(PeerStatus::WillNotRun),
        };
        self.resolve(key, record, out);
    }

    /// State that holds an answer, if it may be held.
    pub(super) fn cache_answer(&mut self, key: &Key, answer: Arc<[u8]>) -> State {
        let capacity = self.limits.answer_bytes;
        if answer.len() > self.limits.max_answer_bytes.min(capacity) {
            return State::Evicted;
        }
        self.table.cache_answer(key, answer, capacity)
    }
}
