//! Actions that are due: starts, refusals, hedges and aborts.

use std::{sync::Arc, time::Duration};

use crate::{Action, Pool, RefusalReason, target::PlacementRequest};

impl Pool {
    /// Returns all actions that are due: starts, refusals, hedges and aborts.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.targets.refresh(&self.config, now);
        self.check_late(now);
        self.targets.refresh(&self.config, now);
        self.start_queued_requests(now);
        self.advance_isolation(now);
        self.start_queued_requests(now);
        self.expire(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when `poll` must be called next if no other call is made before.
    pub fn next_wake(&self) -> Option<Duration> {
        let start_deadlines = self.start_deadlines.first().map(|(t, _)| *t);
        let check = self.checks.first().map(|(t, _)| *t);
        let limits = if self.start_deadlines.is_empty() {
            None
        } else {
            self.targets.next_change()
        };
        [start_deadlines, check, limits].into_iter().flatten().min()
    }

    /// Refuses requests that can no longer start in time. `poll` has just tried to start them, so a
    /// request that is due at this very moment has had its chance.
    fn expire(&mut self, now: Duration) {
        while let Some((at, ticket)) = self.start_deadlines.first().copied() {
            let Some(request) = self.tickets.get(&ticket) else {
                return;
            };
            if at > now {
                break;
            }
            let reason = request.reason;
            self.refuse(ticket, reason, now);
        }
        if !self.start_deadlines.is_empty() && !self.targets.usable(now) {
            let all: Vec<u64> = self.start_deadlines.iter().map(|(_, t)| *t).collect();
            all.into_iter()
                .for_each(|t| self.refuse(t, RefusalReason::NoTarget, now));
        }
    }

    /// Checks the runs that take longer than all but one in twenty: the target may be slow, and a
    /// hedge may be answered first.
    fn check_late(&mut self, now: Duration) {
        while let Some((at, ticket)) = self.checks.first().copied() {
            if at > now {
                return;
            }
            self.checks.pop_first();
            let Some(request) = self.tickets.get_mut(&ticket) else {
                continue;
            };
            let Some(run) = request.runs.iter().find(|r| !r.hedge).copied() else {
                continue;
            };
            let age = now.saturating_sub(run.since);
            let ratio = request.ratio(age);
            request.check = now + age.max(request.estimate.p95);
            self.checks.insert((request.check, ticket));
            self.targets.record_late_run(run.target, ratio);
            self.hedge(ticket, now);
        }
    }

    /// Sends a hedge for a late request to another target, only into a slot that no request waits
    /// for: under overload a hedge would take the place of a first attempt.
    fn hedge(&mut self, ticket: u64, now: Duration) {
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return;
        };
        let fits = request.repeatable
            && !request.hedged
            && now + request.estimate.mean <= request.deadline
            && self.start_deadlines.is_empty()
            && self.quarantine.status(request.fingerprint, now).is_none();
        if !fits {
            return;
        }
        let mut tried = request.tried.clone();
        tried.extend(
            request
                .runs
                .iter()
                .map(|r| Arc::clone(&self.targets.get(r.target).name)),
        );
        let Some(at) = self.targets.place(
            &PlacementRequest {
                tried: &tried,
                tolerates_slow: false,
                depth_per_slot: 0.0,
            },
            now,
        ) else {
            return;
        };
        if !self.budget.try_spend() {
            return;
        }
        request.hedged = true;
        self.counts.retries += 1;
        let target = self.run(ticket, at, now);
        self.actions.push(Action::Hedge { ticket, target });
    }
}
