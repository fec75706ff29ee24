//! Cost of an admission with its placement and the end of its run.

use std::{sync::Arc, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use dunlinrock_admit::{Decision, Offer, Outcome, Pool, PoolConfig, TargetSpec};

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

criterion_group!(benches, start_and_finish, overload);
criterion_main!(benches);
