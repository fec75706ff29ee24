//! A rumor at full size: 49 domains of 49 hosts, hop by hop.

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::fleet::{Fleet, name};
use dunlinrock_coord::{
    member::{Action, Membership, Timings},
    wire,
};
use dunlinrock_schema::{
    coord::{Message, Quarantine, QuarantineKind},
    store::{Listed, Listing},
};

const DOMAINS: usize = 49;
const HOSTS: usize = 49;
/// Longest one-way delay between regions at Tidepool.
const DELAY: Duration = Duration::from_millis(35);

fn listing() -> Listing {
    let pairs = (0..DOMAINS).flat_map(|domain| (0..HOSTS).map(move |host| (domain, host)));
    let hosts = pairs.map(|(domain, host)| {
        let me = Fleet::me(domain, host, 1);
        Listed {
            name: me.name,
            incarnation: 1,
            region: me.region,
            domain: me.domain,
            callers: me.callers,
            peers: me.peers,
            leaving: false,
        }
    });
    Listing {
        hosts: hosts.collect(),
    }
}

fn open(domain: usize, host: usize, listing: &Listing) -> Membership {
    let me = Fleet::me(domain, host, 1);
    let mut member = Membership::open(me, Timings::default(), Duration::ZERO);
    member.handle_listing(Duration::ZERO, listing);
    member
}

fn sends(actions: Vec<Action>) -> impl Iterator<Item = (Arc<str>, Message)> {
    actions.into_iter().filter_map(|action| match action {
        Action::Send { to, message } => Some((to, message)),
        _ => None,
    })
}

// With 2,401 hosts, every host must refuse a request that kills targets within three seconds of the
// second death. Each host's own membership decides to which hosts it relays the rumor; the test
// counts the hops and the bytes.
#[test]
fn a_rumor_reaches_2401_hosts_in_three_hops() {
    let listing = listing();
    let positions: BTreeMap<Arc<str>, (usize, usize)> = (0..DOMAINS)
        .flat_map(|domain| (0..HOSTS).map(move |host| (name(domain, host), (domain, host))))
        .collect();
    let quarantine = Quarantine {
        kind: QuarantineKind::Request,
        id: "0123456789abcdef".into(),
        ttl_ms: 60_000,
    };
    let mut now = Duration::from_millis(10);
    let mut reached = BTreeMap::from([(name(7, 7), 0)]);
    let mut wave: Vec<_> = sends(open(7, 7, &listing).broadcast(now, quarantine)).collect();
    let (mut messages, mut bytes) = (0, 0);
    for hop in 1.. {
        now += DELAY;
        let mut next = Vec::new();
        for (to, message) in std::mem::take(&mut wave) {
            messages += 1;
            bytes += wire::encode(&message).len();
            if reached.contains_key(&to) {
                continue;
            }
            let (domain, host) = positions[&to];
            let mut member = open(domain, host, &listing);
            next.extend(sends(member.handle_message(now, &message)));
            assert_eq!(member.quarantines(now).len(), 1);
            reached.insert(to, hop);
        }
        wave = next;
        if wave.is_empty() {
            break;
        }
    }
    let hops = reached.values().max().unwrap();
    println!(
        "{} hosts in {hops} hops, {messages} messages, {bytes} bytes",
        reached.len()
    );
    assert_eq!(reached.len(), DOMAINS * HOSTS);
    assert!(*hops <= 3, "{hops}");
    assert!(DELAY * *hops < Duration::from_secs(3));
    assert!(messages < 4 * DOMAINS * HOSTS, "{messages}");
}
