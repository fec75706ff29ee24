//! Limits that every host enforces by itself, and that hold for all hosts together.

use std::time::Duration;

use dunlinrock_admit::direct::{
    ColdStartLimiter, ColdStartLimits, Ejection, Evidence, FailureRate, HostShare,
    LatencyEstimator, OwnShare, RecentHosts, RetryBudget, RetryLimits, Urgency,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const BUDGET: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

/// Urgency of requests, where it has no effect.
const URGENCY: Urgency = Urgency {
    priority: 1,
    is_late: false,
};

/// Returns the share of a host that has been listed for long, beside others.
fn held(hosts: usize) -> HostShare {
    HostShare {
        hosts,
        since: Some(Duration::ZERO),
        is_unused: true,
    }
}

/// Saturation: all targets fail, and every request would be retried. Nine hosts ask for a retry of
/// each request. In no window of ten seconds may there be more retries than the limit for all of
/// them together.
#[test]
fn retries_of_all_hosts_stay_within_the_limit_in_every_window() {
    const HOSTS: usize = 9;
    let mut budgets = vec![RetryBudget::open(); HOSTS];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 0..30_000 {
        let now = ms(n * 2);
        let budget = &mut budgets[rng.random_range(0..HOSTS)];
        budget.record_request(&BUDGET, now);
        requests.push(now);
        if budget
            .try_retry(&BUDGET, &held(HOSTS), URGENCY, now)
            .is_granted
        {
            retries.push(now);
        }
    }
    assert!(retries.len() > 1000, "too few retries: {}", retries.len());
    for start in (0..60_000).step_by(250).map(ms) {
        let within = |list: &[Duration]| {
            list.iter()
                .filter(|at| **at >= start && **at < start + BUDGET.window)
                .count() as f64
        };
        // The rate is steady, so the window before has as many.
        let bound = within(&requests).max(5000.0) * BUDGET.ratio + BUDGET.slack;
        assert!(
            within(&retries) <= bound,
            "{start:?}: {} of {bound}",
            within(&retries)
        );
    }
}

/// Targets shed, and the store is unavailable to four of nine hosts. Their entries expire after 20
/// s, while callers go on using all nine. The other five must not take over the shares of the four,
/// which have used them in the same window.
#[test]
fn hosts_that_are_no_longer_listed_keep_their_shares_of_the_budget() {
    const HOSTS: u64 = 9;
    let all: Vec<u64> = (0..HOSTS).collect();
    let still: Vec<u64> = (0..5).collect();
    let mut hosts_seen = RecentHosts::open();
    let mut budgets = vec![RetryBudget::open(); HOSTS as usize];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut listed = all.clone();
    let mut hosts = hosts_seen.update(&[], &listed, ms(0)).len();
    for n in 0..1400 {
        let now = ms(n * 30);
        if n == 667 {
            hosts = hosts_seen.update(&listed, &still, now).len();
            listed.clone_from(&still);
        }
        let budget = &mut budgets[(n % HOSTS) as usize];
        budget.record_request(&BUDGET, now);
        requests.push(now);
        if budget
            .try_retry(&BUDGET, &held(hosts), URGENCY, now)
            .is_granted
        {
            retries.push(now);
        }
    }
    for start in (0..30_000).step_by(250).map(ms) {
        let within = |list: &[Duration]| {
            let inside = |at: &&Duration| **at >= start && **at < start + BUDGET.window;
            list.iter().filter(inside).count() as f64
        };
        let bound = within(&requests) * BUDGET.ratio + BUDGET.slack;
        let spent = within(&retries);
        assert!(spent <= bound, "{start:?}: {spent} of {bound}");
    }
}

/// Targets shed from the tenth second on, and all nine hosts are killed at once, twice within the
/// window. No successor knows how much was used; the limit must hold for all of them together.
#[test]
fn restarted_hosts_do_not_use_their_shares_again() {
    const HOSTS: u64 = 9;
    let mut budgets = vec![RetryBudget::open(); HOSTS as usize];
    let mut share = held(HOSTS as usize);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for n in 0..2500 {
        let now = ms(n * 10);
        if [1250, 1600].contains(&n) {
            budgets = vec![RetryBudget::open(); HOSTS as usize];
            share = HostShare {
                since: Some(now),
                is_unused: false,
                ..share
            };
        }
        let budget = &mut budgets[(n % HOSTS) as usize];
        budget.record_request(&BUDGET, now);
        requests.push(now);
        if now >= ms(10_000) && budget.try_retry(&BUDGET, &share, URGENCY, now).is_granted {
            retries.push(now);
        }
    }
    let within = |list: &[Duration], start: Duration| {
        let inside = |at: &&Duration| **at >= start && **at < start + BUDGET.window;
        list.iter().filter(inside).count() as f64
    };
    for start in (0..15_000).step_by(250).map(ms) {
        let bound = within(&requests, start) * BUDGET.ratio + BUDGET.slack;
        let spent = within(&retries, start);
        assert!(spent <= bound, "{start:?}: {spent} of {bound}");
    }
    let late = within(&retries, ms(14_000));
    assert!(late > 20.0, "restarted hosts make too few retries: {late}");
}

/// Callers leave a host that has not used its retries, just when targets begin to shed: it makes them
/// all for the requests that are still in progress, and the host that the callers go to must not
/// have them allowed again by the same callers' requests.
#[test]
fn callers_that_move_to_another_host_allow_no_retries_twice() {
    let mut budgets = vec![RetryBudget::open(); 2];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for n in 0..3000 {
        let now = ms(n * 10);
        let at = usize::from(n >= 1100);
        budgets[at].record_request(&BUDGET, now);
        requests.push(now);
        // Targets shed from the tenth second on.
        let wanted = if n < 1000 { 0 } else { 4 };
        for _ in 0..wanted {
            let retry = budgets[at].try_retry(&BUDGET, &held(2), URGENCY, now);
            if retry.is_granted {
                retries.push(now);
            }
        }
    }
    let within = |list: &[Duration], start: Duration| {
        let inside = |at: &&Duration| **at >= start && **at < start + BUDGET.window;
        list.iter().filter(inside).count() as f64
    };
    for start in (0..20_000).step_by(100).map(ms) {
        let bound = within(&requests, start) * BUDGET.ratio + BUDGET.slack;
        let spent = within(&retries, start);
        assert!(spent <= bound, "{start:?}: {spent} of {bound}");
    }
    assert!(retries.len() > 300, "too few retries: {}", retries.len());
}

/// Twelve hosts start while the store stops answering, so that none learns of another. Their targets
/// shed, and each of them would take the whole slack.
#[test]
fn hosts_that_learn_of_no_others_use_no_slack() {
    let alone = HostShare {
        hosts: 1,
        since: None,
        is_unused: true,
    };
    let mut budgets = vec![RetryBudget::open(); 12];
    let (mut requests, mut retries) = (0.0, 0.0);
    for n in 0..1000 {
        let (budget, now) = (&mut budgets[n % 12], ms(n as u64 * 10));
        budget.record_request(&BUDGET, now);
        requests += 1.0;
        let retry = budget.try_retry(&BUDGET, &alone, URGENCY, now);
        retries += f64::from(u8::from(retry.is_granted));
    }
    assert!(retries <= requests * BUDGET.ratio, "{retries}");
    assert!(retries > 100.0, "too few retries: {retries}");
}

/// A share may be used once all others know this host or have stopped. An entry that expired and
/// was announced again may be unknown to hosts that joined meanwhile.
#[test]
fn a_share_is_used_from_a_delay_after_its_hosts_entry_was_created() {
    let mut own = OwnShare::open(ms(5000), true);
    let since = |own: &OwnShare<u64>, now| own.share(3, true, now).since;
    own.update(None, true, ms(100));
    assert_eq!(since(&own, ms(90_000)), None);
    own.update(Some(7), true, ms(200));
    own.update(Some(7), true, ms(900));
    assert_eq!(since(&own, ms(5199)), None);
    assert_eq!(since(&own, ms(5200)), Some(ms(5200)));
    assert_eq!(own.share(3, false, ms(5200)).since, None, "its list is old");
    assert!(own.share(3, true, ms(5200)).is_unused);
    own.update(Some(9), true, ms(8000));
    assert_eq!(since(&own, ms(12_999)), None);
    assert!(!own.share(3, true, ms(13_000)).is_unused);
    own.update(None, true, ms(20_000));
    assert_eq!(since(&own, ms(90_000)), None);
}

/// Settings that call each start the first one do not make a successor take its predecessor's share
/// again: the predecessor's entry is still listed.
#[test]
fn a_host_that_is_listed_when_it_starts_has_a_predecessor() {
    let opened = |first_start, listed| {
        let mut own = OwnShare::open(ms(5000), first_start);
        // The settings file is read again before the list is known.
        own.update(None, false, ms(10));
        own.update(listed, true, ms(20));
        own.update(Some(7), true, ms(30));
        own.share(3, true, ms(9000)).is_unused
    };
    assert!(opened(true, None));
    assert!(!opened(true, Some(7)));
    assert!(!opened(false, None));
}

/// The share of a host that is permanently removed is freed in time, however the list changes
/// meanwhile.
#[test]
fn the_share_of_a_removed_host_is_freed() {
    let mut hosts_seen = RecentHosts::open();
    assert_eq!(hosts_seen.update(&[], &[1, 2, 3], ms(0)), [1, 2, 3]);
    assert_eq!(
        hosts_seen.update(&[1, 2, 3], &[1, 2], ms(90_000)),
        [1, 2, 3]
    );
    assert_eq!(
        hosts_seen.update(&[1, 2], &[1, 2, 4], ms(100_000)),
        [1, 2, 3, 4]
    );
    assert_eq!(
        hosts_seen.update(&[1, 2, 4], &[1, 2], ms(151_000)),
        [1, 2, 4]
    );
}

/// A quiet service: its first failure may still be retried.
#[test]
fn a_quiet_service_may_make_a_few_retries() {
    let mut budget = RetryBudget::open();
    budget.record_request(&BUDGET, ms(0));
    assert!(
        budget
            .try_retry(&BUDGET, &held(9), URGENCY, ms(1))
            .is_granted
    );
    let granted = (0..20)
        .filter(|n| {
            budget
                .try_retry(&BUDGET, &held(9), URGENCY, ms(2 + n))
                .is_granted
        })
        .count();
    assert!(granted < 5, "more than the share of the slack: {granted}");
}

/// A failure domain comes back with all its requests. 64 hosts want to send to one cold target in
/// the same instant and keep trying. In no second may it get more than it tolerates: a minimum
/// interval between two requests of one host would admit all first requests at once.
#[test]
fn a_cold_target_gets_no_more_than_it_tolerates_from_all_hosts() {
    let rules = ColdStartLimits {
        rate: 2.1,
        factor: 1.5,
        slack: 8.0,
    };
    let most = (rules.rate * rules.factor + rules.slack) as usize;
    for count in [1, 3, 9, 12, 64, 300_u64] {
        let hosts: Vec<u64> = (0..count).map(|n| n * 7919).collect();
        for target in 0..50 {
            let mut sent = Vec::new();
            for host in &hosts {
                let fraction = rules.host_rate(*host, &hosts, target);
                let mut rate = ColdStartLimiter::open();
                sent.extend(
                    (0..3000)
                        .step_by(10)
                        .map(ms)
                        .filter(|at| rate.try_admit(fraction, *at)),
                );
            }
            sent.sort();
            assert!(!sent.is_empty(), "{count} hosts: none sent");
            let busiest = sent.iter().map(|at| {
                sent.iter()
                    .filter(|other| *other >= at && **other < *at + ms(1000))
                    .count()
            });
            assert!(busiest.max().unwrap() <= most, "{count} hosts");
        }
    }
}

/// A target is down: after the first refused connection no request is sent there; later, single
/// requests probe it at growing intervals; once one succeeds, the target is restored.
#[test]
fn a_target_that_is_down_is_probed_by_single_requests() {
    let mut ejection = Ejection::open();
    assert!(ejection.on_end(Evidence::Down, FailureRate::open(), ms(0)));
    assert!(!ejection.is_usable(ms(499)));
    assert!(ejection.is_usable(ms(500)));
    ejection.on_start(ms(500));
    assert!(!ejection.is_usable(ms(501)), "one probe at a time");
    ejection.on_end(Evidence::Down, FailureRate::open(), ms(510));
    assert!(!ejection.is_usable(ms(1500)), "the backoff has doubled");
    ejection.on_start(ms(1510));
    ejection.on_end(Evidence::Good, FailureRate::open(), ms(1600));
    assert!(ejection.is_usable(ms(1600)) && !ejection.is_ejected());
}

/// A target fails half of its requests while its health check is good. It must be ejected after a
/// few failures; one failure among many good responses must not change anything.
#[test]
fn a_target_that_fails_often_is_ejected_and_one_that_fails_once_is_not() {
    let mut often = Ejection::open();
    let outcomes = [Evidence::Bad, Evidence::Good].into_iter().cycle().take(20);
    assert!(
        outcomes
            .enumerate()
            .any(|(n, e)| often.on_end(e, FailureRate::open(), ms(n as u64)))
    );
    let mut once = Ejection::open();
    once.on_end(Evidence::Bad, FailureRate::open(), ms(0));
    assert!(once.is_usable(ms(0)));
}

/// A packet is lost and with it one attempt to connect; others that began at the same time fail
/// too. That is no proof, so requests in flight at the target stay there. When the next probe fails
/// as well, the target is down.
#[test]
fn a_target_is_down_after_two_consecutive_failed_probes_and_not_after_one() {
    let mut ejection = Ejection::open();
    ejection.on_end(Evidence::Down, FailureRate::open(), ms(0));
    ejection.on_end(Evidence::Down, FailureRate::open(), ms(10));
    assert!(!ejection.is_down());
    ejection.on_start(ms(500));
    ejection.on_end(Evidence::Down, FailureRate::open(), ms(900));
    assert!(ejection.is_down());
    ejection.on_end(Evidence::Good, FailureRate::open(), ms(950));
    assert!(!ejection.is_down());
}

#[test]
fn a_cancelled_probe_allows_the_next() {
    let mut ejection = Ejection::open();
    ejection.on_end(Evidence::Down, FailureRate::open(), ms(0));
    ejection.on_start(ms(500));
    ejection.cancel_probe();
    assert!(ejection.is_usable(ms(501)));
}

/// Simulates the targets of one service as one host sees them; returns the fraction of its requests
/// for which each target was usable.
fn usable_fractions(targets: usize, bad: impl Fn(usize) -> f64) -> Vec<f64> {
    const REQUESTS: u64 = 20_000;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut all = vec![(Ejection::open(), 0, 0); targets];
    let mut service = FailureRate::open();
    for n in 0..REQUESTS {
        let at = rng.random_range(0..targets);
        let (ejection, asked, usable) = &mut all[at];
        *asked += 1;
        if !ejection.is_usable(ms(n)) {
            continue;
        }
        *usable += 1;
        ejection.on_start(ms(n));
        let evidence = match rng.random_bool(bad(at)) {
            true => Evidence::Bad,
            false => Evidence::Good,
        };
        service.record(evidence);
        ejection.on_end(evidence, service, ms(n));
    }
    let fraction =
        |(_, asked, usable): &(Ejection, u32, u32)| f64::from(*usable) / f64::from(*asked);
    all.iter().map(fraction).collect()
}

/// Every target of a service sheds half of its requests, though it has free slots. None is better
/// than the others, so none may be ejected.
#[test]
fn targets_that_all_shed_alike_are_not_ejected() {
    let fractions = usable_fractions(20, |_| 0.5);
    assert!(
        fractions.iter().all(|fraction| *fraction > 0.9),
        "{fractions:?}"
    );
}

/// One target, or half of them, fails its requests; the others are healthy. Only those that fail
/// may be ejected.
#[test]
fn targets_that_are_worse_than_the_others_are_ejected() {
    let fractions = usable_fractions(20, |at| if at == 3 { 0.6 } else { 0.01 });
    assert!(fractions[3] < 0.3, "{fractions:?}");
    assert!(
        fractions[4..].iter().all(|fraction| *fraction > 0.99),
        "{fractions:?}"
    );
    let fractions = usable_fractions(20, |at| if at < 10 { 1.0 } else { 0.0 });
    assert!(
        fractions[..10].iter().all(|fraction| *fraction < 0.1),
        "{fractions:?}"
    );
    assert!(
        fractions[10..].iter().all(|fraction| *fraction == 1.0),
        "{fractions:?}"
    );
}

/// A target was ejected before it was known that all of its service shed. Its probe is shed as
/// well, and it must be restored all the same.
#[test]
fn a_target_is_restored_when_all_others_shed_too() {
    let (mut ejection, mut service) = (Ejection::open(), FailureRate::open());
    for n in 0..4 {
        ejection.on_end(Evidence::Bad, service, ms(n));
    }
    assert!(ejection.is_ejected());
    (0..32).for_each(|_| service.record(Evidence::Bad));
    ejection.on_start(ms(600));
    ejection.on_end(Evidence::Bad, service, ms(610));
    assert!(!ejection.is_ejected() && ejection.is_usable(ms(610)));
}

/// The time in a target's queue does not count as service time: otherwise the expected time would
/// grow with the queue, and a target would count as full long after its queue is empty.
#[test]
fn the_time_in_a_queue_does_not_count_as_service_time() {
    let mut estimator = LatencyEstimator::open();
    for _ in 0..50 {
        // 4 slots, 12 requests there: two more runs of 100 ms each go before.
        estimator.record(ms(325), 12, 4);
    }
    assert!(
        estimator.queue_delay(4, 4) < ms(40),
        "{:?}",
        estimator.queue_delay(4, 4)
    );
    assert_eq!(estimator.queue_delay(3, 4), Duration::ZERO);
}

#[test]
fn the_concurrency_limit_follows_the_time_allowed() {
    let mut estimator = LatencyEstimator::open();
    estimator.record(ms(250), 0, 4);
    assert_eq!(
        estimator.concurrency_limit(4, ms(600)),
        9,
        "2.4 runs of 4 slots"
    );
    assert_eq!(
        estimator.concurrency_limit(4, ms(100)),
        4,
        "never less than its slots"
    );
    assert_eq!(
        estimator.concurrency_limit(4, ms(60_000)),
        12,
        "never more than three requests per slot"
    );
}

/// A cold run takes three times as long as a warm one, and a wait in the queue is not the target's
/// fault; a run of ten times the mean is.
#[test]
fn only_very_long_runs_count_as_slow() {
    let mut estimator = LatencyEstimator::open();
    assert!(
        !estimator.is_slow(ms(60_000), 0, 4),
        "no run was recorded yet"
    );
    for _ in 0..20 {
        estimator.record(ms(100), 0, 4);
    }
    assert!(!estimator.is_slow(ms(330), 0, 4));
    assert!(
        !estimator.is_slow(ms(550), 11, 4),
        "two runs per slot were queued ahead"
    );
    assert!(estimator.is_slow(ms(1000), 0, 4));
}
