//! Cost of an admission with its placement and the end of its run.

use std::{sync::Arc, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use dunlinrock_admit::{
    Decision, Offer, Outcome, Pool, PoolConfig, TargetSpec,
    direct::{LoadCollector, LoadFigure, Reporter, SaidLoad, TargetLoad, ToldLoad},
};

fn pool(targets: usize) -> Pool {
    let spec = |i: usize| TargetSpec {
        name: Arc::from(format!("t{i}")),
        slots: 3,
        leaving: false,
        cold: false,
    };
    let specs: Vec<TargetSpec> = (0..targets).map(spec).collect();
    Pool::open(PoolConfig::default(), &specs, Duration::ZERO)
}

fn offer(ticket: u64, now: Duration) -> Offer {
    Offer {
        ticket,
        caller: ticket % 50,
        key: ticket % 200,
        kind: ticket % 2,
        fingerprint: ticket,
        deadline: now + Duration::from_secs(1),
        repeatable: true,
        tried: Vec::new(),
    }
}

/// Fills some of the slots with runs that do not end.
fn fill(p: &mut Pool, slots: u64) {
    for i in 0..slots {
        p.offer(offer(1_000_000_000 + i, Duration::ZERO), Duration::ZERO);
    }
}

fn start_and_finish(c: &mut Criterion) {
    for targets in [3, 49] {
        let mut p = pool(targets);
        fill(&mut p, targets as u64 * 3 / 2);
        let (mut ticket, now) = (0, Duration::from_millis(1));
        c.bench_function(&format!("offer, start, finish: {targets} targets"), |b| {
            b.iter(|| {
                ticket += 1;
                let Decision::Start { target } = p.offer(offer(ticket, now), now) else {
                    panic!("a slot is free")
                };
                p.finish(ticket, &target, Outcome::Ok, now);
                p.poll(now)
            });
        });
    }
}

/// Measures a full pool with its queue: each offer is refused, or evicts another request.
fn overload(c: &mut Criterion) {
    for targets in [3, 49] {
        let mut p = pool(targets);
        fill(&mut p, targets as u64 * 3);
        let now = Duration::from_millis(1);
        let mut ticket = 0;
        c.bench_function(&format!("offer to a full pool: {targets} targets"), |b| {
            b.iter(|| {
                ticket += 1;
                let verdict = p.offer(offer(ticket, now), now);
                (verdict, p.poll(now))
            });
        });
    }
}

/// Measures the load of all targets as one request reads it, and a report to a collector with its
/// answer, among the hosts of one region.
fn shared_load(c: &mut Criterion) {
    const TARGETS: u32 = 300;
    let now = Duration::from_millis(100);
    let told = |target| ToldLoad {
        target,
        others: 9,
        pace: Some((150, Duration::ZERO)),
    };
    let loads: Vec<TargetLoad> = (0..TARGETS)
        .map(|target| {
            let mut load = TargetLoad::open();
            load.record_told(Some(&told(target)), Duration::ZERO);
            load
        })
        .collect();
    c.bench_function("load: read of 300 targets", |b| {
        b.iter(|| loads.iter().map(|load| load.others(now)).sum::<u32>());
    });
    for hosts in [3, 22, 100] {
        let mut collector = LoadCollector::open();
        // A host has some 30 requests in flight.
        let figures = |host: u64| -> Vec<LoadFigure> {
            let targets = (0..30).map(|n| (host as u32 * 7 + n * 10) % TARGETS);
            let figure = |target| LoadFigure {
                target,
                in_flight: 1,
                said: Some(SaidLoad {
                    total: 9,
                    pace: Some(150),
                    age: Duration::ZERO,
                }),
            };
            targets.map(figure).collect()
        };
        let all: Vec<_> = (0..hosts).map(figures).collect();
        let mut tick = 0;
        c.bench_function(&format!("load: report of one of {hosts} hosts"), |b| {
            b.iter(|| {
                tick += 1;
                let (host, now) = (tick % hosts, Duration::from_millis(tick * 300 / hosts));
                let reporter = Reporter { host, region: None };
                collector.record(reporter, now, &all[host as usize], now);
                collector.answer(host, (0..TARGETS).map(|t| (t, 9)), now)
            });
        });
    }
}

criterion_group!(benches, shared_load, start_and_finish, overload);
criterion_main!(benches);
