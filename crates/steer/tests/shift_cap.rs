//! Shares move within the cap in every window, summed over hosts that decide independently.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_steer::{
    DesiredSplit, DesiredSplits, PeerSplit, ShareLimits, SplitTable, TrafficSplit,
    UnservableReason, hash,
};
use proptest::{prelude::*, test_runner::RngSeed};

const WINDOW: Duration = Duration::from_secs(10);
const CAP: f64 = 0.1;
const TICK: Duration = Duration::from_millis(250);

/// Returns the desired splits of one service's callers in region `a`; regions with a share of 0
/// cannot serve.
fn desired_splits(split: &[(&str, f64)]) -> DesiredSplits {
    let desired = DesiredSplit {
        shares: split
            .iter()
            .filter(|(_, share)| *share > 0.0)
            .map(|(region, share)| (Arc::from(*region), *share))
            .collect(),
        eligible: split
            .iter()
            .filter(|(_, share)| *share > 0.0)
            .map(|(region, _)| Arc::from(*region))
            .collect(),
        cap: CAP,
        window: WINDOW,
    };
    let flows = BTreeMap::from([("s".into(), BTreeMap::from([("a".into(), desired)]))]);
    DesiredSplits { flows }
}

fn share(table: &SplitTable, region: &str) -> f64 {
    table["s"]["a"].get(region).copied().unwrap_or(0.0)
}

/// Hosts whose messages to each other arrive a tick late.
struct Fleet {
    hosts: Vec<TrafficSplit>,
    /// Desired splits that each host knows of.
    desired_splits: Vec<DesiredSplits>,
    now: Duration,
    /// Mean share of region `a` over all hosts, each tick.
    past: Vec<f64>,
}

impl Fleet {
    fn open(count: usize, desired_splits: &DesiredSplits) -> Self {
        let mut hosts = vec![TrafficSplit::open(); count];
        for host in &mut hosts {
            host.update_peers(&[]);
            host.advance(desired_splits, &ShareLimits::default(), Duration::ZERO);
        }
        Self {
            hosts,
            desired_splits: vec![desired_splits.clone(); count],
            now: Duration::ZERO,
            past: Vec::new(),
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let tables: Vec<SplitTable> = self.hosts.iter().map(TrafficSplit::table).collect();
        for (n, host) in self.hosts.iter_mut().enumerate() {
            let others = tables.iter().enumerate().filter(|(other, _)| *other != n);
            let peers: Vec<_> = others
                .map(|(_, table)| PeerSplit { table: Some(table) })
                .collect();
            host.update_peers(&peers);
            host.advance(&self.desired_splits[n], &ShareLimits::default(), self.now);
        }
        self.past.push(self.mean());
    }

    /// Mean share of region `a` over the hosts that have shares: callers use only these.
    fn mean(&self) -> f64 {
        let ready = self.hosts.iter().filter(|host| host.ready());
        let shares: Vec<f64> = ready.map(|host| share(&host.table(), "a")).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    }

    /// Largest move within a window.
    fn moved(&self) -> f64 {
        let ticks = (WINDOW.as_millis() / TICK.as_millis()) as usize;
        let windows = self.past.windows(ticks + 1);
        let range = |window: &[f64]| {
            let most = window.iter().copied().fold(f64::MIN, f64::max);
            most - window.iter().copied().fold(f64::MAX, f64::min)
        };
        windows.map(range).fold(0.0, f64::max)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Traffic moves from region `a` to `b`. A new configuration reaches the twelve hosts at
    /// different times within 17 s; up to four of them fail at once and are replaced. Each host
    /// moves on its own, and the sum must stay within the cap.
    #[test]
    fn the_sum_over_lagging_and_failing_hosts_stays_under_the_cap(
        lags in prop::collection::vec(0_u64..17_000, 12),
        ends in prop::collection::btree_set(0_usize..12, 0..=4),
        at in 20_usize..200,
        new in 0_usize..=4,
    ) {
        let before = desired_splits(&[("a", 0.9), ("b", 0.1)]);
        let after = desired_splits(&[("a", 0.2), ("b", 0.8)]);
        let mut fleet = Fleet::open(12, &before);
        for tick in 0..480 {
            for (n, lag) in lags.iter().enumerate() {
                if n < fleet.desired_splits.len() && tick < at && fleet.now >= Duration::from_millis(*lag) {
                    fleet.desired_splits[n] = after.clone();
                }
            }
            if tick == at {
                for n in ends.iter().rev() {
                    fleet.hosts.remove(*n);
                    fleet.desired_splits.remove(*n);
                }
                fleet.desired_splits.fill(after.clone());
                for _ in 0..new {
                    fleet.hosts.push(TrafficSplit::open());
                    fleet.desired_splits.push(after.clone());
                }
            }
            fleet.tick();
        }
        prop_assert!(fleet.moved() <= CAP, "moved {} in a window", fleet.moved());
        prop_assert!((fleet.mean() - 0.2).abs() < 1e-6, "ended at {}", fleet.mean());
    }

    /// A host that was idle between steps makes up for no more than a fraction of a window.
    #[test]
    fn uneven_steps_stay_under_the_cap(steps in prop::collection::vec(1_u64..30_000, 1..60)) {
        let mut host = TrafficSplit::open();
        host.update_peers(&[]);
        host.advance(&desired_splits(&[("a", 1.0), ("b", 0.0)]), &ShareLimits::default(), Duration::ZERO);
        let after = desired_splits(&[("a", 0.0), ("b", 1.0)]);
        let mut now = Duration::ZERO;
        let mut past = vec![(now, 1.0)];
        for step in steps {
            now += Duration::from_millis(step);
            host.advance(&after, &ShareLimits::default(), now);
            let table = host.table();
            prop_assert!((table["s"]["a"].values().sum::<f64>() - 1.0).abs() < 1e-9);
            past.push((now, share(&table, "a")));
        }
        for (n, (at, after)) in past.iter().enumerate() {
            for (then, before) in &past[..n] {
                if *at - *then <= WINDOW {
                    prop_assert!(before - after <= CAP + 1e-9);
                }
            }
        }
    }

    /// For any limits, shares sum up to 1 and no share exceeds its limit by its own move.
    #[test]
    fn shares_stay_within_limits(
        steps in prop::collection::vec((0.0..1.0_f64, 0.0..1.0_f64, 0.0..1.0_f64), 1..50),
    ) {
        let mut host = TrafficSplit::open();
        host.update_peers(&[]);
        host.advance(&desired_splits(&[("a", 0.6), ("b", 0.2), ("c", 0.2)]), &ShareLimits::default(), Duration::ZERO);
        let after = desired_splits(&[("a", 0.2), ("b", 0.5), ("c", 0.3)]);
        let mut now = Duration::ZERO;
        for (a, b, c) in steps {
            now += TICK;
            let before = host.table();
            let split = BTreeMap::from([("a".into(), a), ("b".into(), b), ("c".into(), c)]);
            let flows = BTreeMap::from([("a".into(), split)]);
            host.advance(&after, &BTreeMap::from([("s".into(), flows)]), now);
            let table = host.table();
            prop_assert!((table["s"]["a"].values().sum::<f64>() - 1.0).abs() < 1e-9);
            for (region, limit) in [("a", a), ("b", b), ("c", c)] {
                let grown = share(&table, region) > share(&before, region) + 1e-9;
                prop_assert!(!grown || share(&table, region) <= limit + 1e-9);
            }
        }
    }
}

/// Eight hosts get a new configuration at once; four get it 17 s later and all fail at that moment.
/// Their callers move to the eight hosts, which are ahead, so the traffic jumps by the difference.
/// The jump must fit within the cap, together with the moves of the eight in the same window.
#[test]
fn a_third_of_the_hosts_fails_while_lagging() {
    let before = desired_splits(&[("a", 0.9), ("b", 0.1)]);
    let after = desired_splits(&[("a", 0.2), ("b", 0.8)]);
    let mut fleet = Fleet::open(12, &before);
    fleet.desired_splits[..8].fill(after);
    while fleet.now < Duration::from_secs(17) {
        fleet.tick();
    }
    fleet.hosts.truncate(8);
    fleet.desired_splits.truncate(8);
    for _ in 0..100 {
        fleet.tick();
    }
    assert!(fleet.moved() <= CAP, "moved {} in a window", fleet.moved());
    assert!(
        fleet.moved() >= CAP * 0.8,
        "moved too little for a meaningful check"
    );
}

/// A new host that does not know its peers' shares yet must refuse for a short time: if it started
/// from the desired split, its traffic would jump. Once it knows the shares of a peer, it starts
/// from them.
#[test]
fn a_new_host_waits_for_its_peers() {
    let desired = desired_splits(&[("a", 0.1), ("b", 0.9)]);
    let mut host = TrafficSplit::open();
    host.update_peers(&[
        PeerSplit { table: None },
        PeerSplit {
            table: Some(&SplitTable::new()),
        },
    ]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    assert!(!host.ready());
    let refusal = host.pick_region("s", "a", 1).unwrap_err();
    assert_eq!(refusal.reason, UnservableReason::Starting);
    let split = BTreeMap::from([("a".into(), 0.7), ("b".into(), 0.3)]);
    let table = SplitTable::from([("s".into(), BTreeMap::from([("a".into(), split)]))]);
    host.update_peers(&[
        PeerSplit { table: None },
        PeerSplit {
            table: Some(&table),
        },
    ]);
    host.advance(&desired, &ShareLimits::default(), TICK);
    assert!((share(&host.table(), "a") - 0.7).abs() < 1e-9);
}

/// If no live peer has shares, all hosts start from the desired split.
#[test]
fn hosts_that_all_start_use_the_desired_split() {
    let desired = desired_splits(&[("a", 0.1), ("b", 0.9)]);
    let mut host = TrafficSplit::open();
    host.update_peers(&[PeerSplit {
        table: Some(&SplitTable::new()),
    }]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    assert!((share(&host.table(), "a") - 0.1).abs() < 1e-9);
}

/// A host was paused for an hour while its peers moved on. It starts again from their shares.
#[test]
fn a_paused_host_restarts_from_its_peers() {
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    host.advance(
        &desired_splits(&[("a", 1.0)]),
        &ShareLimits::default(),
        Duration::ZERO,
    );
    host.reset();
    assert!(!host.ready());
    let split = BTreeMap::from([("b".into(), 1.0)]);
    let table = SplitTable::from([("s".into(), BTreeMap::from([("a".into(), split)]))]);
    host.update_peers(&[PeerSplit {
        table: Some(&table),
    }]);
    host.advance(
        &desired_splits(&[("b", 1.0)]),
        &ShareLimits::default(),
        TICK,
    );
    assert_eq!(&**host.pick_region("s", "a", 1).unwrap(), "b");
}

/// A host of region `b` started alone and assumed that all regions but its own were lost. A paused
/// host of region `a` that asks it for shares must not move its callers to `b` at once.
#[test]
fn a_paused_host_does_not_start_from_an_assumed_split() {
    let mut lone = TrafficSplit::open();
    lone.update_peers(&[]);
    let only_b = desired_splits(&[("b", 1.0)]);
    lone.advance(&only_b, &ShareLimits::default(), Duration::ZERO);
    let desired = desired_splits(&[("a", 0.9), ("b", 0.1)]);
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    host.reset();
    host.update_peers(&[PeerSplit {
        table: Some(&lone.table_for_peers("b")),
    }]);
    host.advance(&desired, &ShareLimits::default(), TICK);
    assert!((share(&host.table(), "a") - 0.9).abs() < 1e-9);
}

/// A host of region `c` started from the shares of one of `b` that had assumed that all traffic goes to
/// `b`. It must not tell that to a paused host of `a` as if it were known.
#[test]
fn an_assumed_split_is_not_passed_on() {
    let start = |peers: &[PeerSplit<'_>], desired: &DesiredSplits| {
        let mut host = TrafficSplit::open();
        host.update_peers(peers);
        host.advance(desired, &ShareLimits::default(), Duration::ZERO);
        host
    };
    let desired = desired_splits(&[("a", 0.9), ("b", 0.1)]);
    let lone = start(&[], &desired_splits(&[("b", 1.0)]));
    let told = lone.table_for_peers("b");
    let third = start(&[PeerSplit { table: Some(&told) }], &desired);
    let told = third.table_for_peers("c");
    let host = start(&[PeerSplit { table: Some(&told) }], &desired);
    assert!((share(&host.table(), "a") - 0.9).abs() < 1e-9);
}

/// Hosts of region `b` followed those of `a` until none was left. A new host of `a` starts from what
/// they followed, since they carry its callers' traffic by it.
#[test]
fn a_new_host_starts_from_what_other_regions_adopted() {
    let desired = desired_splits(&[("a", 0.1), ("b", 0.9)]);
    let mut other = TrafficSplit::open();
    other.update_peers(&[]);
    other.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    let split = BTreeMap::from([("a".into(), 0.8), ("b".into(), 0.2)]);
    let table = SplitTable::from([("s".into(), BTreeMap::from([("a".into(), split)]))]);
    other.adopt_remote("b", &BTreeMap::from([("a".into(), vec![&table])]));
    let mut host = TrafficSplit::open();
    host.update_peers(&[PeerSplit {
        table: Some(&other.table_for_peers("b")),
    }]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    assert!((share(&host.table(), "a") - 0.8).abs() < 1e-9);
}

/// A host of region `b` adopts the shares of `a`'s hosts for `a`'s callers while one of them is
/// alive, and continues from there within the cap once none is.
#[test]
fn a_remote_host_adopts_the_shares_of_the_callers_region() {
    let desired = desired_splits(&[("a", 0.1), ("b", 0.9)]);
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    let split = BTreeMap::from([("a".into(), 0.8), ("b".into(), 0.2)]);
    let table = SplitTable::from([("s".into(), BTreeMap::from([("a".into(), split)]))]);
    let remote = BTreeMap::from([("a".into(), vec![&table])]);
    host.adopt_remote("b", &remote);
    assert!((share(&host.table(), "a") - 0.8).abs() < 1e-9);
    host.adopt_remote("b", &BTreeMap::new());
    host.advance(&desired, &ShareLimits::default(), TICK);
    let left = share(&host.table(), "a");
    assert!((0.8 - CAP..0.8).contains(&left), "{left}");
    // A host does not adopt shares for its own region's callers.
    host.adopt_remote("a", &remote);
    assert!((share(&host.table(), "a") - left).abs() < 1e-9);
}

/// Without grants a shift is blocked. Its remaining traffic must be reported: otherwise a peer that
/// starts would take the shift as completed and start from the desired split.
#[test]
fn a_blocked_shift_counts_as_remaining() {
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    let none = ShareLimits::default();
    host.advance(
        &desired_splits(&[("a", 0.9), ("b", 0.1)]),
        &none,
        Duration::ZERO,
    );
    assert_eq!(host.remaining("s", "a"), 0.0);
    let split = BTreeMap::from([("b".into(), 0.1)]);
    let blocked = ShareLimits::from([("s".into(), BTreeMap::from([("a".into(), split)]))]);
    for n in 1..100 {
        host.advance(
            &desired_splits(&[("a", 0.2), ("b", 0.8)]),
            &blocked,
            TICK * n,
        );
    }
    assert!((share(&host.table(), "a") - 0.9).abs() < 1e-9);
    assert!((host.remaining("s", "a") - 0.7).abs() < 1e-9);
}

/// Region `a` fails. Its callers are refused until their share has moved, with a retry-after time.
/// A caller that waits for that time must be served, and must not have been servable much earlier.
#[test]
fn retry_after_matches_the_time_of_service() {
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    host.advance(
        &desired_splits(&[("a", 0.8), ("b", 0.2)]),
        &ShareLimits::default(),
        Duration::ZERO,
    );
    let lost = desired_splits(&[("a", 0.0), ("b", 1.0)]);
    let mut now = TICK;
    host.advance(&lost, &ShareLimits::default(), now);
    let mut expected: BTreeMap<u64, Duration> = BTreeMap::new();
    for value in 0..500 {
        let value = hash::mix64(value);
        if let Err(refusal) = host.pick_region("s", "a", value) {
            assert_eq!(refusal.reason, UnservableReason::RegionGone);
            expected.insert(value, now + refusal.retry_after);
        }
    }
    assert!(
        (350..450).contains(&expected.len()),
        "{} refused",
        expected.len()
    );
    let mut served: BTreeMap<u64, Duration> = BTreeMap::new();
    while served.len() < expected.len() {
        now += TICK;
        assert!(now < Duration::from_secs(120), "the share never moved");
        host.advance(&lost, &ShareLimits::default(), now);
        for value in expected.keys() {
            if host.pick_region("s", "a", *value).is_ok() {
                served.entry(*value).or_insert(now);
            }
        }
    }
    for (value, at) in &served {
        assert!(
            *at <= expected[value] + TICK,
            "expected {:?}, served at {at:?}",
            expected[value]
        );
        // The way to the target is searched in 32 steps, each 3.1 s at this speed.
        assert!(*at + Duration::from_secs(4) >= expected[value]);
    }
}

/// When a fraction of the shares moves, few more values than that fraction change region: a value
/// that leaves `a` may go to `c`, and another one then goes from `c` to `b`.
#[test]
fn few_values_beyond_the_moved_share_change_region() {
    let mut host = TrafficSplit::open();
    host.update_peers(&[]);
    let desired = desired_splits(&[("a", 0.5), ("b", 0.3), ("c", 0.2)]);
    host.advance(&desired, &ShareLimits::default(), Duration::ZERO);
    let pick = |host: &TrafficSplit| -> Vec<Arc<str>> {
        let values = (0..20_000).map(hash::mix64);
        values
            .map(|v| host.pick_region("s", "a", v).unwrap().clone())
            .collect()
    };
    let before = pick(&host);
    let of_a = before.iter().filter(|region| &***region == "a").count();
    assert!(
        (9_700..10_300).contains(&of_a),
        "{of_a} of 20000 for a half"
    );
    let desired = desired_splits(&[("a", 0.4), ("b", 0.4), ("c", 0.2)]);
    for n in 1..200 {
        host.advance(&desired, &ShareLimits::default(), TICK * n);
    }
    let after = pick(&host);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(
        (1_900..2_500).contains(&moved),
        "{moved} of 20000 for a tenth"
    );
}
