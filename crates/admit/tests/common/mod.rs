//! Pools and offers for the tests of single decisions.

// Each test file is a crate of its own and uses only some of these.
#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use dunlinrock_admit::{
    Action, Completion, Decision, Offer, Outcome, Pool, PoolConfig, TargetSpec,
};

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn specs(targets: usize, slots: u32) -> Vec<TargetSpec> {
    let spec = |i| TargetSpec {
        name: name(i),
        slots,
        leaving: false,
        cold: false,
    };
    (0..targets).map(spec).collect()
}

pub(crate) fn name(i: usize) -> Arc<str> {
    format!("t{i}").into()
}

pub(crate) fn pool(targets: usize, slots: u32) -> Pool {
    Pool::open(
        PoolConfig::default(),
        &specs(targets, slots),
        Duration::ZERO,
    )
}

/// Returns an idempotent request of its own caller, with a second to its deadline.
pub(crate) fn offer(ticket: u64, now: Duration) -> Offer {
    Offer {
        ticket,
        caller: ticket,
        key: ticket,
        kind: 0,
        fingerprint: ticket,
        deadline: now + ms(1000),
        repeatable: true,
        tried: Vec::new(),
    }
}

pub(crate) fn start(pool: &mut Pool, ticket: u64, now: Duration) -> Arc<str> {
    match pool.offer(offer(ticket, now), now) {
        Decision::Start { target } => target,
        other => panic!("{ticket} does not start: {other:?}"),
    }
}

pub(crate) fn started(actions: &[Action]) -> Vec<u64> {
    let ticket = |a: &Action| match a {
        Action::Start { ticket, .. } => Some(*ticket),
        _ => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// Runs requests until the pool has learned that a kind takes 20 ms.
pub(crate) fn learn_service_time(pool: &mut Pool, mut now: Duration) -> Duration {
    for i in 0..40 {
        let target = start(pool, 1_000_000 + i, now);
        now += ms(20);
        assert_eq!(
            pool.finish(1_000_000 + i, &target, Outcome::Ok, now),
            Completion::Final { ran: true }
        );
        pool.poll(now);
    }
    now
}
