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
    /// Those of them whose digests it passes on; the second host that hears them keeps quiet.
    pub(super) passed: BTreeSet<Arc<str>>,
}

/// Works out the part of `me`, given the live hosts by domain and those of its own that are gone.
pub(super) fn topology(
    me: &Arc<str>,
    mine: &Arc<str>,
    domains: &BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    gone: &BTreeSet<Arc<str>>,
) -> Topology {
    let mut inside = domains.get(mine).cloned().unwrap_or_default();
    inside.insert(me.clone());
    // Those that are gone are watched on: word of them must be said again while they are listed.
    let watched = inside
        .union(gone)
        .filter(|name| *name != me && watchers(name, &inside).contains(me))
        .cloned()
        .collect();
    let ranked: Vec<(&Arc<str>, Vec<&Arc<str>>)> = domains
        .iter()
        .filter(|(_, hosts)| !hosts.is_empty())
        // Not the rank of the relays: they have their own part to send.
        .map(|(domain, hosts)| (domain, rendezvous::rank(&format!("{domain} speaks"), hosts)))
        .collect();
    let mut partners = Vec::new();
    let mut expected = BTreeSet::new();
    let mut passed = BTreeSet::new();
    let own = ranked.iter().position(|(domain, _)| *domain == mine);
    for (index, (domain, _)) in ranked.iter().enumerate() {
        let Some(own) = own.filter(|own| *own != index) else {
            continue;
        };
        for (speaker, partner) in pairs(&ranked, own, index) {
            // A domain of one host is spoken to once.
            if speaker == me && !partners.contains(partner) {
                partners.push(partner.clone());
            }
        }
        for (turn, (_, partner)) in pairs(&ranked, index, own).enumerate() {
            if partner == me {
                expected.insert((*domain).clone());
            }
            if partner == me && turn == 0 {
                passed.insert((*domain).clone());
            }
        }
    }
    Topology {
        near: inside.iter().filter(|name| *name != me).cloned().collect(),
        watchers: watchers(me, &inside),
        watched,
        partners,
        expected,
        passed,
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
///
/// The place among the domains chooses the place among the hosts, so that speaking is shared out
/// evenly; a free choice by rendezvous gave some hosts three times the bytes of others.
fn pairs<'a>(
    ranked: &'a [(&Arc<str>, Vec<&'a Arc<str>>)],
    from: usize,
    to: usize,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)> {
    let (speakers, partners) = (&ranked[from].1, &ranked[to].1);
    (0..SPEAKERS).map(move |turn| {
        let speaker = speakers[(to + turn) % speakers.len()];
        (speaker, partners[(from + turn) % partners.len()])
    })
}
