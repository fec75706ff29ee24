//! Simulates a scenario with pools.

mod metrics;
mod runs;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Action, Decision, Load, LoadReport, Offer, Pool, PoolCandidate, PoolConfig, RefusalReason,
    TargetSpec, choose_pool,
    simulation::{
        Fault, Results, Scenario,
        event_queue::Events,
        scenario::{DOMAINS, REPORT_LAG, Request},
        target::Target,
    },
};

enum Event {
    Arrive,
    SendCrashing,
    Offer { ticket: u64 },
    End { run: u64 },
    Wake { pool: usize },
    SendReports,
    Report { target: usize, report: LoadReport },
    Summary { loads: Vec<Load> },
}

struct Run {
    ticket: u64,
    target: usize,
    since: Duration,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    events: Events<Event>,
    pools: Vec<Pool>,
    wakes: Vec<Option<Duration>>,
    names: Vec<Arc<str>>,
    targets: Vec<Target>,
    loads: Vec<(Load, Duration, u32)>,
    requests: BTreeMap<u64, (Request, usize)>,
    runs: BTreeMap<u64, Run>,
    number: u64,
    leaving: BTreeMap<usize, Duration>,
    results: Results,
}

pub(super) fn simulate(scenario: &Scenario, config: &PoolConfig) -> Results {
    let deployment = scenario.deployment;
    let names: Vec<Arc<str>> = (0..deployment.targets)
        .map(|i| format!("t{i}").into())
        .collect();
    let pools = (0..DOMAINS).map(|d| {
        let own = (0..deployment.targets).filter(|i| deployment.domain(*i) == d);
        let spec = |i: usize| TargetSpec {
            name: Arc::clone(&names[i]),
            slots: deployment.slots,
            leaving: false,
            cold: false,
        };
        Pool::open(
            config.clone(),
            &own.map(spec).collect::<Vec<_>>(),
            Duration::ZERO,
        )
    });
    let pools: Vec<Pool> = pools.collect();
    let loads = pools
        .iter()
        .map(|p| (p.load(Duration::ZERO), Duration::ZERO, 0))
        .collect();
    let mut simulation = Simulation {
        scenario,
        rng: StdRng::seed_from_u64(scenario.seed),
        events: Events::open(),
        pools,
        wakes: vec![None; DOMAINS],
        targets: vec![Target::default(); names.len()],
        names,
        loads,
        requests: BTreeMap::new(),
        runs: BTreeMap::new(),
        number: 0,
        leaving: BTreeMap::new(),
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
    simulation.results.retries = simulation
        .pools
        .iter()
        .map(|p| p.state(scenario.length).counts.retries)
        .sum();
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
            Event::Offer { ticket } => self.offer(ticket, now),
            Event::End { run } => self.end(run, now),
            Event::Wake { pool } if self.wakes[pool].is_some_and(|t| t <= now) => {
                self.wakes[pool] = None;
                self.poll(pool, now);
            }
            Event::Wake { .. } => {}
            Event::SendReports => self.send_reports(now),
            Event::Report { target, report } => self.report(target, report, now),
            Event::Summary { loads } => {
                self.loads = loads
                    .into_iter()
                    .map(|l| (l, now - REPORT_LAG, 0))
                    .collect();
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
        self.route(request, now);
    }

    /// Hands a request to one of the two pools of its region.
    fn route(&mut self, request: Request, now: Duration) {
        let home = request.home;
        let first = home - home % 2;
        let candidates = [first, first + 1].map(|d| {
            if d == home {
                return PoolCandidate {
                    load: self.pools[d].load(now),
                    ..PoolCandidate::default()
                };
            }
            let (load, at, sent) = self.loads[d];
            PoolCandidate {
                load,
                age: now - at,
                delay: self.scenario.deployment.one_way_delay,
                sent,
            }
        });
        let pool = first + choose_pool(&candidates, self.rng.random()).unwrap_or(home - first);
        self.number += 1;
        let ticket = self.number;
        self.requests.insert(ticket, (request, pool));
        let one_way_delay = self.one_way_delay(&request, pool);
        if pool != home {
            self.loads[pool].2 += 1;
        }
        self.events
            .push(now + one_way_delay, Event::Offer { ticket });
    }

    fn one_way_delay(&self, request: &Request, pool: usize) -> Duration {
        if request.home == pool {
            Duration::ZERO
        } else {
            self.scenario.deployment.one_way_delay
        }
    }

    fn offer(&mut self, ticket: u64, now: Duration) {
        let (request, pool) = self.requests[&ticket];
        let offer = Offer {
            ticket,
            caller: request.caller,
            key: request.key,
            kind: request.kind as u64,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            repeatable: self.scenario.kinds[request.kind].repeatable,
            tried: Vec::new(),
        };
        match self.pools[pool].offer(offer, now) {
            Decision::Start { target } => self.start(ticket, &target, now),
            Decision::Queued => {}
            Decision::Refused { reason, .. } => self.refuse(ticket, reason),
        }
        self.poll(pool, now);
    }

    fn refuse(&mut self, ticket: u64, reason: RefusalReason) {
        let Some((request, _)) = self.requests.remove(&ticket) else {
            return;
        };
        if self.is_measured(&request) {
            self.results.refused(&request);
            self.results.false_positives += u64::from(reason == RefusalReason::Quarantined);
        }
    }

    fn poll(&mut self, pool: usize, now: Duration) {
        for action in self.pools[pool].poll(now) {
            match action {
                Action::Start { ticket, target } | Action::Hedge { ticket, target } => {
                    self.start(ticket, &target, now);
                }
                Action::Abort { ticket, target } => self.abort(ticket, &target, now),
                Action::Refuse { ticket, reason, .. } => {
                    self.refused_after_wait(ticket, now);
                    self.refuse(ticket, reason);
                }
            }
        }
        for update in self.pools[pool].take_updates() {
            self.pools
                .iter_mut()
                .for_each(|p| p.apply_update(update, now));
        }
        let state = self.pools[pool].next_wake();
        if let Some(at) = state.filter(|t| self.wakes[pool].is_none_or(|w| *t < w)) {
            self.wakes[pool] = Some(at.max(now));
            self.events.push(at.max(now), Event::Wake { pool });
        }
    }

    fn refused_after_wait(&mut self, ticket: u64, now: Duration) {
        let Some((request, _)) = self.requests.get(&ticket) else {
            return;
        };
        if self.is_measured(request) {
            self.results.refused_after_wait += 1;
            self.results.refused_waits.push(now - request.arrived);
        }
    }

    fn send_crashing(&mut self, now: Duration) {
        if now >= self.scenario.length {
            return;
        }
        self.events
            .push(now + Duration::from_secs(5), Event::SendCrashing);
        self.number += 1;
        let request = self.scenario.arrive(self.number, now, &mut self.rng);
        self.route(
            Request {
                crashing_sends: Some(1),
                ..request
            },
            now,
        );
    }
}
