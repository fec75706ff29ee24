//! Requests of several priorities and workspaces at targets with queues, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use dunlinrock_admit::direct::{
    EntryGate, HostShare, LatencyEstimator, Place, RetryBudget, RetryLimits, Urgency,
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

fn urgency(priority: u8) -> Urgency {
    Urgency {
        priority,
        is_late: false,
    }
}

fn place(priority: u8) -> Place {
    Place {
        urgency: urgency(priority),
        is_above: false,
    }
}

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
    let (mut estimator, mut gate) = (LatencyEstimator::open(), EntryGate::open());
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
            Strategy::ByPriority => gate.concurrency_limit(place(rank), whole, SLOTS, now),
        };
        let tally = &mut tallies[usize::from(rank - HIGH)];
        tally.sent += 1;
        let is_refused = busy >= room;
        gate.record(place(rank), None, is_refused, now);
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
            let retry = budget.try_retry(&RULES, &share, urgency(rank), now);
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
    let whole = 9;
    let mut gate = EntryGate::open();
    for _ in 0..32 {
        gate.record(place(HIGH), None, true, Duration::ZERO);
    }
    assert_eq!(
        gate.concurrency_limit(place(LOW), whole, SLOTS, Duration::ZERO),
        SLOTS
    );
    assert_eq!(
        gate.concurrency_limit(place(HIGH), whole, SLOTS, Duration::ZERO),
        whole
    );
    let later = Duration::from_secs(10);
    assert_eq!(
        gate.concurrency_limit(place(LOW), whole, SLOTS, later),
        whole
    );
}

/// Which workspaces give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// None.
    Alike,
    /// Those above their max-min share.
    MaxMin,
    /// Those that had more than the room divided by the number of workspaces, which is also what the
    /// rule of adaptive speeds gives where there is one resource.
    Equal,
    /// Those whose virtual start time is later than that of the least served one that asked lately
    /// (start-time fair queueing at the moment of choice).
    StartTime,
    /// Those above a rate of their own, which refusals lower and successes raise.
    OwnRate,
}

/// Requests of a workspace in the measurement of [`Sharing`].
#[derive(Clone, Debug)]
struct Account {
    name: Arc<str>,
    weight: f64,
    got: f64,
    start: f64,
    speed: f64,
    tally: Tally,
}

/// Returns the fraction let in of the workspace that asks for `factor` times its usual, that of the
/// others, that of the worst tenth of them against the mean of all workspaces, and that of all
/// requests. 20 workspaces of which three are large ask for 1.0 times the room of
/// one host's targets, before one of the large ones asks for more.
fn share_room(sharing: Sharing, factor: f64, seed: u64) -> [f64; 4] {
    const ROOM: f64 = 50.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut accounts: Vec<_> = (0..20)
        .map(|n| Account {
            name: format!("w{n}").into(),
            weight: if n < 3 { 6.0 } else { 2.0 },
            got: 0.0,
            start: 0.0,
            speed: ROOM / 20.0,
            tally: Tally::default(),
        })
        .collect();
    let usual: f64 = accounts.iter().map(|a| a.weight).sum();
    accounts[0].weight *= factor;
    let total: f64 = accounts.iter().map(|a| a.weight).sum();
    let mut gate = EntryGate::open();
    let (mut now, mut last, mut busy) = (Duration::ZERO, Duration::ZERO, 0.0_f64);
    while now < LENGTH {
        let passed = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (ROOM * total / usual);
        now += Duration::from_secs_f64(passed);
        // Slots and queue of 0.2 s of work in total; the last third of it is the queue.
        busy = (busy - (now - last).as_secs_f64() * ROOM).max(0.0);
        let decay = (-(now - last).as_secs_f64() / 2.0).exp();
        last = now;
        accounts.iter_mut().for_each(|a| a.got *= decay);
        let mut draw = rng.random::<f64>() * total;
        let at = accounts.iter().position(|a| {
            draw -= a.weight;
            draw < 0.0
        });
        let at = at.unwrap_or(0);
        let least = accounts.iter().map(|a| a.start).fold(f64::MAX, f64::min);
        let (all, count) = (accounts.iter().map(|a| a.got).sum::<f64>(), accounts.len());
        let account = &mut accounts[at];
        account.start = account.start.max(least);
        let mut place = gate.place(urgency(1), Some(&account.name), now);
        place.is_above = match sharing {
            Sharing::Alike => false,
            Sharing::MaxMin => place.is_above,
            Sharing::Equal => account.got > all / count as f64,
            Sharing::StartTime => account.start > least + 4.0,
            Sharing::OwnRate => account.got > account.speed * 2.0,
        };
        let capacity = gate.concurrency_limit(place, 10, 6, now);
        let is_refused = busy >= f64::from(capacity);
        gate.record(place, Some(&account.name), is_refused, now);
        account.tally.sent += 1;
        if is_refused {
            account.speed *= 0.95;
            continue;
        }
        busy += 1.0;
        account.tally.in_time += 1;
        account.got += 1.0;
        account.start += 1.0;
        account.speed += 0.02;
    }
    let shares = accounts.iter().map(|a| a.tally.share());
    let mean = shares.sum::<f64>() / accounts.len() as f64;
    // The workspace above its share is to be served least: the worst tenth is that of the others.
    let others: Vec<_> = accounts[1..].iter().map(|a| a.tally.share()).collect();
    let others_mean = others.iter().sum::<f64>() / others.len() as f64;
    let worst_tenth = worst_of(others, 2);
    let sum = |count: fn(&Tally) -> u32| {
        accounts
            .iter()
            .map(move |a| f64::from(count(&a.tally)))
            .sum::<f64>()
    };
    [
        accounts[0].tally.share(),
        others_mean,
        worst_tenth / mean,
        sum(|t| t.in_time) / sum(|t| t.sent),
    ]
}

/// Returns the mean of the `count` smallest.
fn worst_of(mut shares: Vec<f64>, count: usize) -> f64 {
    shares.sort_by(f64::total_cmp);
    shares[..count].iter().sum::<f64>() / count as f64
}

/// One workspace asks for six times its usual. The others must be let in nearly as often as without
/// it, the worst tenth of them at least 0.8 times as often as workspaces are on average, and no room
/// may be left unused for that.
#[rstest]
fn a_workspace_above_its_share_costs_the_others_little(#[values(1, 2, 3)] seed: u64) {
    for sharing in [
        Sharing::Alike,
        Sharing::Equal,
        Sharing::StartTime,
        Sharing::OwnRate,
        Sharing::MaxMin,
    ] {
        let shares = share_room(sharing, 6.0, seed);
        println!("{sharing:?} {shares:.2?}");
    }
    let [_, usual, ..] = share_room(Sharing::Alike, 1.0, seed);
    let [_, alike, _, all_alike] = share_room(Sharing::Alike, 6.0, seed);
    let [hot, others, worst, all] = share_room(Sharing::MaxMin, 6.0, seed);
    println!("usual {usual:.2}");
    assert!(
        others > 0.8 * usual && others > 1.2 * alike,
        "{others}, alike {alike}"
    );
    assert!(worst > 0.8, "{worst}");
    assert!(hot > 0.2, "{hot}");
    assert!(all > 0.97 * all_alike, "{all}, alike {all_alike}");
}
