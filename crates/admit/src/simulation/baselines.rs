//! Simulates a scenario without pools: see [`baseline`](crate::baseline).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    baseline::{random, two_choices},
    simulation::{
        Fault, Results, Scenario,
        event_queue::Events,
        scenario::{
            CRASH_DELAY, DOMAINS, MAX_SENDS, REPORT_INTERVAL, REPORT_LAG, RESTART_TIME, Request,
        },
        target::Target,
    },
};

enum Event {
    Arrive,
    SendCrashing,
    Reach { request: u64, target: usize },
    End { run: u64 },
    SendReports,
    Reported { busy: Vec<u32> },
}

struct Sent {
    request: Request,
    host: usize,
    attempts: u32,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    choices: Option<(usize, u32)>,
    rng: StdRng,
    events: Events<Event>,
    targets: Vec<Target>,
    queues: Vec<VecDeque<u64>>,
    /// Requests that each host assumes at each target: those reported, and those it has sent since.
    reported: Vec<u32>,
    sent: Vec<Vec<u32>>,
    requests: BTreeMap<u64, Sent>,
    runs: BTreeMap<u64, (u64, usize, Duration)>,
    number: u64,
    results: Results,
}

pub(super) fn simulate(scenario: &Scenario, choices: Option<(usize, u32)>) -> Results {
    let n = scenario.deployment.targets;
    let hosts = choices.map_or(1, |c| c.0 * DOMAINS / 2);
    let mut simulation = Simulation {
        scenario,
        choices,
        rng: StdRng::seed_from_u64(scenario.seed),
        events: Events::open(),
        targets: vec![Target::default(); n],
        queues: vec![VecDeque::new(); n],
        reported: vec![0; n],
        sent: vec![vec![0; n]; hosts],
        requests: BTreeMap::new(),
        runs: BTreeMap::new(),
        number: 0,
        results: Results::open(scenario),
    };
    simulation.events.push(Duration::ZERO, Event::Arrive);
    simulation.events.push(Duration::ZERO, Event::SendReports);
    if scenario.faults.contains(&Fault::CrashingRequests) {
        simulation
            .events
            .push(scenario.warm_up, Event::SendCrashing);
    }
    while let Some((now, event)) = simulation.events.pop() {
        simulation.step(event, now);
    }
    simulation.results.sort()
}

impl Simulation<'_> {
    fn is_measured(&self, request: &Request) -> bool {
        request.crashing_sends.is_none() && request.arrived >= self.scenario.warm_up
    }

    fn step(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::SendCrashing => self.send_crashing(now),
            Event::Reach { request, target } => self.reach(request, target, now),
            Event::End { run } => self.end(run, now),
            Event::SendReports if now < self.scenario.length => {
                self.events.push(now + REPORT_INTERVAL, Event::SendReports);
                let busy = self
                    .targets
                    .iter()
                    .map(|t| t.running.len() as u32)
                    .collect();
                self.events.push(now + REPORT_LAG, Event::Reported { busy });
            }
            Event::SendReports => {}
            Event::Reported { busy } => {
                self.reported = busy;
                self.sent.iter_mut().flatten().for_each(|n| *n = 0);
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        if now >= self.scenario.length {
            return;
        }
        let next_gap = self.scenario.next_gap(now, &mut self.rng);
        self.events.push(now + next_gap, Event::Arrive);
        self.number += 1;
        let request = self.scenario.arrive(self.number, now, &mut self.rng);
        if self.is_measured(&request) {
            self.results.offered(&request);
        }
        self.send(request, 1, now);
    }

    fn send_crashing(&mut self, now: Duration) {
        if now >= self.scenario.length {
            return;
        }
        self.events
            .push(now + Duration::from_secs(5), Event::SendCrashing);
        self.number += 1;
        let request = self.scenario.arrive(self.number, now, &mut self.rng);
        self.send(
            Request {
                crashing_sends: Some(1),
                ..request
            },
            1,
            now,
        );
    }

    /// Sends a request to a target of its region.
    fn send(&mut self, request: Request, attempts: u32, now: Duration) {
        let region = request.home / 2;
        let deployment = self.scenario.deployment;
        let own: Vec<usize> = (0..deployment.targets)
            .filter(|t| deployment.domain(*t) / 2 == region)
            .collect();
        let host = self.rng.random_range(0..self.sent.len());
        let target = match self.choices {
            None => random(&own, self.rng.random()),
            Some(_) => {
                let busy = |t: usize| self.reported[t] + self.sent[host][t];
                two_choices(&own, busy, self.rng.random())
            }
        };
        let Some(target) = target else { return };
        self.sent[host][target] += 1;
        self.number += 1;
        let one_way_delay = self.one_way_delay(&request, target);
        self.requests.insert(
            self.number,
            Sent {
                request,
                host,
                attempts,
            },
        );
        self.events.push(
            now + one_way_delay,
            Event::Reach {
                request: self.number,
                target,
            },
        );
    }

    fn one_way_delay(&self, request: &Request, target: usize) -> Duration {
        let is_local = self.scenario.deployment.domain(target) == request.home;
        if is_local {
            Duration::ZERO
        } else {
            self.scenario.deployment.one_way_delay
        }
    }

    fn reach(&mut self, request: u64, target: usize, now: Duration) {
        let slots = self.scenario.deployment.slots as usize;
        if now < self.targets[target].down {
            return self.fail(request, now);
        }
        if self.targets[target].running.len() < slots {
            return self.run(request, target, now);
        }
        match self.choices {
            None => self.queues[target].push_back(request),
            Some((_, attempts)) => self.shed(request, target, attempts, now),
        }
    }

    /// Sheds a request at a full target; the host retries it.
    fn shed(&mut self, request: u64, target: usize, attempts: u32, now: Duration) {
        let Some(sent) = self.requests.remove(&request) else {
            return;
        };
        self.results.shed += 1;
        if sent.attempts < attempts {
            let one_way_delay = self.one_way_delay(&sent.request, target);
            self.send(sent.request, sent.attempts + 1, now + one_way_delay);
        } else if self.is_measured(&sent.request) {
            self.results.refused(&sent.request);
        }
    }

    fn run(&mut self, request: u64, target: usize, now: Duration) {
        let Some(sent) = self.requests.get(&request) else {
            return;
        };
        let r = sent.request;
        self.results.late_starts += u64::from(now > r.deadline);
        self.number += 1;
        self.targets[target].running.push(self.number);
        self.runs.insert(self.number, (request, target, now));
        let time = match r.crashing_sends {
            Some(_) => CRASH_DELAY,
            None => {
                let factor = self.targets[target].factor(target, self.scenario, now);
                self.scenario.time(r.kind, &mut self.rng).mul_f64(factor)
            }
        };
        self.events
            .push(now + time, Event::End { run: self.number });
    }

    fn end(&mut self, run: u64, now: Duration) {
        let Some((request, target, since)) = self.runs.remove(&run) else {
            return;
        };
        self.targets[target].running.retain(|x| *x != run);
        let Some(sent) = self.requests.get(&request) else {
            return;
        };
        let r = sent.request;
        if r.crashing_sends.is_some() {
            return self.crash(request, target, now);
        }
        let at = now + self.one_way_delay(&r, target);
        if now >= self.scenario.warm_up && now < self.scenario.length && at <= r.deadline {
            self.results.good_time += (now - since).as_secs_f64();
        }
        if self.is_measured(&r) {
            self.results.answered(&r, at);
        }
        let host = sent.host;
        self.sent[host][target] = self.sent[host][target].saturating_sub(1);
        self.requests.remove(&request);
        self.next(target, now);
    }

    fn next(&mut self, target: usize, now: Duration) {
        let slots = self.scenario.deployment.slots as usize;
        while self.targets[target].running.len() < slots {
            let Some(request) = self.queues[target].pop_front() else {
                return;
            };
            self.run(request, target, now);
        }
    }

    /// Crashes a target with all requests that run and wait on it.
    fn crash(&mut self, request: u64, target: usize, now: Duration) {
        self.results.crashes += 1;
        self.targets[target].down = now + RESTART_TIME;
        let mut fail: Vec<u64> = self.queues[target].drain(..).collect();
        for run in std::mem::take(&mut self.targets[target].running) {
            fail.extend(self.runs.remove(&run).map(|r| r.0));
        }
        fail.into_iter().for_each(|r| self.fail(r, now));
        self.fail(request, now);
    }

    fn fail(&mut self, request: u64, now: Duration) {
        let Some(sent) = self.requests.remove(&request) else {
            return;
        };
        let r = sent.request;
        match r.crashing_sends {
            Some(sends) if sends < MAX_SENDS => {
                let resend_at = now + Duration::from_millis(100);
                let r = Request {
                    crashing_sends: Some(sends + 1),
                    arrived: resend_at,
                    ..r
                };
                self.send(r, 1, resend_at);
            }
            Some(_) => {}
            None if self.is_measured(&r) => self.results.failed(&r),
            None => {}
        }
    }
}
