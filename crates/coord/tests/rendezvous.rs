//! Rendezvous hashing and the relay roles.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_coord::{
    follow::Source,
    relay::{self, FAN_OUT, RELAYS},
    rendezvous::{choose, choose_weighted},
};

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("host-{n:04}")).collect()
}

#[test]
fn a_member_that_leaves_moves_only_its_own_keys() {
    let all = hosts(50);
    let remaining: Vec<_> = all.iter().filter(|name| *name != "host-0017").collect();
    let mut moved = 0;
    for key in 0..10_000 {
        let key = format!("key-{key}");
        let before = choose(&key, all.iter(), 1)[0];
        let after = choose(&key, remaining.iter().copied(), 1)[0];
        if before != after {
            assert_eq!(before, "host-0017");
            moved += 1;
        }
    }
    println!("moved {moved} of 10000");
    assert!((100..300).contains(&moved), "{moved}");
}

#[test]
fn choices_follow_the_weights() {
    let members = [("a", 1.0), ("b", 3.0), ("c", 0.0)];
    let mut count = BTreeMap::new();
    for key in 0..10_000 {
        let chosen = choose_weighted(&format!("key-{key}"), members, 1)[0];
        *count.entry(chosen).or_insert(0) += 1;
    }
    println!("{count:?}");
    assert!((7300..7700).contains(&count["b"]), "{count:?}");
    assert!(!count.contains_key("c"));
}

#[test]
fn a_count_above_the_number_of_members_returns_all() {
    assert_eq!(choose("k", ["a", "b"], 5).len(), 2);
    assert!(choose("k", Vec::<String>::new(), 5).is_empty());
}

/// Members of `domains` domains with `hosts` hosts each.
fn members(domains: usize, hosts: usize) -> BTreeMap<Arc<str>, Arc<str>> {
    let pairs = (0..domains).flat_map(|d| (0..hosts).map(move |h| (d, h)));
    pairs
        .map(|(d, h)| {
            (
                format!("host-{d:02}-{h:02}").into(),
                format!("domain-{d:02}").into(),
            )
        })
        .collect()
}

// A change must reach every host of a domain from the relays: no host may be missing from the tree,
// and none may send to more hosts than the fan-out.
#[test]
fn every_host_of_a_domain_is_reached_in_three_hops_at_full_size() {
    let members = members(49, 49);
    for domain in ["domain-00", "domain-48"] {
        let inside: BTreeSet<_> = members
            .iter()
            .filter(|(_, at)| &***at == domain)
            .map(|(name, _)| name.clone())
            .collect();
        let roles: BTreeMap<_, _> = inside
            .iter()
            .map(|name| (name.clone(), relay::role(name, &members)))
            .collect();
        let watching = roles.iter().filter(|(_, role)| role.watches_store);
        let mut reached: BTreeSet<_> = watching.map(|(name, _)| name.clone()).collect();
        assert_eq!(reached.len(), RELAYS);
        for _ in 0..relay::hops(49) {
            let next: Vec<_> = reached
                .iter()
                .flat_map(|name| roles[name].children.clone())
                .collect();
            reached.extend(next);
        }
        assert_eq!(reached, inside);
        assert!(roles.values().all(|role| role.children.len() <= FAN_OUT));
        assert!(roles.values().all(|role| role.upstreams.len() >= 4));
    }
    assert_eq!(relay::hops(49), 3);
}

#[test]
fn only_relays_ask_the_store() {
    let members = members(6, 8);
    for name in members.keys() {
        let role = relay::role(name, &members);
        assert_eq!(role.watches_store, role.upstreams.contains(&Source::Store));
        assert!(!role.upstreams.contains(&Source::Peer(name.clone())));
    }
}
