//! The capacity that a host needs in other regions, the hosts that it requests it from, and the
//! share limits that follow from the grants.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::config;
use dunlinrock_steer::{
    DesiredSplits, Grant, Grantee, Grantor, ShareLimits, Traffic, TrafficSplit, TrafficTable, spill,
};

const HOST: &str = "cluj-0";
const HOME: &str = "cluj";

fn desired_splits() -> DesiredSplits {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cursuri");
    let config = config::load_dir(&root).unwrap_or_else(|findings| panic!("{findings}"));
    DesiredSplits::open(&config, &BTreeSet::new())
}

fn split(desired_splits: &DesiredSplits) -> TrafficSplit {
    let mut split = TrafficSplit::open();
    split.update_peers(&[]);
    split.advance(desired_splits, &ShareLimits::default(), Duration::ZERO);
    split
}

/// Returns the requests per second of the catalogue's callers in two regions.
fn traffic(own: f64, other: f64) -> TrafficTable {
    let traffic = |rate| Traffic {
        rate,
        request_bytes: 800.0,
        answer_bytes: 24_000.0,
    };
    let flows = BTreeMap::from([
        (HOME.into(), traffic(own)),
        ("bucharest".into(), traffic(other)),
    ]);
    BTreeMap::from([("catalogue".into(), flows)])
}

#[test]
fn a_host_needs_grants_for_all_but_its_own_callers_in_its_region() {
    let desired_splits = desired_splits();
    let needs = spill::needs(
        &desired_splits,
        &split(&desired_splits),
        &traffic(100.0, 20.0),
        HOME,
    );
    let rate = |region: &str| needs[region][0].rate;
    let requested = |mean: f64| mean + spill::BURST_MARGIN * mean.sqrt();
    // A tenth of the traffic of its own callers and nine tenths of the other region's; a twentieth
    // of both in Iasi; and capacity in its own region for the other region's callers.
    assert!((rate("bucharest") - requested(10.0 + 18.0)).abs() < 1e-6);
    assert!((rate("iasi") - requested(5.0 + 1.0)).abs() < 1e-6);
    assert!((rate(HOME) - requested(1.0)).abs() < 1e-6);
}

#[test]
fn without_traffic_there_are_no_needs_and_no_limits() {
    let desired_splits = desired_splits();
    let split = split(&desired_splits);
    assert!(spill::needs(&desired_splits, &split, &traffic(0.0, 0.0), HOME).is_empty());
    let grantee = Grantee::open(&HOST.into(), &HOME.into());
    let grantor = Grantor::open(&HOST.into(), &HOME.into(), Duration::ZERO);
    let granted = (&grantee, &grantor);
    let traffic = traffic(0.0, 0.0);
    let limits = spill::share_limits(
        &desired_splits,
        &split,
        &traffic,
        HOME,
        granted,
        Duration::ZERO,
    );
    assert!(limits.values().all(BTreeMap::is_empty));
}

/// If all requested capacity is granted, shares stay where they are; if half of it is, they return
/// to the callers' region.
#[test]
fn share_limits_follow_the_grants() {
    let desired_splits = desired_splits();
    let split = split(&desired_splits);
    let traffic = traffic(100.0, 0.0);
    let needs = spill::needs(&desired_splits, &split, &traffic, HOME);
    let need = &needs["bucharest"][0];
    let limit = |fraction: f64| {
        let mut grantee = Grantee::open(&HOST.into(), &HOME.into());
        let grant = Grant {
            grantor: "bucharest-0".into(),
            region: "bucharest".into(),
            grantee: HOST.into(),
            service: "catalogue".into(),
            rate: need.rate * fraction,
            request_bytes: need.rate * fraction * need.request_bytes,
            answer_bytes: need.rate * fraction * need.answer_bytes,
            requested_at: Duration::ZERO,
        };
        grantee.receive(grant, Duration::ZERO);
        let grantor = Grantor::open(&HOST.into(), &HOME.into(), Duration::ZERO);
        let granted = (&grantee, &grantor);
        let limits = spill::share_limits(
            &desired_splits,
            &split,
            &traffic,
            HOME,
            granted,
            Duration::ZERO,
        );
        limits["catalogue"][HOME]["bucharest"]
    };
    assert!(limit(1.0) >= 0.1, "{}", limit(1.0));
    assert!(limit(0.5) < 0.1, "{}", limit(0.5));
    assert_eq!(limit(0.0), 0.0);
}

/// At the planned size each host sends requests to few grantors, and each grantor gets about as
/// many.
#[test]
fn requests_do_not_grow_with_the_fleet() {
    let hosts: Vec<Arc<str>> = (0..110).map(|n| format!("host-{n}").into()).collect();
    let mut requested: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for n in 0..2_290 {
        let chosen = spill::choose_grantors(&format!("other-{n}"), &hosts);
        assert_eq!(chosen.len(), spill::MAX_GRANTORS);
        for host in chosen {
            *requested.entry(host).or_default() += 1;
        }
    }
    // 2,290 hosts that each send requests to eight of 110: 167 per grantor.
    assert_eq!(requested.len(), hosts.len());
    assert!(
        requested.values().all(|n| (110..230).contains(n)),
        "{requested:?}"
    );
    assert_eq!(spill::choose_grantors("a", &hosts[..4]).len(), 4);
}
