//! The sum of usable grants stays within the capacity, whatever happens to messages.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_steer::{
    Grant, GrantRequest, Grantee, Grantor, LinkCapacity, LocalUsage, Need,
    grants::{FRESH_AGE, GRANT_TTL, REQUEST_FRACTION, STALE_AGE},
};
use proptest::{prelude::*, test_runner::RngSeed};

const TICK: Duration = Duration::from_millis(100);
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// 12 slots, 5 in use, a tenth left free: 5.8 to grant, 290 requests per second.
const USAGE: LocalUsage = LocalUsage {
    slots: 12.0,
    busy: 5.0,
    rate: 0.0,
    service_time: SERVICE_TIME,
};
const AVAILABLE_SLOTS: f64 = 5.8;
const LINK_BYTES: f64 = 1_000_000.0;

fn service() -> Arc<str> {
    "s".into()
}

fn need(rate: f64) -> Need {
    Need {
        service: service(),
        rate,
        request_bytes: 1_000.0,
        answer_bytes: 20_000.0,
    }
}

/// A grantor in `r`, a region of two hosts, past the time in which it grants nothing, with grantees
/// in `c` and `d`.
struct Region {
    now: Duration,
    grantor: Grantor,
    grantees: BTreeMap<Arc<str>, Grantee>,
}

impl Region {
    fn open(count: usize) -> Self {
        let mut grantor = Grantor::open(&"g".into(), &"r".into(), Duration::ZERO);
        let links = LinkCapacity::from([("c".into(), LINK_BYTES), ("d".into(), LINK_BYTES)]);
        grantor.set_limits(0.1, links);
        grantor.set_hosts(2, Duration::ZERO);
        let grantees = (0..count).map(|n| {
            let name: Arc<str> = format!("h{n}").into();
            let region: Arc<str> = if n % 2 == 0 { "c".into() } else { "d".into() };
            (name.clone(), Grantee::open(&name, &region))
        });
        let mut region = Self {
            now: GRANT_TTL,
            grantor,
            grantees: grantees.collect(),
        };
        region.record_usage(USAGE);
        region
    }

    /// As [`Self::open`], with links that never limit.
    fn wide(count: usize) -> Self {
        let mut region = Self::open(count);
        let links = LinkCapacity::from([("c".into(), 1e12), ("d".into(), 1e12)]);
        region.grantor.set_limits(0.1, links);
        region
    }

    fn record_usage(&mut self, usage: LocalUsage) {
        self.grantor.record_usage(&service(), usage, self.now);
    }

    fn requests(&self, rates: &[f64]) -> Vec<GrantRequest> {
        let hosts = self.grantees.values().zip(rates);
        hosts
            .map(|(host, rate)| host.request(&[need(*rate)], 1, self.now))
            .collect()
    }

    fn receive(&mut self, grant: Grant) {
        let now = self.now;
        if let Some(host) = self.grantees.get_mut(&grant.grantee) {
            host.receive(grant, now);
        }
    }

    /// Exchanges requests and grants, all of which arrive at once.
    fn exchange(&mut self, rates: &[f64]) {
        for request in self.requests(rates) {
            self.grantor.on_request(request, self.now);
        }
        for grant in self.grantor.grant(self.now) {
            self.receive(grant);
        }
    }

    /// Returns the requests per second that all hosts of one region may send.
    fn rate(&self, parity: usize) -> f64 {
        let hosts = self.grantees.values().enumerate();
        let hosts = hosts.filter(|(n, _)| n % 2 == parity);
        hosts
            .map(|(_, host)| host.rate("r", &need(1.0), self.now))
            .sum()
    }

    fn slots(&self) -> f64 {
        (self.rate(0) + self.rate(1)) * SERVICE_TIME.as_secs_f64()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Requests and grants are lost, delayed, duplicated and reordered while needs change all the
    /// time. The sum of what hosts may send at any moment must stay within the capacity of slots
    /// and links.
    #[test]
    fn the_sum_of_grants_stays_within_the_capacity(
        steps in prop::collection::vec(
            (prop::collection::vec(0.0..400.0_f64, 6), 0_u8..4, any::<u64>()),
            10..120,
        ),
    ) {
        let mut region = Region::open(6);
        let mut requests: Vec<GrantRequest> = Vec::new();
        let mut grants: Vec<Grant> = Vec::new();
        for (rates, kind, chance) in steps {
            region.now += TICK * (1 + u32::from(kind));
            region.record_usage(USAGE);
            requests.extend(region.requests(&rates));
            // Each message is delivered, delayed, delivered and delayed, or dropped.
            let delivery = |n: usize| (chance >> (2 * (n % 30))) & 3;
            let mut delayed = Vec::new();
            for (n, request) in requests.drain(..).enumerate() {
                if delivery(n) != 3 && delivery(n) != 1 {
                    region.grantor.on_request(request.clone(), region.now);
                }
                if delivery(n) == 1 || delivery(n) == 2 {
                    delayed.push(request);
                }
            }
            delayed.truncate(12);
            requests = delayed;
            grants.extend(region.grantor.grant(region.now));
            let mut delayed = Vec::new();
            for (n, grant) in grants.drain(..).enumerate() {
                if delivery(n + 7) != 3 && delivery(n + 7) != 1 {
                    region.receive(grant.clone());
                }
                if delivery(n + 7) == 1 || delivery(n + 7) == 2 {
                    delayed.push(grant);
                }
            }
            delayed.truncate(24);
            grants = delayed;
            prop_assert!(region.slots() <= AVAILABLE_SLOTS + 1e-6, "{} slots granted", region.slots());
            for parity in [0, 1] {
                let answers = region.rate(parity) * 20_000.0;
                let share = LINK_BYTES / 2.0 * (1.0 - REQUEST_FRACTION);
                prop_assert!(answers <= share + 1e-3, "{answers} bytes per second granted");
            }
        }
    }
}

/// If all messages arrive at once the full capacity is granted, and a host that requests ten times
/// as much as the others does not get their part.
#[test]
fn capacity_is_divided_fairly() {
    let mut region = Region::open(4);
    let rates = [10.0, 10.0, 100.0, 10.0];
    region.exchange(&rates);
    let granted_rate = |region: &Region, n: usize| {
        let host = region.grantees.values().nth(n).unwrap();
        host.rate("r", &need(1.0), region.now)
    };
    assert!((granted_rate(&region, 0) - 10.0).abs() < 1e-6);
    assert!((granted_rate(&region, 1) - 10.0).abs() < 1e-6);
    // The link to `c` carries 20 responses per second for this grantor: 10 are left.
    assert!(
        (granted_rate(&region, 2) - 10.0).abs() < 1e-6,
        "{}",
        granted_rate(&region, 2)
    );
}

/// Measurements stop arriving: existing grants are renewed for a while, then expire. They must
/// never grow in the meantime, whatever is requested.
#[test]
fn without_measurements_grants_stay_then_expire() {
    let mut region = Region::open(2);
    region.exchange(&[5.0, 5.0]);
    region.now += FRESH_AGE + TICK;
    let granted = region.slots();
    assert!(granted > 0.0);
    while region.now < GRANT_TTL + STALE_AGE - TICK {
        region.exchange(&[15.0, 15.0]);
        assert!(
            (region.slots() - granted).abs() < 1e-9,
            "{}",
            region.slots()
        );
        region.now += TICK;
    }
    region.now = GRANT_TTL + STALE_AGE;
    for _ in 0..3 {
        region.exchange(&[15.0, 15.0]);
        assert!(region.slots() <= granted + 1e-9);
        region.now += GRANT_TTL / 3;
    }
    region.exchange(&[15.0, 15.0]);
    assert_eq!(region.slots(), 0.0);
}

/// A report says that no slot is in use, but the host itself sends traffic for five slots. The
/// host's own count must win, and no additional capacity may be granted.
#[test]
fn a_false_report_of_idle_slots_frees_no_capacity() {
    let mut region = Region::wide(40);
    let false_report = LocalUsage {
        busy: 0.0,
        rate: 250.0,
        ..USAGE
    };
    for _ in 0..100 {
        region.now += TICK;
        region.record_usage(false_report);
        region.exchange(&[100.0; 40]);
        assert!(region.slots() <= AVAILABLE_SLOTS + 1e-6);
    }
    assert!(region.slots() > AVAILABLE_SLOTS - 0.1, "{}", region.slots());
}

/// A host has just started: the other hosts of its region still grant as if it did not exist, and
/// the previous owner of its targets may have grants outstanding on them. It must not grant within
/// the TTL.
#[test]
fn a_new_host_grants_nothing_within_the_ttl() {
    let mut grantor = Grantor::open(&"g".into(), &"r".into(), Duration::ZERO);
    grantor.set_limits(0.1, LinkCapacity::from([("c".into(), LINK_BYTES)]));
    let host = Grantee::open(&"h".into(), &"c".into());
    let mut now = Duration::ZERO;
    while now < GRANT_TTL {
        grantor.set_hosts(1, now);
        grantor.record_usage(&service(), USAGE, now);
        grantor.on_request(host.request(&[need(10.0)], 1, now), now);
        assert!(grantor.grant(now).is_empty(), "at {now:?}");
        now += TICK;
    }
    grantor.set_hosts(1, now);
    grantor.record_usage(&service(), USAGE, now);
    grantor.on_request(host.request(&[need(10.0)], 1, now), now);
    assert_eq!(grantor.grant(now).len(), 1);
}

/// A host of the region fails. Its part of the links must go to the others only after its grants
/// have expired.
#[test]
fn a_shrunk_region_counts_as_large_within_the_ttl() {
    let mut region = Region::open(1);
    let max_rate = LINK_BYTES / 2.0 * (1.0 - REQUEST_FRACTION) / 20_000.0;
    let start = region.now;
    while region.now < start + GRANT_TTL {
        region.grantor.set_hosts(1, region.now);
        region.record_usage(USAGE);
        region.exchange(&[200.0]);
        assert!(region.rate(0) <= max_rate + 1e-6);
        region.now += TICK;
    }
    region.grantor.set_hosts(1, region.now);
    region.record_usage(USAGE);
    region.exchange(&[200.0]);
    assert!(
        (region.rate(0) - 2.0 * max_rate).abs() < 1e-6,
        "{}",
        region.rate(0)
    );
}

/// Targets move from one host to another. Grants of the previous owner remain usable for their TTL,
/// so the new owner must not grant on these targets before.
#[test]
fn slots_new_to_a_host_are_granted_after_the_ttl() {
    let mut region = Region::wide(40);
    let more = LocalUsage {
        slots: 24.0,
        ..USAGE
    };
    let start = region.now;
    while region.now < start + GRANT_TTL {
        region.now += TICK;
        region.record_usage(more);
        if region.now < start + GRANT_TTL {
            region.exchange(&[1.0; 40]);
            region.exchange(&[100.0; 40]);
            assert!(
                region.slots() <= AVAILABLE_SLOTS + 1e-6,
                "{}",
                region.slots()
            );
        }
    }
    region.now += TICK;
    region.record_usage(more);
    assert!(region.grantor.spare_rate("s", region.now) > 0.0);
}

/// A host uses its grants request by request: in any period no more than the rate and a short
/// burst.
#[test]
fn requests_stay_within_the_granted_rate() {
    let mut region = Region::open(1);
    let mut taken = Vec::new();
    for tick in 0..100 {
        region.now += TICK;
        region.record_usage(USAGE);
        region.exchange(&[10.0]);
        let now = region.now;
        let host = region.grantees.get_mut("h0").unwrap();
        for _ in 0..50 {
            if host.try_acquire("r", "s", (1_000.0, 20_000.0), now).is_ok() {
                taken.push(tick);
            }
        }
    }
    for start in 0..90 {
        let within = taken.iter().filter(|t| (start..start + 10).contains(*t));
        // Ten per second, and the four that a bucket may hold.
        assert!(within.count() <= 14);
    }
    assert!(taken.len() >= 95, "{}", taken.len());
    let host = region.grantees.get_mut("h0").unwrap();
    let error = host
        .try_acquire("r", "s", (1_000.0, 20_000.0), region.now)
        .unwrap_err();
    assert!(error.retry_after <= TICK * 2, "{error}");
}

/// The first requests of a flow arrive before capacity was requested, while nearly all slots are
/// free. If their retry-after were the TTL of a grant, they would be refused at once; with a round
/// trip they get capacity within the time that a request may be queued.
#[test]
fn a_request_that_comes_before_the_first_grant_waits_for_a_round_trip() {
    let name = |text: &str| Arc::<str>::from(text);
    let mut grantee = Grantee::open(&name("h1"), &name("north"));
    let size = (100.0, 100.0);
    let error = grantee.try_acquire("south", "web", size, Duration::ZERO);
    let wait = error.unwrap_err().retry_after;
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
    assert!(wait >= Duration::from_millis(20), "busy waiting: {wait:?}");
}
