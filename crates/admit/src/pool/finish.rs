//! The end of a run, and the decision whether the request is retried.

use std::{sync::Arc, time::Duration};

use crate::{
    Action, Completion, CrashedRun, Outcome, Pool, QuarantineStatus,
    pool::request::{Place, Run},
    target::Finished,
};

impl Pool {
    /// Records that a run at a target has ended, which frees its slot. Call [`Pool::poll`] after
    /// it.
    pub fn finish(
        &mut self,
        ticket: u64,
        target: &str,
        outcome: Outcome,
        now: Duration,
    ) -> Completion {
        let Some(run) = self.end_run(ticket, target, outcome, now) else {
            return Completion::Stale;
        };
        if outcome == Outcome::Died && !run.crash_counted {
            self.record_crash(run, ticket, now);
        }
        self.targets.refresh(&self.config, now);
        self.conclude(ticket, run, outcome, now)
    }

    /// Removes a run and updates the estimates, the target's health and the quarantine.
    fn end_run(
        &mut self,
        ticket: u64,
        target: &str,
        outcome: Outcome,
        now: Duration,
    ) -> Option<Run> {
        let request = self.tickets.get_mut(&ticket)?;
        let at = request
            .runs
            .iter()
            .position(|r| &*self.targets.get(r.target).name == target)?;
        let run = request.runs.remove(at);
        self.busy[request.class as usize] -= 1;
        self.load[request.class as usize] -= request.estimate.mean.as_micros() as u64;
        let time = now.saturating_sub(run.since);
        let ratio = request.ratio(time);
        let end = Finished {
            target: run.target,
            ticket,
            outcome,
            ratio,
        };
        let is_representative = self.targets.finish(&end, &self.config, now);
        if outcome == Outcome::Ok {
            self.quarantine.clear(request.fingerprint);
            if is_representative {
                self.kinds.record(request.kind, time, now);
            }
        }
        self.isolation.ended(ticket, &mut self.targets);
        Some(run)
    }

    /// Records a crash of a target: every request that ran on it becomes a suspect.
    fn record_crash(&mut self, run: Run, ticket: u64, now: Duration) {
        let mut crashed_runs = Vec::new();
        if let Some(r) = self.tickets.get(&ticket) {
            crashed_runs.push(CrashedRun {
                fingerprint: r.fingerprint,
                since: run.since,
            });
        }
        for other in &self.targets.get(run.target).running {
            let Some(r) = self.tickets.get_mut(other) else {
                continue;
            };
            for affected in r
                .runs
                .iter_mut()
                .filter(|x| x.target == run.target && !x.crash_counted)
            {
                // Its connection will be reported as broken too: that is the same crash.
                affected.crash_counted = true;
                crashed_runs.push(CrashedRun {
                    fingerprint: r.fingerprint,
                    since: affected.since,
                });
            }
        }
        self.targets.record_crash(run.target, now);
        self.quarantine.record_crash(&crashed_runs, now);
    }

    /// Decides what the end of a run means for the request.
    fn conclude(&mut self, ticket: u64, run: Run, outcome: Outcome, now: Duration) -> Completion {
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return Completion::Stale;
        };
        let has_other_runs = !request.runs.is_empty();
        if request.settled {
            if !has_other_runs {
                self.tickets.remove(&ticket);
            }
            return Completion::Stale;
        }
        let had_effect = !matches!(outcome, Outcome::Refused);
        request.ran |= had_effect;
        let name = Arc::clone(&self.targets.get(run.target).name);
        request.tried.push(name);
        if has_other_runs && !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
            return Completion::Pending;
        }
        if self.may_retry(ticket, outcome, now) {
            self.queue_retry(ticket, now);
            return Completion::Retry;
        }
        self.settle(ticket)
    }

    /// Returns whether the request may be retried; if so, takes a token from the retry budget.
    fn may_retry(&mut self, ticket: u64, outcome: Outcome, now: Duration) -> bool {
        let Some(request) = self.tickets.get(&ticket) else {
            return false;
        };
        let allowed = match outcome {
            Outcome::Ok | Outcome::Cancelled => false,
            Outcome::Refused => !request.ran || request.repeatable,
            Outcome::Failed | Outcome::Died | Outcome::TimedOut => request.repeatable,
        };
        allowed
            && now + request.estimate.mean <= request.deadline
            && self.quarantine.status(request.fingerprint, now) != Some(QuarantineStatus::Convict)
            && self.targets.has_other(&request.tried, now)
            && self.budget.try_spend()
    }

    /// Puts a request back at the head of its queue, or among the suspects.
    fn queue_retry(&mut self, ticket: u64, now: Duration) {
        self.counts.retries += 1;
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return;
        };
        self.checks.remove(&(request.check, ticket));
        request.wait(self.config.max_wait, now);
        // It was admitted before; the time of its first attempt must not be the reason to refuse
        // it.
        request.start_by = request.start_by.max(now);
        self.start_deadlines.insert((request.start_by, ticket));
        if self.quarantine.status(request.fingerprint, now) == Some(QuarantineStatus::Suspect) {
            request.place = Place::Isolated;
            self.isolation.push(ticket);
            return;
        }
        let work = request.estimate.mean.as_micros() as u64;
        let queue_key = self.queues[request.class as usize].push_front(ticket, work);
        request.place = Place::Queued(queue_key);
    }

    /// Settles the request with its final outcome and aborts its other runs.
    fn settle(&mut self, ticket: u64) -> Completion {
        let Some(request) = self.tickets.get_mut(&ticket) else {
            return Completion::Stale;
        };
        request.settled = true;
        self.checks.remove(&(request.check, ticket));
        let ran = request.ran;
        for run in &request.runs {
            let target = Arc::clone(&self.targets.get(run.target).name);
            self.actions.push(Action::Abort { ticket, target });
        }
        if request.runs.is_empty() {
            self.tickets.remove(&ticket);
        }
        Completion::Final { ran }
    }
}
