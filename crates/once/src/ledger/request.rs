//! Processing of callers' requests.

use std::time::Duration;

use super::{Ledger, Role, timers::EpochStatus};
use crate::{
    Action, Key, RefusalReason, Request, RunStatus,
    record::{PeerRequest, PeerStatus, Record, State, Waiter},
};

impl Ledger {
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let role = self.role(&request.key);
        if role == Role::Neither {
            // A client library may resend an attempt by itself, on a new connection to the same
            // address. The first copy may have run in the process that this one replaced.
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

    /// Returns whether an earlier attempt of the caller may have reached the peer.
    fn tried_peer(&self, role: Role, request: &Request) -> bool {
        let peer_attempts = match role {
            Role::Owner => request.attempts.witness,
            Role::Witness | Role::Neither => request.attempts.owner,
        };
        peer_attempts > 0 && !request.key.is_single_host() && !self.limits.faults.ignore_attempts
    }

    /// Processes a request whose key has a record.
    fn on_known(
        &mut self,
        role: Role,
        request: &Request,
        mut record: Record,
        out: &mut Vec<Action>,
    ) {
        let key = &request.key;
        let tried_peer = self.tried_peer(role, request);
        let attempt_id = request.attempt_id;
        if record.fingerprint != request.fingerprint && !self.limits.faults.any_caller {
            // The key belongs to the caller that used it first on this host while its epoch is
            // active, so no attempt of this caller runs here.
            self.refuse(
                attempt_id,
                no_or_unknown(!tried_peer),
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
            self.add_waiter(
                key,
                &mut record,
                Waiter {
                    attempt_id,
                    tried_peer,
                },
            );
            self.serve_known(key, &mut record, out);
        }
        self.put(key.clone(), record);
    }

    /// Serves the attempt that was just added to the waiters.
    fn serve_known(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        match record.state {
            State::Claiming | State::Running => {}
            State::Claimed if self.limits.faults.run_claimed => self.dispatch(key, record, out),
            State::Claimed if self.is_gone(self.peer_of(key)) => self.refuse_timeout(record, out),
            State::Claimed if record.pending.is_some() => {}
            State::Claimed => self.start_request(key, record, PeerRequest::Answer, out),
            _ => self.resolve(key, record, out),
        }
    }

    /// Processes a request whose key has no record.
    fn on_new(&mut self, role: Role, request: Request, out: &mut Vec<Action>) {
        if let Some((run, reason, retry_after)) = self.rejection_reason(role, &request) {
            if reason == RefusalReason::LedgerFull && self.is_full() {
                self.close_epochs();
            }
            self.refuse(request.attempt_id, run, reason, retry_after, out);
            return;
        }
        let tried_peer = self.tried_peer(role, &request);
        let key = request.key;
        let mut record = Record::open(request.fingerprint, State::Claiming);
        let attempt_id = request.attempt_id;
        self.add_waiter(
            &key,
            &mut record,
            Waiter {
                attempt_id,
                tried_peer,
            },
        );
        let needs_claim =
            role == Role::Owner && !key.is_single_host() && !self.is_handed_over(&key);
        if !needs_claim || self.limits.faults.skip_claim {
            self.dispatch(&key, &mut record, out);
        } else if self.is_gone(key.witness.incarnation) {
            record.state = State::Closed(PeerStatus::Unknown);
            self.resolve(&key, &mut record, out);
        } else {
            self.start_request(&key, &mut record, PeerRequest::Claim, out);
        }
        self.put(key, record);
    }

    /// Returns the refusal of a key without a record, or `None` if the key is accepted.
    ///
    /// A refusal leaves no record: a duplicate of this attempt may still arrive, or may have run
    /// under a record that was dropped since. The result is `no` only if this host never accepted
    /// the key and never will.
    fn rejection_reason(
        &self,
        role: Role,
        request: &Request,
    ) -> Option<(RunStatus, RefusalReason, Option<Duration>)> {
        match self.epoch_status(&request.key) {
            EpochStatus::Expired => {
                return Some((RunStatus::Unknown, RefusalReason::EpochExpired, None));
            }
            EpochStatus::Future => {
                return Some((RunStatus::Unknown, RefusalReason::EpochNotStarted, None));
            }
            EpochStatus::Active => {}
        }
        let run = no_or_unknown(!self.tried_peer(role, request));
        if self.stop.is_some() && !self.limits.faults.take_leaving {
            return Some((run, RefusalReason::Stopping, None));
        }
        if self.is_full() || self.is_epoch_closed(&request.key) {
            return Some((run, RefusalReason::LedgerFull, Some(self.epoch_remaining())));
        }
        None
    }

    /// Closes all epochs started so far to new keys.
    ///
    /// A `no` from a ledger at capacity then stays true without a record: a duplicate of the
    /// attempt that arrives when there is capacity again is refused too. The cost is small: there
    /// is no capacity anyway before an epoch expires, and keys of later look-ups name a later
    /// epoch.
    pub(super) fn close_epochs(&mut self) {
        if !self.limits.faults.forget_full {
            self.closed_before = self.epoch(self.clock).checked_add(1);
        }
    }

    /// Returns whether the key's epoch is closed to new keys.
    fn is_epoch_closed(&self, key: &Key) -> bool {
        let epoch = self.table.epoch_of(key);
        self.closed_before
            .is_some_and(|first_open| epoch < first_open)
    }

    /// Returns the time until the end of the current epoch, when a full ledger may have capacity
    /// again.
    fn epoch_remaining(&self) -> Duration {
        let length = self.limits.epoch_length.as_nanos().max(1);
        let elapsed = self.clock.saturating_sub(self.opened_at).as_nanos() % length;
        let remaining = u64::try_from(length - elapsed).unwrap_or(u64::MAX);
        Duration::from_nanos(remaining)
    }
}

fn no_or_unknown(certain: bool) -> RunStatus {
    if certain {
        RunStatus::No
    } else {
        RunStatus::Unknown
    }
}
