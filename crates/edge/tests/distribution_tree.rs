//! The distribution tree: the sources from which each host receives changes.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_edge::{
    control::{FAN_OUT, tree_position},
    model::HostEntry,
};
use support::{host_entry, settings};

type Hosts = BTreeMap<Arc<str>, Arc<HostEntry>>;

fn fleet(count: usize) -> Hosts {
    let host = |n: usize| {
        let is_south = n.is_multiple_of(3);
        let domain = if is_south { "south-1" } else { "north-1" };
        let distance = if is_south { 0 } else { 4 };
        let entry = host_entry(&format!("h{n:04}"), distance);
        HostEntry {
            domain: domain.into(),
            ..entry
        }
    };
    let hosts = (0..count).map(host);
    hosts
        .map(|host| (Arc::clone(&host.name), Arc::new(host)))
        .collect()
}

/// Returns the first source of a host that is not a reader.
fn source(name: &str, hosts: &Hosts) -> Option<Arc<str>> {
    let tree_position = tree_position(name, hosts, &settings().reloadable.domains);
    (!tree_position.is_reader).then(|| Arc::clone(&tree_position.sources[0].name))
}

/// The two hosts nearest to the store read it. Every other host receives changes from them in few
/// hops, and no host serves more than a few followers.
#[test]
fn changes_reach_every_host_of_a_large_fleet_in_few_hops() {
    for count in [1, 2, 3, 9, 64, 300, 2400] {
        let hosts = fleet(count);
        let sources: BTreeMap<_, _> = hosts
            .keys()
            .map(|name| (name, source(name, &hosts)))
            .collect();
        assert_eq!(
            sources.values().filter(|s| s.is_none()).count(),
            count.min(2)
        );
        let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
        for (name, source) in &sources {
            if let Some(source) = source {
                *followers.entry(source).or_default() += 1;
            }
            let (mut current, mut hops) = (*name, 0);
            while let Some(next) = &sources[current] {
                (current, hops) = (next, hops + 1);
            }
            assert!(hops <= 5, "{name} of {count}: {hops} hops");
        }
        let max_followers = followers.values().max().copied().unwrap_or_default();
        assert!(
            max_followers <= FAN_OUT,
            "{count} hosts: one has {max_followers} followers"
        );
    }
}

/// A host dies. Its followers have a second source that does not depend on it.
#[test]
fn the_second_source_of_a_host_does_not_follow_the_first() {
    let hosts = fleet(300);
    for name in hosts.keys() {
        let tree_position = tree_position(name, &hosts, &settings().reloadable.domains);
        if tree_position.is_reader {
            continue;
        }
        let mut current = Some(Arc::clone(&tree_position.sources[1].name));
        while let Some(next) = current {
            assert_ne!(next, tree_position.sources[0].name, "{name}");
            current = source(&next, &hosts);
        }
    }
}
