//! Who sends what to whom, worked out alike by all hosts from the members they know.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::rendezvous;

/// Hosts that watch one host by its heartbeats. All of a domain's 48 others would cost 14 KB/s at
/// four heartbeats a second; two must agree that a host is gone, and some may be down themselves.
pub const WATCHERS: usize = 4;
/// Hosts of a domain that speak to another domain; one may be down.
pub const SPEAKERS: usize = 2;

/// A host's part.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Topology {
    /// The other hosts of its domain.
    pub(super) near: Vec<Arc<str>>,
    /// Hosts that it sends heartbeats to.
    pub(super) watchers: Vec<Arc<str>>,
    /// Hosts whose heartbeats it waits for.
    pub(super) watched: BTreeSet<Arc<str>>,
    /// Hosts of other domains that it speaks to.
    pub(super) partners: Vec<Arc<str>>,
    /// Domains whose speakers speak to it.
    pub(super) expected: BTreeSet<Arc<str>>,
}

/// Works out the part of `me`, given the live hosts by domain.
pub(super) fn topology(
    me: &Arc<str>,
    mine: &Arc<str>,
    domains: &BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
) -> Topology {
    let mut inside = domains.get(mine).cloned().unwrap_or_default();
    inside.insert(me.clone());
    let watched = inside
        .iter()
        .filter(|name| *name != me && watchers(name, &inside).contains(me))
        .cloned()
        .collect();
    let ranked: BTreeMap<&Arc<str>, Vec<&Arc<str>>> = domains
        .iter()
        .filter(|(domain, hosts)| *domain != mine && !hosts.is_empty())
        .map(|(domain, hosts)| (domain, rendezvous::rank(domain, hosts)))
        .collect();
    let own = rendezvous::rank(mine, &inside);
    let mut partners = Vec::new();
    let mut expected = BTreeSet::new();
    for (domain, hosts) in &ranked {
        for (speaker, partner) in pairs(mine, &own, domain, hosts) {
            if speaker == *me {
                partners.push(partner.clone());
            }
        }
        let heard = pairs(domain, hosts, mine, &own);
        if heard.iter().any(|(_, partner)| partner == me) {
            expected.insert((*domain).clone());
        }
    }
    Topology {
        near: inside.iter().filter(|name| *name != me).cloned().collect(),
        watchers: watchers(me, &inside),
        watched,
        partners,
        expected,
    }
}

fn watchers(name: &Arc<str>, inside: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
    let others = inside.iter().filter(|other| *other != name);
    rendezvous::choose(name, others, WATCHERS)
        .into_iter()
        .cloned()
        .collect()
}

/// The hosts of one domain that speak to another, each with the host it speaks to.
fn pairs(
    from: &str,
    speakers: &[&Arc<str>],
    to: &str,
    hosts: &[&Arc<str>],
) -> Vec<(Arc<str>, Arc<str>)> {
    let chosen = rendezvous::choose(to, speakers.iter().copied(), SPEAKERS);
    let partners = rendezvous::choose(from, hosts.iter().copied(), SPEAKERS);
    chosen
        .into_iter()
        .enumerate()
        .map(|(index, speaker)| (speaker.clone(), partners[index % partners.len()].clone()))
        .collect()
}
