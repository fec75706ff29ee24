//! Chooses which hosts exchange which messages. Hosts with the same list of members compute the
//! same result.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::rendezvous;

/// Number of hosts that watch the heartbeats of one host. With all 48 others of a domain a host
/// would send 6 KB/s and receive 6 KB/s at four heartbeats a second; two must agree that a host is
/// gone, and some may be down themselves.
pub const WATCHERS: usize = 4;
/// Number of hosts of a domain that send digests to another domain; one may be down.
pub const GATEWAYS: usize = 2;

/// The peers of one host, by their role.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Topology {
    /// The other hosts of its domain.
    pub(super) local_peers: Vec<Arc<str>>,
    /// Hosts to which it sends heartbeats.
    pub(super) watchers: Vec<Arc<str>>,
    /// Hosts whose heartbeats it expects.
    pub(super) watched: BTreeSet<Arc<str>>,
    /// Hosts of other domains to which it sends digests and rumors.
    pub(super) remote_peers: Vec<Arc<str>>,
    /// Domains whose gateways send to it.
    pub(super) expected: BTreeSet<Arc<str>>,
    /// Domains among them whose digests it relays; the second host that receives them does not.
    pub(super) relayed: BTreeSet<Arc<str>>,
}

/// Computes the topology of `me` from the live hosts by domain and the hosts of its own domain that
/// are gone.
pub(super) fn topology(
    me: &Arc<str>,
    own_domain: &Arc<str>,
    domains: &BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    gone: &BTreeSet<Arc<str>>,
) -> Topology {
    let mut local_hosts = domains.get(own_domain).cloned().unwrap_or_default();
    local_hosts.insert(me.clone());
    // Hosts that are gone are still watched: that they are gone must be renewed while they are
    // listed.
    let watched = local_hosts
        .union(gone)
        .filter(|name| *name != me && watchers(name, &local_hosts).contains(me))
        .cloned()
        .collect();
    let ranked: Vec<(&Arc<str>, Vec<&Arc<str>>)> = domains
        .iter()
        .filter(|(_, hosts)| !hosts.is_empty())
        // Ranked by another key than the relays, which have their own traffic to send.
        .map(|(domain, hosts)| (domain, rendezvous::rank(&format!("{domain} speaks"), hosts)))
        .collect();
    let mut remote_peers = Vec::new();
    let mut expected = BTreeSet::new();
    let mut relayed = BTreeSet::new();
    let own = ranked.iter().position(|(domain, _)| *domain == own_domain);
    for (index, (domain, _)) in ranked.iter().enumerate() {
        let Some(own) = own.filter(|own| *own != index) else {
            continue;
        };
        for (gateway, peer) in gateway_pairs(&ranked, own, index) {
            // A domain with a single host is sent to once.
            if gateway == me && !remote_peers.contains(peer) {
                remote_peers.push(peer.clone());
            }
        }
        for (offset, (_, peer)) in gateway_pairs(&ranked, index, own).enumerate() {
            if peer == me {
                expected.insert((*domain).clone());
            }
            if peer == me && offset == 0 {
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

/// Returns the gateways of one domain to another, each with the host it sends to.
///
/// The index of the domain selects the index of the host, which balances the load; a free choice by
/// rendezvous hashing gave some hosts three times the bytes of others.
fn gateway_pairs<'a>(
    ranked: &'a [(&Arc<str>, Vec<&'a Arc<str>>)],
    from: usize,
    to: usize,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)> {
    let (gateways, remote_peers) = (&ranked[from].1, &ranked[to].1);
    (0..GATEWAYS).map(move |offset| {
        let gateway = gateways[(to + offset) % gateways.len()];
        (gateway, remote_peers[(from + offset) % remote_peers.len()])
    })
}
