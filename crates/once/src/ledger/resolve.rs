//! Resolution of waiting attempts and of the peer's question, once the outcome of a key is known.

use std::{mem, sync::Arc, time::Duration};

use dunlinrock_schema::once::{AnswerGive, End, EndKind, Message};

use super::Ledger;
use crate::{
    Action, Key, RefusalReason, RunStatus,
    record::{PeerRequest, PeerStatus, Record, State, Waiter},
};

impl Ledger {
    /// Resolves the waiting attempts of a record in a final state. Does nothing in a transient
    /// state.
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

    /// Answers the waiting attempts and the peer, whether or not the answer is cached.
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

    /// Refuses attempts with `no` where that is certain; for the others, asks the peer.
    ///
    /// This host never runs the request, but an attempt that was sent to the peer may run there,
    /// even if its message is still in flight. Without the peer's confirmation, `no` could be false
    /// for such an attempt. The peer is asked to close the key, or for the answer if it runs the
    /// request.
    fn resolve_closed(
        &mut self,
        key: &Key,
        record: &mut Record,
        peer: PeerStatus,
        out: &mut Vec<Action>,
    ) {
        self.notify_peer(key, record, EndKind::Closed, out);
        let peer_claimed = peer == PeerStatus::Claimed;
        if !peer_claimed {
            self.refuse_closed(key, record, out);
        }
        if record.waiters.is_empty() {
            record.pending = None;
        } else if self.is_gone(self.peer_of(key)) {
            self.refuse_timeout(record, out);
        } else if record.pending.is_none() {
            let request = if peer_claimed {
                PeerRequest::Answer
            } else {
                PeerRequest::Close
            };
            self.start_request(key, record, request, out);
        }
    }

    /// Refuses with `no` the attempts that cannot have run, given that this host closed the key.
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

    /// Returns whether neither participant ran the request of a closed key or ever will.
    pub(super) fn is_permanently_closed(&self, key: &Key, record: &Record) -> bool {
        record.state == State::Closed(PeerStatus::WillNotRun)
            || key.is_single_host()
            || self.is_handed_over(key)
    }

    /// Refuses the attempts that wait for the peer, which did not answer.
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

    /// Sends an outcome without an answer to the peer if it waits for one.
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

    /// Applies the peer's outcome of the key to a record that was taken out.
    ///
    /// Only a participant that will never run the request itself accepts the peer's outcome.
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
            // On a mismatch, the peer's record belongs to another request: this one ran on neither
            // host.
            EndKind::Closed | EndKind::Mismatch => State::Closed(PeerStatus::WillNotRun),
        };
        self.resolve(key, record, out);
    }

    /// Caches an answer if it fits, and returns the state of the record.
    pub(super) fn cache_answer(&mut self, key: &Key, answer: Arc<[u8]>) -> State {
        let capacity = self.limits.answer_bytes;
        if answer.len() > self.limits.max_answer_bytes.min(capacity) {
            return State::Evicted;
        }
        self.table.cache_answer(key, answer, capacity)
    }
}
