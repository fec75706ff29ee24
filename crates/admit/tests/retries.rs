//! Retries, hedges, and requests that crash their targets.

mod common;

use std::sync::Arc;

use dunlinrock_admit::{
    Action, Completion, Decision, Offer, Outcome, QuarantineStatus, QuarantineUpdate, RefusalReason,
};

use common::{learn_service_time, ms, offer, pool, start, started};

#[test]
fn an_idempotent_request_is_retried_on_another_target() {
    let mut p = pool(2, 1);
    let target = start(&mut p, 1, ms(0));
    assert_eq!(
        p.finish(1, &target, Outcome::Failed, ms(5)),
        Completion::Retry
    );
    let actions = p.poll(ms(5));
    assert_eq!(started(&actions), [1]);
    let Action::Start { target: other, .. } = &actions[0] else {
        panic!("{actions:?}")
    };
    assert_ne!(*other, target);
    // No third target is left.
    assert_eq!(
        p.finish(1, other, Outcome::Failed, ms(9)),
        Completion::Final { ran: true }
    );

    let once = Offer {
        repeatable: false,
        ..offer(2, ms(10))
    };
    let Decision::Start { target } = p.offer(once, ms(10)) else {
        panic!("a slot is free")
    };
    assert_eq!(
        p.finish(2, &target, Outcome::TimedOut, ms(15)),
        Completion::Final { ran: true }
    );
}

#[test]
fn a_request_that_a_target_shed_did_not_run() {
    let mut p = pool(1, 2);
    let once = Offer {
        repeatable: false,
        ..offer(1, ms(0))
    };
    let Decision::Start { target } = p.offer(once, ms(0)) else {
        panic!("a slot is free")
    };
    assert_eq!(
        p.finish(1, &target, Outcome::Refused, ms(5)),
        Completion::Final { ran: false }
    );
}

#[test]
fn the_retry_budget_limits_retries() {
    let mut p = pool(3, 3);
    let mut retries = 0;
    for i in 0..200 {
        let now = ms(10_000 * i);
        let Decision::Start { target } = p.offer(offer(i, now), now) else {
            continue;
        };
        let mut target = target;
        while p.finish(i, &target, Outcome::Failed, now) == Completion::Retry {
            retries += 1;
            let Some(Action::Start { target: t, .. }) = p.poll(now).into_iter().next() else {
                break;
            };
            target = t;
        }
    }
    // A tenth of the first attempts, and the ten tokens of the budget at its start.
    assert!((10..=30).contains(&retries), "{retries} retries");
}

#[test]
fn a_late_idempotent_request_is_hedged_and_the_first_response_counts() {
    let mut p = pool(2, 2);
    let now = learn_service_time(&mut p, ms(0));
    let slow = start(&mut p, 1, now);
    let at = p.next_wake().expect("a check for a late run is due");
    assert!(at > now + ms(20), "hedged before the run was late");
    let actions = p.poll(at);
    let [Action::Hedge { ticket: 1, target }] = &actions[..] else {
        panic!("{actions:?}")
    };
    assert_ne!(*target, slow);
    assert_eq!(
        p.finish(1, target, Outcome::Ok, at + ms(20)),
        Completion::Final { ran: true }
    );
    let abort = Action::Abort {
        ticket: 1,
        target: Arc::clone(&slow),
    };
    assert_eq!(p.poll(at + ms(20)), [abort]);
    assert_eq!(
        p.finish(1, &slow, Outcome::Cancelled, at + ms(21)),
        Completion::Stale
    );
}

#[test]
fn a_request_that_is_not_idempotent_is_not_hedged() {
    let mut p = pool(2, 2);
    let now = learn_service_time(&mut p, ms(0));
    let once = Offer {
        repeatable: false,
        ..offer(1, now)
    };
    assert!(matches!(p.offer(once, now), Decision::Start { .. }));
    for _ in 0..5 {
        let at = p.next_wake().expect("a check for a late run is due");
        assert_eq!(p.poll(at), []);
    }
}

/// Two requests share a target, whose process crashes, and the callers send both again. Both are
/// suspects then, so each runs alone: the harmless one succeeds and is cleared; the other crashes
/// its target again, and is refused from then on by every host.
#[test]
fn a_crashing_request_is_confirmed_at_its_second_crash_and_its_neighbour_cleared() {
    let mut p = pool(1, 2);
    let once = |ticket, fingerprint, now| Offer {
        fingerprint,
        repeatable: false,
        ..offer(ticket, now)
    };
    for (ticket, print) in [(1, 66), (2, 77)] {
        assert!(matches!(
            p.offer(once(ticket, print, ms(0)), ms(0)),
            Decision::Start { .. }
        ));
    }
    // Both connections break; that is one crash.
    p.finish(1, "t0", Outcome::Died, ms(5));
    p.finish(2, "t0", Outcome::Died, ms(5));
    p.poll(ms(5));
    assert_eq!(
        (p.state(ms(5)).suspects, p.state(ms(5)).quarantined),
        (2, 0)
    );

    let now = ms(20_000);
    p.poll(now);
    assert_eq!(p.offer(once(3, 77, now), now), Decision::Queued);
    assert_eq!(started(&p.poll(now)), [3]);
    assert_eq!(p.offer(once(4, 66, now), now), Decision::Queued);
    assert_eq!(p.poll(now), [], "a suspect waits until its target is idle");
    p.finish(3, "t0", Outcome::Ok, now + ms(20));
    assert_eq!(started(&p.poll(now + ms(20))), [4]);
    p.finish(4, "t0", Outcome::Died, now + ms(25));
    let updates = p.take_updates();
    let convict =
        |w: &QuarantineUpdate| w.fingerprint == 66 && w.status == QuarantineStatus::Convict;
    assert!(updates.iter().any(convict));

    let later = now + ms(30_000);
    let verdict = p.offer(once(5, 66, later), later);
    assert!(matches!(
        verdict,
        Decision::Refused {
            reason: RefusalReason::Quarantined,
            ..
        }
    ));
    assert!(matches!(
        p.offer(once(6, 77, later), later),
        Decision::Start { .. }
    ));

    let mut peer = pool(1, 1);
    updates
        .into_iter()
        .for_each(|w| peer.apply_update(w, later));
    let verdict = peer.offer(once(7, 66, later), later);
    assert!(matches!(
        verdict,
        Decision::Refused {
            reason: RefusalReason::Quarantined,
            ..
        }
    ));
}
