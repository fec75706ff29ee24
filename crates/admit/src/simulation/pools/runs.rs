//! Runs at the targets and their results.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    Completion, Outcome,
    simulation::{
        pools::{Event, Run, Simulation},
        scenario::{CRASH_DELAY, MAX_SENDS, RESTART_TIME, Request},
    },
};

impl Simulation<'_> {
    pub(super) fn start(&mut self, ticket: u64, name: &str, now: Duration) {
        let target = self.names.iter().position(|n| &**n == name).unwrap_or(0);
        let (request, _) = self.requests[&ticket];
        self.results.late_starts += u64::from(now > request.deadline);
        self.results.leaving_starts += u64::from(self.leaving.contains_key(&target));
        self.number += 1;
        let run = self.number;
        self.runs.insert(
            run,
            Run {
                ticket,
                target,
                since: now,
            },
        );
        let down = now < self.targets[target].down;
        self.targets[target].running.push(run);
        let time = match request.crashing_sends {
            _ if down => Duration::from_millis(1),
            Some(_) => CRASH_DELAY,
            None => {
                let factor = self.targets[target].factor(target, self.scenario, now);
                self.scenario
                    .time(request.kind, &mut self.rng)
                    .mul_f64(factor)
            }
        };
        self.events.push(now + time, Event::End { run });
    }

    pub(super) fn abort(&mut self, ticket: u64, name: &str, now: Duration) {
        let found = self
            .runs
            .iter()
            .find(|(_, r)| r.ticket == ticket && &*self.names[r.target] == name);
        if let Some(run) = found.map(|(n, _)| *n) {
            self.ended(run, Outcome::Cancelled, now);
        }
    }

    pub(super) fn end(&mut self, run: u64, now: Duration) {
        let Some(r) = self.runs.get(&run) else { return };
        let (target, since) = (r.target, r.since);
        let Some((request, _)) = self.requests.get(&r.ticket).copied() else {
            return;
        };
        if since < self.targets[target].down {
            self.ended(run, Outcome::Refused, now);
        } else if request.crashing_sends.is_some() {
            self.results.crashes += 1;
            self.targets[target].down = now + RESTART_TIME;
            for affected in self.targets[target].running.clone() {
                self.ended(affected, Outcome::Died, now);
            }
        } else {
            self.ended(run, Outcome::Ok, now);
        }
    }

    pub(super) fn ended(&mut self, run: u64, outcome: Outcome, now: Duration) {
        let Some(r) = self.runs.remove(&run) else {
            return;
        };
        self.results.longest_run = self.results.longest_run.max(now - r.since);
        let (ticket, target) = (r.ticket, r.target);
        self.targets[target].running.retain(|x| *x != run);
        self.drained(target, now);
        self.results.shed += u64::from(outcome == Outcome::Refused);
        let Some((request, pool)) = self.requests.get(&ticket).copied() else {
            return;
        };
        let name = Arc::clone(&self.names[target]);
        let ending = self.pools[pool].finish(ticket, &name, outcome, now);
        if let Completion::Final { .. } = ending {
            self.answer(&request, pool, outcome, now);
            if outcome == Outcome::Ok {
                let time = now.saturating_sub(r.since);
                self.good(&request, pool, time, now);
            }
        }
        self.poll(pool, now);
    }

    pub(super) fn good(&mut self, request: &Request, pool: usize, time: Duration, now: Duration) {
        let window = now >= self.scenario.warm_up && now < self.scenario.length;
        if window && now + self.one_way_delay(request, pool) <= request.deadline {
            self.results.good_time += time.as_secs_f64();
        }
    }

    pub(super) fn answer(
        &mut self,
        request: &Request,
        pool: usize,
        outcome: Outcome,
        now: Duration,
    ) {
        if let Some(sends) = request.crashing_sends.filter(|s| *s < MAX_SENDS) {
            let resend_at = now + Duration::from_millis(100);
            let request = Request {
                crashing_sends: Some(sends + 1),
                arrived: resend_at,
                deadline: resend_at + Duration::from_secs(2),
                home: self
                    .scenario
                    .deployment
                    .domain(self.rng.random_range(0..self.targets.len())),
                ..*request
            };
            self.route(request, resend_at);
            return;
        }
        if !self.is_measured(request) {
            return;
        }
        match outcome {
            Outcome::Ok => self
                .results
                .answered(request, now + self.one_way_delay(request, pool)),
            _ => self.results.failed(request),
        }
    }
}
