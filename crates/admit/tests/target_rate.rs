//! Rates that targets name for themselves: what all hosts together send.

use std::time::Duration;

use dunlinrock_admit::direct::{RateHosts, TargetRate};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Span and slack of the bound that targets rely on: one and a half times the rate, and five.
const SPAN_SECS: f64 = 4.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the division of a target's rate among `all` hosts, as the host `me` sees it.
fn division(me: u64, all: &[u64]) -> RateHosts<'_> {
    RateHosts {
        me,
        all,
        target: 7,
        is_partial: false,
    }
}

/// Offers a target a request of each host every 50 ms, for 20 s, and returns when it got them.
fn arrivals(hosts: usize, rate: f64, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let all: Vec<u64> = (0..hosts).map(|_| rng.random()).collect();
    let mut rates = vec![TargetRate::open(); hosts];
    for known in &mut rates {
        known.record(Some(rate), hosts, rng.random(), ms(0));
    }
    let mut sent = Vec::new();
    for now in (0..20_000).step_by(50).map(ms) {
        for (me, known) in all.iter().zip(&mut rates) {
            let hosts = division(*me, &all);
            if known.try_admit(&hosts, now) {
                sent.push(now);
                known.record(Some(rate), all.len(), rng.random(), now);
            }
        }
    }
    sent
}

/// Guards against a target in need that gets more the more hosts there are.
#[test]
fn all_hosts_together_keep_to_the_rate() {
    for hosts in [1, 2, 9, 12, 91, 300] {
        for rate in [0.0, 0.25, 1.0, 1.3, 4.0, 40.0, 400.0] {
            for seed in 0..4 {
                let sent = arrivals(hosts, rate, seed);
                let in_span = |from: &Duration| {
                    let end = *from + Duration::from_secs_f64(SPAN_SECS);
                    sent.iter().filter(|at| **at >= *from && **at < end).count()
                };
                let most = sent.iter().map(in_span).max().unwrap_or_default();
                let allowed = 1.5 * rate * SPAN_SECS + 5.0;
                assert!(
                    most as f64 <= allowed,
                    "{hosts} hosts, rate {rate}, seed {seed}: {most} for {allowed}"
                );
            }
        }
    }
}

/// A target gets most of what it takes, however many hosts divide it.
#[test]
fn most_of_the_rate_is_used() {
    for hosts in [1, 12, 91, 300] {
        for rate in [1.0_f64, 4.0, 400.0] {
            let used = arrivals(hosts, rate, 1).len() as f64 / 20.0;
            let offered = hosts as f64 * 20.0;
            assert!(
                used >= 0.6 * rate.min(offered),
                "{hosts} hosts, rate {rate}: {used}"
            );
        }
    }
}

/// Guards against hosts that send no more, because they have no part and hear of no change.
#[test]
fn a_host_without_a_part_probes() {
    let hosts = division(1, &[1, 2, 3]);
    let mut known = TargetRate::open();
    known.record(Some(0.0), 3, 1.0, ms(0));
    assert!(!known.try_admit(&hosts, ms(17_999)));
    assert!(known.try_admit(&hosts, ms(18_000)));
    assert!(!known.try_admit(&hosts, ms(18_001)), "one at a time");
    assert!(known.record(None, 3, 0.5, ms(18_050)), "a change");
    assert!((0..100).all(|_| known.try_admit(&hosts, ms(18_060))));
}

#[test]
fn a_cancelled_request_does_not_count() {
    let hosts = division(1, &[1]);
    let mut known = TargetRate::open();
    known.record(Some(0.25), 1, 0.5, ms(0));
    assert!(known.try_admit(&hosts, ms(0)));
    known.cancel();
    assert!(known.try_admit(&hosts, ms(0)));
    assert!(!known.try_admit(&hosts, ms(4000)));
    assert!(known.try_admit(&hosts, ms(4400)));
}

/// Guards against a request that a target without a rate did not get, and that takes back one which
/// it got before.
#[test]
fn a_request_cancelled_without_a_rate_takes_nothing_back() {
    let hosts = division(1, &[1]);
    let mut known = TargetRate::open();
    known.record(Some(0.25), 1, 0.5, ms(0));
    assert!(known.try_admit(&hosts, ms(0)));
    known.record(None, 1, 0.5, ms(10));
    assert!(known.try_admit(&hosts, ms(20)));
    known.cancel();
    known.record(Some(0.25), 1, 0.5, ms(30));
    assert!(!known.try_admit(&hosts, ms(40)));
}
