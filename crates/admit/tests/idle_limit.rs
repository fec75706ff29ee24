//! How long kept connections may rest: learned from connections that broke.

use std::{sync::Arc, time::Duration};

use dunlinrock_admit::direct::IdleLimits;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Targets of the simulated service.
const TARGETS: u64 = 40;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Result of a load on one service.
#[derive(Debug, Default)]
struct Counts {
    lost: u32,
    opened: u32,
}

/// Sends a request every 50 ms from `from` to `to`, on connections that have rested up to 3 s, and
/// asks `breaks(target, rest, draw)` whether an exchange breaks.
fn load(
    limits: &mut IdleLimits,
    (from, to): (u64, u64),
    is_repeatable: bool,
    rng: &mut StdRng,
    breaks: impl Fn(u64, Duration, f64) -> bool,
) -> Counts {
    let (service, mut counts) = (Arc::from("cart"), Counts::default());
    for now in (from..to).step_by(50).map(ms) {
        let (target, kept) = (rng.random_range(0..TARGETS), ms(rng.random_range(10..3000)));
        let is_allowed = limits.allows(&service, target, kept, is_repeatable, now);
        let rest = if is_allowed { kept } else { Duration::ZERO };
        counts.opened += u32::from(!is_allowed);
        if breaks(target, rest, rng.random()) {
            counts.lost += 1;
            limits.record_break(&service, target, rest, now);
        } else {
            limits.record_answer(&service, target, rest, now, now);
        }
    }
    counts
}

fn forgets(target: u64, rest: Duration, _: f64) -> bool {
    target.is_multiple_of(2) && rest > ms(300)
}

/// Half of the targets forget connections after 300 ms, for 8 s: a host loses a few of its 160
/// requests that may run once only, and not one of every three.
#[test]
fn few_requests_are_lost_to_targets_that_forget_connections() {
    for seed in 0..50 {
        let (mut limits, mut rng) = (IdleLimits::open(), StdRng::seed_from_u64(seed));
        let before = load(&mut limits, (0, 4000), false, &mut rng, |_, _, _| false);
        assert_eq!(before.opened, 0, "no evidence, seed {seed}");
        let counts = load(&mut limits, (4000, 12_000), false, &mut rng, forgets);
        assert!(counts.lost <= 6, "{counts:?}, seed {seed}");
    }
}

/// Repeatable requests lose no more than what the trials of long rests cost, two a second.
#[test]
fn repeatable_requests_try_long_rests_now_and_then() {
    for seed in 0..50 {
        let (mut limits, mut rng) = (IdleLimits::open(), StdRng::seed_from_u64(seed));
        let counts = load(&mut limits, (0, 8000), true, &mut rng, forgets);
        assert!(counts.lost <= 18, "{counts:?}, seed {seed}");
    }
}

/// Targets stop forgetting: repeatable requests find out within seconds, and without any the limit
/// ends ten seconds after the last break.
#[test]
fn a_limit_ends_when_long_rests_work_again() {
    for (is_repeatable, end) in [(true, 14_000), (false, 18_000)] {
        let (mut limits, mut rng) = (IdleLimits::open(), StdRng::seed_from_u64(1));
        load(&mut limits, (0, 8000), is_repeatable, &mut rng, forgets);
        assert!(limits.limit("cart").is_some());
        load(
            &mut limits,
            (8000, end),
            is_repeatable,
            &mut rng,
            |_, _, _| false,
        );
        let later = load(
            &mut limits,
            (end, end + 4000),
            is_repeatable,
            &mut rng,
            |_, _, _| false,
        );
        assert_eq!(later.opened, 0, "repeatable: {is_repeatable}");
    }
}

/// Responses get lost or processes end under one request in twenty-five, on new connections too: the
/// rest is not the reason, and no limit comes of it for long.
#[test]
fn breaks_at_random_teach_no_limit() {
    let (mut limited, mut all) = (0, 0);
    for seed in 0..20 {
        let (mut limits, mut rng) = (IdleLimits::open(), StdRng::seed_from_u64(seed));
        let random = |_, _, draw: f64| draw < 0.04;
        let counts = load(&mut limits, (0, 60_000), false, &mut rng, random);
        limited += counts.opened;
        all += 1200;
    }
    assert!(limited * 4 < all, "{limited} of {all} opened anew");
}

/// One target breaks all its connections, as at a crash: the others keep theirs.
#[test]
fn one_targets_breaks_limit_no_other() {
    let (mut limits, cart) = (IdleLimits::open(), Arc::from("cart"));
    for n in 0..10 {
        assert_eq!(
            limits.record_break(&cart, 7, ms(400 + n), ms(1000 + n)),
            None
        );
    }
    assert!(!limits.allows("cart", 7, ms(300), false, ms(1100)));
    assert!(limits.allows("cart", 7, ms(50), false, ms(1100)));
    assert!(limits.allows("cart", 8, ms(3000), false, ms(1100)));
    assert!(
        limits.allows("cart", 7, ms(3000), false, ms(12_000)),
        "forgotten"
    );
}

/// Runs take seconds: when the limit begins, many requests that were sent before are still running
/// and end well. They do not lift it.
#[test]
fn answers_to_earlier_requests_lift_no_limit() {
    let (mut limits, cart) = (IdleLimits::open(), Arc::from("cart"));
    limits.record_break(&cart, 1, ms(800), ms(1000));
    assert!(limits.record_break(&cart, 2, ms(800), ms(1050)).is_some());
    for n in 0..30 {
        let (sent, now) = (ms(500 + n), ms(1100 + n));
        assert_eq!(limits.record_answer(&cart, n, ms(2000), sent, now), None);
    }
    assert!(!limits.allows("cart", 9, ms(800), false, ms(1200)));
}

/// While one service's targets forget connections, the first break at another is enough.
#[test]
fn a_limit_of_one_service_speeds_up_another() {
    let (mut limits, cart, till) = (IdleLimits::open(), Arc::from("cart"), Arc::from("till"));
    limits.record_break(&cart, 1, ms(800), ms(0));
    limits.record_break(&till, 2, ms(800), ms(10));
    assert!(limits.allows("till", 3, ms(800), false, ms(20)));
    assert!(limits.record_break(&cart, 4, ms(800), ms(30)).is_some());
    assert!(limits.record_break(&till, 5, ms(900), ms(40)).is_some());
    assert!(!limits.allows("till", 3, ms(800), false, ms(50)));
}
