//! Single decisions of a pool.

mod common;

use std::sync::Arc;

use dunlinrock_admit::{
    Action, Cancelled, Completion, Decision, LoadReport, Offer, Outcome, Pool, PoolConfig,
    RefusalReason, TargetSpec,
};

use common::{learn_service_time, ms, name, offer, pool, specs, start, started};

#[test]
fn starts_go_to_the_least_busy_target() {
    let mut p = pool(3, 3);
    let mut targets: Vec<Arc<str>> = (0..3).map(|i| start(&mut p, i, ms(0))).collect();
    targets.sort();
    assert_eq!(targets, [name(0), name(1), name(2)]);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut p = pool(1, 1);
    let now = learn_service_time(&mut p, ms(0));
    start(&mut p, 1, now);
    let late = Offer {
        deadline: now + ms(10),
        ..offer(2, now)
    };
    let Decision::Refused {
        reason,
        retry_after,
    } = p.offer(late, now)
    else {
        panic!("a run takes longer than 10 ms");
    };
    assert_eq!(reason, RefusalReason::DeadlineExceeded);
    assert!(retry_after >= ms(50));
    assert_eq!(p.state(now).load.queued, 0);
}

#[test]
fn a_queued_request_starts_when_a_slot_is_free() {
    let mut p = pool(1, 1);
    let now = learn_service_time(&mut p, ms(0));
    let target = start(&mut p, 1, now);
    assert_eq!(p.offer(offer(2, now), now), Decision::Queued);
    p.finish(1, &target, Outcome::Ok, now + ms(20));
    assert_eq!(started(&p.poll(now + ms(20))), [2]);
}

/// The only slot is taken by a run that does not end, and no other request arrives. The pool must
/// refuse the queued request at its queue timeout, not keep it until its deadline, and must not
/// start it afterwards.
#[test]
fn a_request_that_reaches_the_queue_timeout_is_refused_and_never_starts() {
    let mut p = pool(1, 1);
    let now = learn_service_time(&mut p, ms(0));
    let target = start(&mut p, 1, now);
    p.offer(offer(2, now), now);
    let (refused, at) = loop {
        let at = p.next_wake().expect("a request waits");
        let actions = p.poll(at);
        if let Some(Action::Refuse {
            ticket,
            reason,
            ran,
            ..
        }) = actions.first()
        {
            break ((*ticket, *reason, *ran), at);
        }
    };
    assert_eq!(refused, (2, RefusalReason::QueueTimeout, false));
    assert_eq!(at, now + PoolConfig::default().max_wait);
    p.finish(1, &target, Outcome::Ok, at);
    assert_eq!(p.poll(at), []);
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut p = pool(1, 1);
    let now = learn_service_time(&mut p, ms(0));
    let target = start(&mut p, 1, now);
    p.offer(offer(2, now), now);
    assert_eq!(p.cancel(2, now), Cancelled::Queued { ran: false });
    assert_eq!(
        p.cancel(1, now),
        Cancelled::Running(vec![Arc::clone(&target)])
    );
    assert_eq!(
        p.finish(1, &target, Outcome::Cancelled, now),
        Completion::Stale
    );
    assert_eq!(p.poll(now), []);
    assert_eq!(p.state(now).load.busy, 0);
}

#[test]
fn a_light_caller_overtakes_a_heavy_one() {
    let mut p = pool(1, 1);
    let now = learn_service_time(&mut p, ms(0));
    let target = start(&mut p, 0, now);
    for i in 1..6 {
        let heavy = Offer {
            caller: 7,
            ..offer(i, now)
        };
        assert_eq!(p.offer(heavy, now), Decision::Queued);
    }
    assert_eq!(p.offer(offer(10, now), now), Decision::Queued);
    p.finish(0, &target, Outcome::Ok, now + ms(20));
    let first = started(&p.poll(now + ms(20)))[0];
    p.finish(first, &target, Outcome::Ok, now + ms(40));
    let second = started(&p.poll(now + ms(40)))[0];
    assert!(
        [first, second].contains(&10),
        "the light caller waits behind {first} and {second}"
    );
}

#[test]
fn a_leaving_target_gets_no_new_requests() {
    let mut p = pool(2, 2);
    p.report(
        "t0",
        LoadReport {
            leaving: true,
            ..LoadReport::default()
        },
        ms(0),
    );
    assert_eq!([1, 2].map(|i| start(&mut p, i, ms(0))), [name(1), name(1)]);
    assert_eq!(p.offer(offer(3, ms(0)), ms(0)), Decision::Queued);
    p.report(
        "t1",
        LoadReport {
            leaving: true,
            ..LoadReport::default()
        },
        ms(1),
    );
    let actions = p.poll(ms(1));
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            ticket: 3,
            reason: RefusalReason::NoTarget,
            ..
        }]
    ));
}

/// Guards against a queue that waits for targets that want no requests for longer than it may wait,
/// and against requests that all start at the end of that time.
#[test]
fn a_pool_whose_targets_want_no_requests_refuses_at_once_and_starts_slowly() {
    let mut p = pool(1, 4);
    let first = start(&mut p, 1, ms(0));
    p.back_off(&first, ms(3000), ms(10));
    p.back_off(&first, ms(100), ms(10));
    p.finish(1, &first, Outcome::Refused, ms(10));
    assert!(started(&p.poll(ms(10))).is_empty());
    let Decision::Refused { retry_after, .. } = p.offer(offer(2, ms(20)), ms(20)) else {
        panic!("the request cannot start in time");
    };
    assert!(retry_after > ms(500), "{retry_after:?}");
    assert!(matches!(
        p.offer(offer(3, ms(3009)), ms(3009)),
        Decision::Queued
    ));
    p.offer(offer(4, ms(3009)), ms(3009));
    assert!(started(&p.poll(ms(3009))).is_empty());
    assert_eq!(started(&p.poll(ms(3010))).len(), 1);
}

#[test]
fn a_target_that_is_removed_finishes_its_runs() {
    let mut p = pool(2, 1);
    let targets = [1, 2].map(|i| start(&mut p, i, ms(0)));
    p.reconfigure(PoolConfig::default(), &specs(1, 1), ms(1));
    assert_eq!(p.state(ms(1)).load.busy, 2);
    let end = p.finish(2, &targets[1], Outcome::Ok, ms(5));
    assert_eq!(end, Completion::Final { ran: true });
    let waits = p.offer(offer(3, ms(5)), ms(5));
    assert_eq!(waits, Decision::Queued, "t0 is busy and t1 was removed");
}

#[test]
fn a_cold_target_gets_its_slots_step_by_step() {
    let config = PoolConfig {
        ramp_time: ms(3000),
        ..PoolConfig::default()
    };
    let cold = TargetSpec {
        cold: true,
        ..specs(1, 3)[0].clone()
    };
    let p = Pool::open(config, std::slice::from_ref(&cold), ms(0));
    assert_eq!(p.state(ms(0)).targets[0].limit, 1);
    let limits = [999, 1000, 2000].map(|t| {
        let mut p = Pool::open(
            PoolConfig {
                ramp_time: ms(3000),
                ..PoolConfig::default()
            },
            std::slice::from_ref(&cold),
            ms(0),
        );
        p.poll(ms(t));
        p.state(ms(t)).targets[0].limit
    });
    assert_eq!(limits, [1, 2, 3]);
}

#[test]
fn a_false_report_limits_a_target_to_half_its_slots_for_a_while() {
    let mut p = pool(1, 8);
    let full = LoadReport {
        busy: 1000,
        slots: 8,
        ..LoadReport::default()
    };
    let mut held = 0;
    for t in 0..240 {
        let now = ms(500 * t);
        p.report("t0", full, now);
        p.poll(now);
        let limit = p.state(now).targets[0].limit;
        assert!(limit >= 4);
        held += u32::from(limit < 8);
    }
    assert!((1..=48).contains(&held), "limited at {held} of 240 moments");
    p.report(
        "t0",
        LoadReport {
            busy: 0,
            slots: 1000,
            ..LoadReport::default()
        },
        ms(120_000),
    );
    assert!(
        p.state(ms(120_000)).targets[0].limit <= 8,
        "a report never raises the limit"
    );
}

#[test]
fn memory_does_not_grow_with_callers_keys_or_kinds() {
    let mut p = pool(2, 2);
    for i in 0..100_000_u64 {
        let now = ms(i);
        let o = Offer {
            kind: i,
            deadline: now + ms(50),
            ..offer(i, now)
        };
        if let Decision::Start { target } = p.offer(o, now) {
            p.finish(i, &target, Outcome::Ok, now + ms(1));
        }
        p.poll(now + ms(1));
    }
    let state = p.state(ms(100_000));
    assert!(state.kinds <= 256, "{} kinds", state.kinds);
    assert!(state.load.queued <= 512);
}

/// Operators add a target whose name comes first in the list, while the other targets are idle.
/// These must keep all their slots, or the pool would shrink when it should grow.
#[test]
fn a_new_target_does_not_make_the_others_cold() {
    let mut p = pool(2, 3);
    let mut more = specs(2, 3);
    more.insert(
        0,
        TargetSpec {
            name: "a0".into(),
            ..more[0].clone()
        },
    );
    p.reconfigure(PoolConfig::default(), &more, ms(1000));
    let limit = |name: &str| {
        let state = p.state(ms(1000));
        state
            .targets
            .iter()
            .find(|t| &*t.name == name)
            .map(|t| t.limit)
    };
    assert_eq!(["a0", "t0", "t1"].map(limit), [Some(1), Some(3), Some(3)]);
}

#[test]
fn a_target_that_comes_back_to_the_list_is_cold() {
    let mut p = pool(2, 3);
    p.reconfigure(PoolConfig::default(), &specs(1, 3), ms(1000));
    p.reconfigure(PoolConfig::default(), &specs(2, 3), ms(2000));
    let limits: Vec<u32> = p.state(ms(2000)).targets.iter().map(|t| t.limit).collect();
    assert_eq!(limits, [3, 1]);
}
