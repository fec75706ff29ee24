//! Second sends of requests whose runs take unusually long.

use std::time::Duration;

use dunlinrock_admit::direct::{
    HostShare, LostSends, RetryBudget, RetryLimits, RunTimes, SecondTarget, Urgency,
};

const URGENCY: Urgency = Urgency {
    priority: 1,
    is_late: false,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the run times of a route whose warm runs take 340 to 439 ms.
fn runs(others: &[u64]) -> RunTimes {
    let mut times = RunTimes::open();
    for n in 0..100 {
        times.record(ms(340 + n));
        others.iter().for_each(|time| times.record(ms(*time)));
    }
    times
}

/// Runs that take seven times as long now and then: the second send leaves once the first is
/// certainly unusual, and its answer still comes within the objective.
#[test]
fn a_second_send_leaves_late_but_in_time() {
    let delay = runs(&[]).second_send(ms(1000)).unwrap();
    assert!(delay >= ms(429) && delay + ms(400) <= ms(1000), "{delay:?}");
    // A longer objective leaves more time to the first.
    assert!(runs(&[]).second_send(ms(1500)).unwrap() > delay + ms(400));
}

/// Cold and slow runs among the warm ones must not pass for usual ones, or the second send leaves
/// too late for its answer.
#[test]
fn cold_runs_do_not_count_as_usual() {
    let (warm, mixed) = (runs(&[]), runs(&[1300]));
    let usual = |times: &RunTimes| times.usual().unwrap().as_millis();
    assert!(usual(&mixed).abs_diff(usual(&warm)) <= 30);
    let delay = mixed.second_send(ms(1000)).unwrap();
    assert!(delay + ms(400) <= ms(1000), "{delay:?}");
}

/// Where no second answer would come in time, none is asked for.
#[test]
fn there_is_no_second_send_without_time_or_knowledge() {
    for objective in [0, 300, 700] {
        assert_eq!(runs(&[]).second_send(ms(objective)), None, "{objective} ms");
    }
    let mut few = RunTimes::open();
    (0..8).for_each(|_| few.record(ms(400)));
    assert_eq!((few.usual(), few.second_send(ms(1000))), (None, None));
}

/// A second send to a target without a free slot, or on a slow machine, would be as late as the
/// first, and take the slot of another request.
#[test]
fn full_and_slow_targets_get_no_second_send() {
    let usual = SecondTarget {
        slots: 9,
        busy: 8,
        pace: 1.0,
    };
    assert!(usual.is_suitable());
    assert!(!SecondTarget { busy: 9, ..usual }.is_suitable());
    assert!(!SecondTarget { pace: 2.5, ..usual }.is_suitable());
}

/// Targets that shed spend the retry budget: second sends leave it to requests that have no answer
/// at all, and keep within it when there are none.
#[test]
fn second_sends_leave_the_retry_budget_to_requests_without_an_answer() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let share = HostShare {
        hosts: 1,
        since: Some(Duration::ZERO),
        is_unused: true,
    };
    let granted = |retries: usize| {
        let mut budget = RetryBudget::open();
        (0..1000).for_each(|_| budget.record_request(&limits, ms(0)));
        let retried = (0..retries)
            .filter(|_| budget.try_retry(&limits, &share, URGENCY, ms(0)).is_granted)
            .count();
        let second = (0..1000)
            .filter(|_| {
                let decision = budget.try_spare(&limits, &share, ms(0));
                decision.is_granted
            })
            .count();
        (retried, second)
    };
    // 160 retries are allowed, one less by rounding.
    for (asked, most) in [(0, 160), (100, 160), (400, 160)] {
        let (retried, second) = granted(asked);
        assert!(retried >= asked.min(most - 1), "{retried} of {asked}");
        let all = retried + second;
        assert!((most - 1..=most).contains(&all), "{retried}, {second}");
    }
    assert!(granted(400).1 == 0);
}

/// Guards against a target that hangs for good, whose requests are all answered by second sends: it
/// must be seen, and one slow run must not count.
#[test]
fn only_a_target_that_answers_nothing_counts_as_hanging() {
    let mut lost = LostSends::default();
    assert!(!lost.record_lost() && !lost.record_lost());
    lost.record_answer();
    assert!(!lost.record_lost() && !lost.record_lost());
    assert!(lost.record_lost() && lost.record_lost());
}
