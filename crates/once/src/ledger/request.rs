//! Requests of callers.

use std::time::Duration;

use super::{Ledger, Role, time::EpochStanding};
use crate::{
    Action, Key, RefusalReason, Request, RunStatus,
    record::{Other, Record, State, Talk, Waiter},
};

impl Ledger {
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let role = self.role(&request.key);
        if role == Role::Stranger {
            // A client library may send an attempt again by itself, on a new connection to the same
            // address: the process that ran the first copy may be the one whose place this is.
            self.refuse(
                request.attempt_id,
                RunStatus::Unknown,
                RefusalReason::WrongIncarnation,
                None,
                out,
            );
            return;
        }
        match self.table.take(&request.key) {
            Some(record) => self.on_known(role, &request, record, out),
            None => self.on_new(role, request, out),
        }
    }

    /// Whether the caller may have reached the key's other side with an earlier attempt.
    fn elsewhere(&self, role: Role, request: &Request) -> bool {
        let others = match role {
            Role::Owner => request.attempts.witness,
            Role::Witness | Role::Stranger => request.attempts.owner,
        };
        others > 0 && !request.key.is_solo() && !self.limits.faults.ignore_attempts
    }

    /// A request whose key has a record.
    fn on_known(
        &mut self,
        role: Role,
        request: &Request,
        mut record: Record,
        out: &mut Vec<Action>,
    ) {
        let key = &request.key;
        let elsewhere = self.elsewhere(role, request);
        let attempt_id = request.attempt_id;
        if record.fingerprint != request.fingerprint && !self.limits.faults.any_caller {
            // Whoever came first with the key holds it on this side for as long as the epoch is
            // held, so no attempt of this caller's runs here.
            self.refuse(
                attempt_id,
                no_if(!elsewhere),
                RefusalReason::Mismatch,
                None,
                out,
            );
        } else if record.waiters.len() >= self.limits.max_waiters {
            let retry_after = Some(self.limits.answer_timeout);
            self.refuse(
                attempt_id,
                RunStatus::Unknown,
                RefusalReason::TooManyWaiters,
                retry_after,
                out,
            );
        } else {
            self.join(
                key,
                &mut record,
                Waiter {
                    attempt_id,
                    elsewhere,
                },
            );
            self.serve_known(key, &mut record, out);
        }
        self.put(key.clone(), record);
    }

    /// Serves the attempt that has just joined those who wait.
    fn serve_known(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        match record.state {
            State::Claiming | State::Running => {}
            State::Claimed if self.limits.faults.run_claimed => self.send(key, record, out),
            State::Claimed if self.is_gone(self.other(key)) => self.refuse_silent(record, out),
            State::Claimed if record.pending.is_some() => {}
            State::Claimed => self.talk(key, record, Talk::Ask, out),
            _ => self.settle(key, record, out),
        }
    }

    /// A request whose key has no record.
    fn on_new(&mut self, role: Role, request: Request, out: &mut Vec<Action>) {
        if let Some((run, reason, retry_after)) = self.turn_away(role, &request) {
            if reason == RefusalReason::LedgerFull && self.is_full() {
                self.shut();
            }
            self.refuse(request.attempt_id, run, reason, retry_after, out);
            return;
        }
        let elsewhere = self.elsewhere(role, &request);
        let key = request.key;
        let mut record = Record::open(request.fingerprint, State::Claiming);
        let attempt_id = request.attempt_id;
        self.join(
            &key,
            &mut record,
            Waiter {
                attempt_id,
                elsewhere,
            },
        );
        let needs_claim = role == Role::Owner && !key.is_solo() && !self.is_handed(&key);
        if !needs_claim || self.limits.faults.skip_claim {
            self.send(&key, &mut record, out);
        } else if self.is_gone(key.witness.incarnation) {
            record.state = State::Closed(Other::Unsure);
            self.settle(&key, &mut record, out);
        } else {
            self.talk(&key, &mut record, Talk::Claim, out);
        }
        self.put(key, record);
    }

    /// Why a key without a record is refused, if it is.
    ///
    /// No record is made, so a copy of this attempt may still come, or may have run under a record
    /// that is dropped by now. `no` is said only where this side took no such key and never will.
    fn turn_away(
        &self,
        role: Role,
        request: &Request,
    ) -> Option<(RunStatus, RefusalReason, Option<Duration>)> {
        match self.epoch_standing(&request.key) {
            EpochStanding::Ended => {
                return Some((RunStatus::Unknown, RefusalReason::EpochExpired, None));
            }
            EpochStanding::Ahead => {
                return Some((RunStatus::Unknown, RefusalReason::EpochNotStarted, None));
            }
            EpochStanding::Held => {}
        }
        let here = no_if(!self.elsewhere(role, request));
        if self.stop.is_some() && !self.limits.faults.take_leaving {
            return Some((here, RefusalReason::Stopping, None));
        }
        if self.is_full() || self.is_shut(&request.key) {
            return Some((here, RefusalReason::LedgerFull, Some(self.epoch_left())));
        }
        None
    }

    /// Shuts the epochs begun so far to new keys.
    ///
    /// A `no` for want of room is then true for good without a record: a copy of the attempt that
    /// comes when there is room again is turned away too. It costs next to nothing, since there is
    /// no room anyway before an epoch ends, and keys of later look-ups name a later epoch.
    pub(super) fn shut(&mut self) {
        if !self.limits.faults.forget_full {
            self.shut = self.epoch(self.clock).checked_add(1);
        }
    }

    /// Whether this side takes no new key of the key's epoch.
    fn is_shut(&self, key: &Key) -> bool {
        let epoch = self.table.epoch_of(key);
        self.shut.is_some_and(|open| epoch < open)
    }

    /// Time until the present epoch ends, when a full ledger may have room again.
    fn epoch_left(&self) -> Duration {
        let length = self.limits.epoch_length.as_nanos().max(1);
        let past = self.clock.saturating_sub(self.opened).as_nanos() % length;
        let left = u64::try_from(length - past).unwrap_or(u64::MAX);
        Duration::from_nanos(left)
    }
}

fn no_if(sure: bool) -> RunStatus {
    if sure {
        RunStatus::No
    } else {
        RunStatus::Unknown
    }
}
