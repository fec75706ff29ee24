//! Dispatch of a key's request, its outcome, and cancelled attempts.

use dunlinrock_schema::once::EndKind;

use super::Ledger;
use crate::{
    Action, Key, Outcome, RefusalReason, RunStatus,
    record::{PeerStatus, Record, State},
};

impl Ledger {
    /// Dispatches the request of the first waiting attempt. At least one attempt must be waiting.
    pub(super) fn dispatch(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        record.pending = None;
        record.state = State::Running;
        out.extend(record.waiters.first().map(|waiter| Action::Dispatch {
            key: key.clone(),
            attempt_id: waiter.attempt_id,
        }));
    }

    pub(super) fn on_outcome(&mut self, key: &Key, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.take(key) else {
            return;
        };
        if record.state == State::Running {
            self.finish_run(key, &mut record, outcome, out);
            if self.limits.faults.reopen && record.state == State::Closed(PeerStatus::WillNotRun) {
                return;
            }
        }
        self.put(key.clone(), record);
    }

    fn finish_run(
        &mut self,
        key: &Key,
        record: &mut Record,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Answered(answer) => {
                self.resolve_answered(key, record, &answer, out);
                record.state = self.cache_answer(key, answer);
            }
            Outcome::Indeterminate => {
                record.state = State::Indeterminate;
                self.resolve(key, record, out);
            }
            Outcome::NotRun { retry_after } => {
                // The peer granted the claim, or refuses it from now on: the key is permanently
                // closed.
                record.state = State::Closed(PeerStatus::WillNotRun);
                self.notify_peer(key, record, EndKind::Closed, out);
                for waiter in std::mem::take(&mut record.waiters) {
                    self.refuse(
                        waiter.attempt_id,
                        RunStatus::No,
                        RefusalReason::NotRun,
                        retry_after,
                        out,
                    );
                }
            }
        }
    }

    pub(super) fn on_cancel(&mut self, attempt_id: u64, out: &mut Vec<Action>) {
        let Some(key) = self.table.remove_attempt(attempt_id) else {
            // The attempt may have timed out with this same input; its caller has disconnected.
            out.retain(|action| action.completed_attempt() != Some(attempt_id));
            return;
        };
        let Some(mut record) = self.table.take(&key) else {
            return;
        };
        record
            .waiters
            .retain(|waiter| waiter.attempt_id != attempt_id);
        if record.waiters.is_empty() {
            match record.state {
                State::Claiming => {}
                State::Running if record.peer_waiting => {}
                State::Running => out.push(Action::Cancel { key: key.clone() }),
                _ => record.pending = None,
            }
        }
        self.put(key, record);
    }
}
