//! Requests of two priorities at targets with queues, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use dunlinrock_admit::direct::{
    HostShare, LatencyEstimator, PriorityShedder, RetryBudget, RetryLimits,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const TARGETS: usize = 20;
const SLOTS: u32 = 3;
const RUN: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(30);
const HIGH: u8 = 1;
const LOW: u8 = 2;

/// How requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Every priority may use a target's whole queue.
    Alike,
    /// By the refusal rate of higher priorities.
    ByPriority,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

/// Returns the fractions answered in time of the high and of the low priority, where requests
/// arrive at `load` times the capacity, `high` of them with high priority, each at a random
/// target. Every host knows all targets' load.
fn simulate(strategy: Strategy, load: f64, high: f64, seed: u64) -> [f64; 2] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ends: Vec<BinaryHeap<Reverse<Duration>>> = vec![BinaryHeap::new(); TARGETS];
    let (mut estimator, mut shedder) = (LatencyEstimator::open(), PriorityShedder::open());
    estimator.record(RUN, 0, SLOTS);
    let mut tallies = [Tally::default(); 2];
    let rate = load * TARGETS as f64 * f64::from(SLOTS) / RUN.as_secs_f64();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        now += Duration::from_secs_f64(-rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate);
        let rank = if rng.random_bool(high) { HIGH } else { LOW };
        let target = &mut ends[rng.random_range(0..TARGETS)];
        while target.peek().is_some_and(|end| end.0 <= now) {
            target.pop();
        }
        let busy = target.len() as u32;
        let whole = estimator.concurrency_limit(SLOTS, OBJECTIVE);
        let room = match strategy {
            Strategy::Alike => whole,
            Strategy::ByPriority => {
                shedder.concurrency_limit(rank, whole, SLOTS, rng.random(), now)
            }
        };
        let tally = &mut tallies[usize::from(rank - HIGH)];
        tally.sent += 1;
        let is_refused = busy >= room;
        shedder.record(rank, is_refused, now);
        if is_refused {
            continue;
        }
        // Requests run in the order of arrival: this one starts when all but `SLOTS - 1` of those
        // before have ended.
        let mut before: Vec<_> = target.iter().map(|end| end.0).collect();
        before.sort();
        let ahead = before.len().checked_sub(SLOTS as usize);
        let start = ahead.map_or(now, |n| before[n]);
        let run = RUN.mul_f64(rng.random_range(0.5..1.5));
        target.push(Reverse(start + run));
        tally.in_time += u32::from(start + run <= now + OBJECTIVE);
    }
    tallies.map(|t| t.share())
}

/// Overload of 1.5 times the capacity, half of it of high priority. High priority must be answered
/// in time more often than without priorities, and all requests together about as often.
#[rstest]
fn under_overload_low_priority_requests_are_refused_first(#[values(1, 2, 3)] seed: u64) {
    let [high, low] = simulate(Strategy::ByPriority, 1.5, 0.5, seed);
    let [alike, _] = simulate(Strategy::Alike, 1.5, 0.5, seed);
    println!("{high} {low} {alike}");
    assert!(high > alike * 1.2, "{high} {low}, before {alike}");
    assert!(high + low > 1.9 * alike, "{high} {low}, before {alike}");
}

/// Overload of twice the capacity, nearly all of it of high priority. The others must still be
/// served.
#[rstest]
fn low_priority_requests_are_not_starved(#[values(1, 2, 3)] seed: u64) {
    let [high, low] = simulate(Strategy::ByPriority, 2.0, 0.9, seed);
    println!("{high} {low}");
    assert!(low > high / 4.0, "{high} {low}");
}

/// Half of the capacity: priority must cost the low one nothing.
#[rstest]
fn priority_has_no_effect_below_capacity(#[values(1, 2, 3)] seed: u64) {
    let ranked = simulate(Strategy::ByPriority, 0.5, 0.5, seed);
    let alike = simulate(Strategy::Alike, 0.5, 0.5, seed);
    println!("{ranked:?} {alike:?}");
    assert!((ranked[1] - alike[1]).abs() < 0.01, "{ranked:?} {alike:?}");
}

/// Returns the fractions of the failed requests that were retried, of the high and of the low
/// priority, and the retries as a fraction of the limit. A hundred requests arrive per second; each
/// fails once with the probability `fails`.
fn retries(high: f64, fails: f64, seed: u64) -> ([f64; 2], f64) {
    const RULES: RetryLimits = RetryLimits {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    const REQUESTS: u32 = 6000;
    let share = HostShare {
        hosts: 1,
        since: Some(Duration::ZERO),
        is_unused: true,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::open();
    let (mut failed, mut given) = ([0; 2], [0; 2]);
    for n in 0..REQUESTS {
        let now = Duration::from_millis(u64::from(n) * 10);
        let rank = if rng.random_bool(high) { HIGH } else { LOW };
        let at = usize::from(rank - HIGH);
        budget.record_request(&RULES, now);
        if rng.random_bool(fails) {
            failed[at] += 1;
            let retry = budget.try_retry(&RULES, &share, rank, rng.random(), now);
            given[at] += u32::from(retry.is_granted);
        }
    }
    let part = |n: usize| f64::from(given[n]) / f64::from(failed[n]);
    let all = f64::from(given[0] + given[1]) / (f64::from(REQUESTS) * RULES.ratio);
    ([part(0), part(1)], all)
}

/// All targets shed half of their requests, which is far more than may be retried. High priority
/// must get most of the retries, and no fewer may be made in total.
#[rstest]
fn high_priority_requests_get_most_retries(#[values(1, 2, 3)] seed: u64) {
    let ([high, low], all) = retries(0.5, 0.5, seed);
    println!("{high} {low} {all}");
    assert!(high > 2.0 * low && low > 0.03, "{high} {low}");
    assert!(all > 0.7, "{all}");
}

/// The same, by requests of the low priority alone: nothing is reserved for priorities that do not
/// ask.
#[test]
fn retries_are_not_reserved_for_priorities_that_do_not_ask() {
    let ([_, low], all) = retries(0.0, 0.5, 1);
    println!("{low} {all}");
    assert!(all > 0.7, "{all}");
}

/// Requests of high priority were refused, and then targets are free again. The low priority must
/// be able to use the queue within seconds.
#[test]
fn low_priorities_get_the_queue_back_after_an_overload() {
    let (whole, draw) = (9, 0.9);
    let mut shedder = PriorityShedder::open();
    for _ in 0..32 {
        shedder.record(HIGH, true, Duration::ZERO);
    }
    assert_eq!(
        shedder.concurrency_limit(LOW, whole, SLOTS, draw, Duration::ZERO),
        SLOTS
    );
    assert_eq!(
        shedder.concurrency_limit(HIGH, whole, SLOTS, draw, Duration::ZERO),
        whole
    );
    let later = Duration::from_secs(10);
    assert_eq!(
        shedder.concurrency_limit(LOW, whole, SLOTS, draw, later),
        whole
    );
}
