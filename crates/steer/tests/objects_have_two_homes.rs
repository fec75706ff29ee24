//! Objects with two warm homes: which of the two takes a request, and when there is one home only.

use std::time::Duration;

use dunlinrock_steer::affinity::{
    AffinityConfig, Candidate, Choice, Home, Question, SecondHome, choose_between, choose_home,
};

const USUAL: Home = Home {
    slots: 9,
    busy: 3,
    pace: 1.0,
    way: 0.05,
};

/// A draw that sends no request anywhere only to keep a home warm.
const NO_DRAW: f64 = 0.99;

/// Returns what a host has seen when these fractions of the runs were cold.
fn seen(first: f64, second: f64) -> SecondHome {
    let mut seen = SecondHome::open();
    for n in 0..400 {
        for (rank, cold) in [(0, first), (1, second)] {
            let is_cold = (f64::from(n) * cold).fract() + cold >= 1.0;
            seen.record(rank, if is_cold { 3.3 } else { 1.0 });
        }
    }
    seen
}

/// Returns the part of evenly drawn requests that goes to the second home.
fn second_part(first: &Home, second: &Home, seen: &SecondHome) -> f64 {
    let draws = (0..1000).map(|n| f64::from(n) / 1000.0);
    let taken = draws.filter(|draw| choose_between(first, second, seen, *draw) == 1);
    taken.count() as f64 / 1000.0
}

/// Machines that are slow for moments: a request does not wait through them at a home that has them.
#[test]
fn a_request_takes_the_home_that_answers_sooner() {
    let seen = seen(0.05, 0.1);
    let slow = Home { pace: 2.5, ..USUAL };
    let full = Home { busy: 18, ..USUAL };
    assert_eq!(choose_between(&USUAL, &USUAL, &seen, NO_DRAW), 0);
    assert_eq!(choose_between(&slow, &USUAL, &seen, NO_DRAW), 1);
    assert_eq!(choose_between(&full, &USUAL, &seen, NO_DRAW), 1);
    // Both alike, or a second home too far away: the first keeps it.
    let far = Home { way: 2.0, ..USUAL };
    for (first, second) in [(slow, slow), (full, full), (slow, far)] {
        assert_eq!(choose_between(&first, &second, &seen, NO_DRAW), 0);
    }
}

/// A second home that gets no requests while the first is well would be cold when it is needed.
#[test]
fn a_steady_part_of_the_requests_keeps_the_second_home_warm() {
    let seen = seen(0.05, 0.1);
    let part = second_part(&USUAL, &USUAL, &seen);
    assert!((0.05..0.2).contains(&part), "{part}");
    let slow = Home { pace: 2.5, ..USUAL };
    let none = second_part(&USUAL, &slow, &seen);
    assert!(none == 0.0, "nobody waits only to keep a home warm: {none}");
}

/// Where targets keep few objects, each run at a second home makes another object cold: requests
/// stay at the first home, even at a slow one, until the host sees that runs there are warm.
#[test]
fn second_homes_are_given_up_where_targets_keep_few_objects_warm() {
    let cold = seen(0.1, 0.95);
    let slow = Home { pace: 2.5, ..USUAL };
    assert!(!cold.is_kept());
    assert_eq!(choose_between(&slow, &USUAL, &cold, NO_DRAW), 0);
    let part = second_part(&USUAL, &USUAL, &cold);
    assert!(part > 0.0 && part <= 0.03, "{part}");
    let mut again = cold;
    (0..100).for_each(|_| again.record(1, 1.0));
    assert!(again.is_kept());
}

/// After a start everything is cold: an object gets its first home warm before its second.
#[test]
fn nothing_is_sent_to_warm_a_second_home_while_the_first_is_cold() {
    assert!(second_part(&USUAL, &USUAL, &SecondHome::open()) == 0.0);
    assert!(second_part(&USUAL, &USUAL, &seen(0.9, 0.9)) == 0.0);
}

/// Hosts that see different loads must not make an object warm at more than its two homes.
#[test]
fn hosts_that_know_different_loads_use_the_same_two_homes() {
    let target = |name_hash, busy| Candidate {
        name_hash,
        slots: 9,
        is_local: true,
        rtt_ratio: 0.0,
        busy,
        healthy: true,
    };
    let (seen, config) = (seen(0.1, 0.1), AffinityConfig::default());
    for object in 0..300 {
        let homes = (0..60_u64).map(|host| {
            let load = |n: u64| ((n * 31 + host * 17 + object) % 40) as u32;
            let all: Vec<_> = (0..30).map(|n| target(n + 1, load(n))).collect();
            let paces: Vec<_> = (0..30)
                .map(|n| [1.0, 2.5, 0.0, 1e9][((n + host) % 4) as usize])
                .collect();
            let known = (&seen, 2.0, host as f64 / 60.0);
            let choice = choose_home(object, &all, &paces, known, &config);
            choice.map(|Choice { index, .. }| index)
        });
        let homes: std::collections::BTreeSet<_> = homes.collect();
        assert!(homes.len() <= 2, "{homes:?}");
    }
    assert_eq!(choose_home(1, &[], &[], (&seen, 2.0, 0.5), &config), None);
}

/// A question is asked only where its way is short beside the run, and not again at once.
#[test]
fn a_target_is_asked_for_its_pace_where_that_is_cheap() {
    let ms = Duration::from_millis;
    let question = Question {
        age: None,
        way: ms(2),
        usual: ms(400),
    };
    assert_eq!(question.timeout(), Some(ms(10)));
    let remote = Question {
        way: ms(40),
        ..question
    };
    assert_eq!(remote.timeout(), Some(ms(48)));
    let known = |age| Question {
        age: Some(ms(age)),
        ..question
    };
    assert_eq!(known(50).timeout(), None);
    assert!(known(300).timeout().is_some());
    for (way, usual) in [(80, 400), (1, 20), (0, 0)] {
        let dear = Question {
            way: ms(way),
            usual: ms(usual),
            ..question
        };
        assert_eq!(dear.timeout(), None, "{way} ms for a run of {usual} ms");
    }
}
