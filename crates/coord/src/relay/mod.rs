//! Which hosts watch the store, and the tree that distributes a change from them.
//!
//! The store takes two thousand reads a second and grows more slowly than the fleet, so not every
//! host can watch it. In each failure domain the two hosts ranked first by [`rendezvous`] hashing
//! watch it; all others receive a change from them down a tree of bounded fan-out. There is no
//! election: while hosts disagree on the members, a third host may watch too, or a tree may have a
//! gap, which the follower's own polling closes. Neither does harm.
//!
//! ```
//! use std::{collections::BTreeMap, sync::Arc};
//!
//! use dunlinrock_coord::relay;
//!
//! let members: BTreeMap<Arc<str>, Arc<str>> =
//!     (0..49).map(|n| (format!("h{n}").into(), "d1".into())).collect();
//! let roles: Vec<_> = members.keys().map(|me| relay::role(me, &members)).collect();
//! assert_eq!(roles.iter().filter(|role| role.watches_store).count(), relay::RELAYS);
//! assert!(roles.iter().all(|role| role.children.len() <= relay::FAN_OUT));
//! ```

use std::{collections::BTreeMap, sync::Arc};

use crate::{follow::Source, rendezvous};

/// Number of hosts of a failure domain that watch the store. With one, a domain would receive no
/// change until its failure is detected; a third would add 49 watches at full size and shorten
/// nothing.
pub const RELAYS: usize = 2;
/// Number of hosts to which one host relays a change. With 49 hosts in a domain a change of 4 KB
/// takes three hops below the relays and costs a host 16 KB, or 0.9 KB/s at 4,500 changes a day.
pub const FAN_OUT: usize = 4;
/// Number of relays of other domains that a host falls back on.
pub const FALLBACKS: usize = 2;

/// A host's role in the distribution of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRole {
    /// Whether it watches the store.
    pub watches_store: bool,
    /// Sources that it asks for a root, preferred first.
    pub upstreams: Vec<Source>,
    /// Hosts to which it relays a change.
    pub children: Vec<Arc<str>>,
}

/// Returns the role of host `me`; `members` maps each host to its failure domain.
pub fn role(me: &Arc<str>, members: &BTreeMap<Arc<str>, Arc<str>>) -> RelayRole {
    let domain = members.get(me).cloned().unwrap_or_else(|| "".into());
    let ranked = rank(&domain, members);
    let rank_index = ranked.iter().position(|name| name == me);
    let watches_store = rank_index.is_none_or(|rank_index| rank_index < RELAYS);
    let mut upstreams = Vec::new();
    if watches_store {
        upstreams.push(Source::Store);
    }
    let parent = rank_index
        .and_then(|rank_index| rank_index.checked_sub(RELAYS))
        .map(|below| below / FAN_OUT);
    let local = parent.into_iter().chain(0..RELAYS.min(ranked.len()));
    let names = local.map(|index| ranked[index].clone());
    for name in names.chain(fallbacks(me, &domain, members)) {
        let source = Source::Peer(name.clone());
        if name != *me && !upstreams.contains(&source) {
            upstreams.push(source);
        }
    }
    let children = match rank_index {
        Some(rank_index) => {
            let first = RELAYS + rank_index * FAN_OUT;
            ranked.into_iter().skip(first).take(FAN_OUT).collect()
        }
        None => Vec::new(),
    };
    RelayRole {
        watches_store,
        upstreams,
        children,
    }
}

/// Returns the hosts of a domain in the order of the tree, relays first.
pub fn rank(domain: &str, members: &BTreeMap<Arc<str>, Arc<str>>) -> Vec<Arc<str>> {
    let local = members.iter().filter(|(_, at)| ***at == *domain);
    rendezvous::rank(domain, local.map(|(name, _)| name.clone()))
}

/// Returns the number of hops below the relays until all of `hosts` in a domain have a change.
pub fn hops(hosts: usize) -> usize {
    let mut rank_index = hosts.saturating_sub(1);
    let mut hops = 0;
    while rank_index >= RELAYS {
        rank_index = (rank_index - RELAYS) / FAN_OUT;
        hops += 1;
    }
    hops
}

/// Returns relays of other domains, spread over the hosts.
fn fallbacks(me: &str, domain: &str, members: &BTreeMap<Arc<str>, Arc<str>>) -> Vec<Arc<str>> {
    let others: std::collections::BTreeSet<_> = members
        .values()
        .filter(|at| ***at != *domain)
        .cloned()
        .collect();
    rendezvous::choose(me, others, FALLBACKS)
        .iter()
        .filter_map(|domain| rank(domain, members).into_iter().next())
        .collect()
}
