//! What can be used of all grants stays within the room, whatever happens to messages.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_steer::{
    Grant, GrantRequest, Grantee, Grantor, LinkCapacity, LocalUsage, Need,
    grants::{FRESH_AGE, GRANT_TTL, REQUEST_FRACTION, STALE_AGE},
};
use proptest::{prelude::*, test_runner::RngSeed};

const TICK: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(20);
/// 12 slots, 5 in use, a tenth left free: 5.8 to lend, 290 requests a second.
const OWN: LocalUsage = LocalUsage {
    slots: 12.0,
    busy: 5.0,
    rate: 0.0,
    service_time: WORK,
};
const ROOM: f64 = 5.8;
const LINK: f64 = 1_000_000.0;

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

/// A grantor in `r` of two hosts, past its quiet time, with grantees in `c` and `d`.
struct Room {
    now: Duration,
    grantor: Grantor,
    grantees: BTreeMap<Arc<str>, Grantee>,
}

impl Room {
    fn open(count: usize) -> Self {
        let mut grantor = Grantor::open(&"g".into(), &"r".into(), Duration::ZERO);
        let links = LinkCapacity::from([("c".into(), LINK), ("d".into(), LINK)]);
        grantor.set_limits(0.1, links);
        grantor.set_hosts(2, Duration::ZERO);
        let grantees = (0..count).map(|n| {
            let name: Arc<str> = format!("h{n}").into();
            let region: Arc<str> = if n % 2 == 0 { "c".into() } else { "d".into() };
            (name.clone(), Grantee::open(&name, &region))
        });
        let mut room = Self {
            now: GRANT_TTL,
            grantor,
            grantees: grantees.collect(),
        };
        room.measure(OWN);
        room
    }

    /// LinkCapacity that carry all that slots allow.
    fn wide(count: usize) -> Self {
        let mut room = Self::open(count);
        let links = LinkCapacity::from([("c".into(), 1e12), ("d".into(), 1e12)]);
        room.grantor.set_limits(0.1, links);
        room
    }

    fn measure(&mut self, own: LocalUsage) {
        self.grantor.record_usage(&service(), own, self.now);
    }

    fn asks(&self, rates: &[f64]) -> Vec<GrantRequest> {
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

    /// Asks and grants that all arrive at once.
    fn exchange(&mut self, rates: &[f64]) {
        for ask in self.asks(rates) {
            self.grantor.on_request(ask, self.now);
        }
        for grant in self.grantor.grant(self.now) {
            self.receive(grant);
        }
    }

    /// Requests a second that all hosts of one region may send.
    fn rate(&self, even: usize) -> f64 {
        let hosts = self.grantees.values().enumerate();
        let hosts = hosts.filter(|(n, _)| n % 2 == even);
        hosts
            .map(|(_, host)| host.rate("r", &need(1.0), self.now))
            .sum()
    }

    fn slots(&self) -> f64 {
        (self.rate(0) + self.rate(1)) * WORK.as_secs_f64()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Asks and grants are lost, late, doubled and out of order, and needs change all the time.
    /// The sum of what hosts may send at any moment stays within the room, for slots and links.
    #[test]
    fn the_sum_stays_within(
        steps in prop::collection::vec(
            (prop::collection::vec(0.0..400.0_f64, 6), 0_u8..4, any::<u64>()),
            10..120,
        ),
    ) {
        let mut room = Room::open(6);
        let mut asks: Vec<GrantRequest> = Vec::new();
        let mut grants: Vec<Grant> = Vec::new();
        for (rates, kind, chance) in steps {
            room.now += TICK * (1 + u32::from(kind));
            room.measure(OWN);
            asks.extend(room.asks(&rates));
            // Each message is delivered, kept for later, delivered and kept, or dropped.
            let fate = |n: usize| (chance >> (2 * (n % 30))) & 3;
            let mut kept = Vec::new();
            for (n, ask) in asks.drain(..).enumerate() {
                if fate(n) != 3 && fate(n) != 1 {
                    room.grantor.on_request(ask.clone(), room.now);
                }
                if fate(n) == 1 || fate(n) == 2 {
                    kept.push(ask);
                }
            }
            kept.truncate(12);
            asks = kept;
            grants.extend(room.grantor.grant(room.now));
            let mut kept = Vec::new();
            for (n, grant) in grants.drain(..).enumerate() {
                if fate(n + 7) != 3 && fate(n + 7) != 1 {
                    room.receive(grant.clone());
                }
                if fate(n + 7) == 1 || fate(n + 7) == 2 {
                    kept.push(grant);
                }
            }
            kept.truncate(24);
            grants = kept;
            prop_assert!(room.slots() <= ROOM + 1e-6, "{} slots lent", room.slots());
            for even in [0, 1] {
                let answers = room.rate(even) * 20_000.0;
                let part = LINK / 2.0 * (1.0 - REQUEST_FRACTION);
                prop_assert!(answers <= part + 1e-3, "{answers} bytes a second lent");
            }
        }
    }
}

/// With all messages there at once the whole room is lent, and one host that asks ten times as much
/// as the others does not get theirs.
#[test]
fn the_room_is_shared_out() {
    let mut room = Room::open(4);
    let rates = [10.0, 10.0, 100.0, 10.0];
    room.exchange(&rates);
    let got = |room: &Room, n: usize| {
        let host = room.grantees.values().nth(n).unwrap();
        host.rate("r", &need(1.0), room.now)
    };
    assert!((got(&room, 0) - 10.0).abs() < 1e-6);
    assert!((got(&room, 1) - 10.0).abs() < 1e-6);
    // The link to `c` carries 20 answers a second for this grantor: 10 are left.
    assert!((got(&room, 2) - 10.0).abs() < 1e-6, "{}", got(&room, 2));
}

/// The callers of a region elsewhere see: measurements stop, and what was lent stays for a while,
/// then ends. It never grows meanwhile, whatever is asked.
#[test]
fn lost_measurements_hold_still_then_retreat() {
    let mut room = Room::open(2);
    room.exchange(&[5.0, 5.0]);
    room.now += FRESH_AGE + TICK;
    let held = room.slots();
    assert!(held > 0.0);
    while room.now < GRANT_TTL + STALE_AGE - TICK {
        room.exchange(&[15.0, 15.0]);
        assert!((room.slots() - held).abs() < 1e-9, "{}", room.slots());
        room.now += TICK;
    }
    room.now = GRANT_TTL + STALE_AGE;
    for _ in 0..3 {
        room.exchange(&[15.0, 15.0]);
        assert!(room.slots() <= held + 1e-9);
        room.now += GRANT_TTL / 3;
    }
    room.exchange(&[15.0, 15.0]);
    assert_eq!(room.slots(), 0.0);
}

/// A report says that nothing is in use, but the host itself sends work for five slots: its own
/// count wins, and nothing more is lent.
#[test]
fn a_false_report_of_idle_slots_frees_nothing() {
    let mut room = Room::wide(40);
    let false_report = LocalUsage {
        busy: 0.0,
        rate: 250.0,
        ..OWN
    };
    for _ in 0..100 {
        room.now += TICK;
        room.measure(false_report);
        room.exchange(&[100.0; 40]);
        assert!(room.slots() <= ROOM + 1e-6);
    }
    assert!(room.slots() > ROOM - 0.1, "{}", room.slots());
}

/// A host has just started: the other hosts of its region still lend as if it were not there, and
/// the targets it owns now may still be lent out by whoever had them before.
#[test]
fn a_new_host_lends_nothing_for_a_lifetime() {
    let mut grantor = Grantor::open(&"g".into(), &"r".into(), Duration::ZERO);
    grantor.set_limits(0.1, LinkCapacity::from([("c".into(), LINK)]));
    let host = Grantee::open(&"h".into(), &"c".into());
    let mut now = Duration::ZERO;
    while now < GRANT_TTL {
        grantor.set_hosts(1, now);
        grantor.record_usage(&service(), OWN, now);
        grantor.on_request(host.request(&[need(10.0)], 1, now), now);
        assert!(grantor.grant(now).is_empty(), "at {now:?}");
        now += TICK;
    }
    grantor.set_hosts(1, now);
    grantor.record_usage(&service(), OWN, now);
    grantor.on_request(host.request(&[need(10.0)], 1, now), now);
    assert_eq!(grantor.grant(now).len(), 1);
}

/// A host of the region ends. Its part of the links goes to the others only once what it lent has
/// ended.
#[test]
fn a_smaller_region_counts_as_large_for_a_lifetime() {
    let mut room = Room::open(1);
    let most = LINK / 2.0 * (1.0 - REQUEST_FRACTION) / 20_000.0;
    let start = room.now;
    while room.now < start + GRANT_TTL {
        room.grantor.set_hosts(1, room.now);
        room.measure(OWN);
        room.exchange(&[200.0]);
        assert!(room.rate(0) <= most + 1e-6);
        room.now += TICK;
    }
    room.grantor.set_hosts(1, room.now);
    room.measure(OWN);
    room.exchange(&[200.0]);
    assert!((room.rate(0) - 2.0 * most).abs() < 1e-6, "{}", room.rate(0));
}

/// Targets pass from one host to another. What the one lent on them may be used for a lifetime, so
/// the other lends nothing on them before.
#[test]
fn slots_that_are_new_to_a_host_are_lent_after_a_lifetime() {
    let mut room = Room::wide(40);
    let more = LocalUsage { slots: 24.0, ..OWN };
    let start = room.now;
    while room.now < start + GRANT_TTL {
        room.now += TICK;
        room.measure(more);
        if room.now < start + GRANT_TTL {
            room.exchange(&[1.0; 40]);
            room.exchange(&[100.0; 40]);
            assert!(room.slots() <= ROOM + 1e-6, "{}", room.slots());
        }
    }
    room.now += TICK;
    room.measure(more);
    assert!(room.grantor.spare_rate("s", room.now) > 0.0);
}

/// A host uses what it was lent, request by request: not more in any stretch of time than the rate
/// and a short burst.
#[test]
fn requests_keep_to_the_rate() {
    let mut room = Room::open(1);
    let mut taken = Vec::new();
    for tick in 0..100 {
        room.now += TICK;
        room.measure(OWN);
        room.exchange(&[10.0]);
        let now = room.now;
        let host = room.grantees.get_mut("h0").unwrap();
        for _ in 0..50 {
            if host.try_acquire("r", "s", (1_000.0, 20_000.0), now).is_ok() {
                taken.push(tick);
            }
        }
    }
    for start in 0..90 {
        let within = taken.iter().filter(|t| (start..start + 10).contains(*t));
        // Ten in a second, and the four that a bucket may hold.
        assert!(within.count() <= 14);
    }
    assert!(taken.len() >= 95, "{}", taken.len());
    let host = room.grantees.get_mut("h0").unwrap();
    let shortage = host
        .try_acquire("r", "s", (1_000.0, 20_000.0), room.now)
        .unwrap_err();
    assert!(shortage.retry_after <= TICK * 2, "{shortage}");
}

/// The first requests of a lane come before room was asked for, while nearly all slots are free. The
/// ask is on its way: told to wait for a grant's whole life, they would be refused at once; told to
/// wait for a round trip, they find room within the time that a queue may take.
#[test]
fn a_request_that_comes_before_the_first_grant_waits_for_a_round_trip() {
    let name = |text: &str| Arc::<str>::from(text);
    let mut grantee = Grantee::open(&name("h1"), &name("north"));
    let size = (100.0, 100.0);
    let shortage = grantee.try_acquire("south", "web", size, Duration::ZERO);
    let wait = shortage.unwrap_err().retry_after;
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
    assert!(wait >= Duration::from_millis(20), "no spinning: {wait:?}");
}
