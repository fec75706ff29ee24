//! Who sends what to whom, worked out alike by all hosts from the members they know.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::rendezvous;

/// Hosts that watch one host by its heartbeats. All of a domain's 48 others would cost 6 KB/s sent
/// and 6 received at four heartbeats a second; two must agree that a host is gone, and some may be down themselves.
pub const WATCHERS: usize = 4;
/// Hosts of a domain that speak to another domain; one may be down.
pub const GATEWAYS: usize = 2;

/// A host's part.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Topology {
    /// The other hosts of its domain.
    pub(super) local_peers: Vec<Arc<str>>,
    /// Hosts that it sends heartbeats to.
    pub(super) watchers: Vec<Arc<str>>,
    /// Hosts whose heartbeats it waits for.
    pub(super) watched: BTreeSet<Arc<str>>,
    /// Hosts of other domains that it speaks to.
    pub(super) remote_peers: Vec<Arc<str>>,
    /// Domains whose gateways speak to it.
    pub(super) expected: BTreeSet<Arc<str>>,
    /// Those of them whose digests it passes on; the second host that hears them keeps quiet.
    pub(super) relayed: BTreeSet<Arc<str>>,
}

/// Works out the part of `me`, given the live hosts by domain and those of its own that are gone.
pub(super) fn topology(
    me: &Arc<str>,
    mine: &Arc<str>,
    domains: &BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    gone: &BTreeSet<Arc<str>>,
) -> Topology {
    let mut local_hosts = domains.get(mine).cloned().unwrap_or_default();
    local_hosts.insert(me.clone());
    // Those that are gone are watched on: word of them must be said again while they are listed.
    let watched = local_hosts
        .union(gone)
        .filter(|name| *name != me && watchers(name, &local_hosts).contains(me))
        .cloned()
        .collect();
    let ranked: Vec<(&Arc<str>, Vec<&Arc<str>>)> = domains
        .iter()
        .filter(|(_, hosts)| !hosts.is_empty())
        // Not the rank of the relays: they have their own part to send.
        .map(|(domain, hosts)| (domain, rendezvous::rank(&format!("{domain} speaks"), hosts)))
        .collect();
    let mut remote_peers = Vec::new();
    let mut expected = BTreeSet::new();
    let mut relayed = BTreeSet::new();
    let own = ranked.iter().position(|(domain, _)| *domain == mine);
    for (index, (domain, _)) in ranked.iter().enumerate() {
        let Some(own) = own.filter(|own| *own != index) else {
            continue;
        };
        for (gateway, peer) in gateway_pairs(&ranked, own, index) {
            // A domain of one host is spoken to once.
            if gateway == me && !remote_peers.contains(peer) {
                remote_peers.push(peer.clone());
            }
        }
        for (turn, (_, peer)) in gateway_pairs(&ranked, index, own).enumerate() {
            if peer == me {
                expected.insert((*domain).clone());
            }
            if peer == me && turn == 0 {
                relayed.insert((*domain).clone());
            }
        }
    }
    Topology {
        local_peers: local_hosts
            .iter()
            .filter(|name| *name != me)
            .cloned()
            .collect(),
        watchers: watchers(me, &local_hosts),
        watched,
        remote_peers,
        expected,
        relayed,
    }
}

fn watchers(name: &Arc<str>, local_hosts: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
    let others = local_hosts.iter().filter(|other| *other != name);
    rendezvous::choose(name, others, WATCHERS)
        .into_iter()
        .cloned()
        .collect()
}

/// The hosts of one domain that speak to another, each with the host it speaks to.
///
/// The place among the domains chooses the place among the hosts, so that speaking is shared out
/// evenly; a free choice by rendezvous gave some hosts three times the bytes of others.
fn gateway_pairs<'a>(
    ranked: &'a [(&Arc<str>, Vec<&'a Arc<str>>)],
    from: usize,
    to: usize,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)> {
    let (gateways, remote_peers) = (&ranked[from].1, &ranked[to].1);
    (0..GATEWAYS).map(move |turn| {
        let gateway = gateways[(to + turn) % gateways.len()];
        (gateway, remote_peers[(from + turn) % remote_peers.len()])
    })
}
