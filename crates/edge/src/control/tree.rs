//! Distribution tree: which host each host receives changes from.
//!
//! The heartbeats of all targets pass through every host that watches the store; in a fleet of 600
//! targets that is some 120 KB a second for each, most of it between regions. So two hosts, the
//! *readers*, read the store and pass on only effective changes. They do not send them to every
//! host: in each region two *heads* ask the readers, and the other hosts form a tree below the
//! heads, so that a change crosses to a region twice, whatever its size, and no host serves more
//! than a few.

use std::{collections::BTreeMap, sync::Arc};

use crate::model::HostEntry;

/// Number of hosts that read the store, and of heads of a region. With a single one, its failure
/// would send all its followers to the store at once.
pub const STORE_READERS: usize = 2;

/// Maximum number of followers of one host, apart from those whose own source has failed. A region
/// of a hundred hosts is then two levels below its heads.
pub const FAN_OUT: usize = 8;

/// Number of hosts, besides the other reader, that a reader asks while the store does not serve it.
const SPARE_SOURCES: usize = 2;

/// Position of a host in the distribution tree.
#[derive(Clone, Debug, PartialEq)]
pub struct TreePosition {
    /// Whether it reads the store.
    pub is_reader: bool,
    /// Hosts that it asks, first choice first.
    pub sources: Vec<Arc<HostEntry>>,
}

/// Computes the position of a host among the known ones. All hosts with the same list agree, and no
/// two of them ask each other: a host asks readers, or hosts of its region that precede it.
pub fn tree_position(
    me: &str,
    hosts: &BTreeMap<Arc<str>, Arc<HostEntry>>,
    domains: &BTreeMap<Arc<str>, Arc<str>>,
) -> TreePosition {
    let mut readers = nearest(hosts);
    let non_readers = readers.split_off(STORE_READERS.min(readers.len()));
    let is_reader = readers.iter().any(|reader| &*reader.name == me);
    let others = || readers.iter().filter(|reader| &*reader.name != me).cloned();
    let region = hosts.get(me).and_then(|host| domains.get(&host.domain));
    let Some(region) = region.filter(|_| !is_reader) else {
        // A reader that the store does not serve follows the other reader, or hosts that read the
        // store themselves because both readers have failed.
        let spare = non_readers.into_iter().take(SPARE_SOURCES);
        return TreePosition {
            is_reader,
            sources: others().chain(spare).collect(),
        };
    };
    let is_near = |host: &&Arc<HostEntry>| domains.get(&host.domain) == Some(region);
    let is_follower = |host: &&Arc<HostEntry>| readers.iter().all(|r| r.name != host.name);
    let followers: Vec<_> = hosts.values().filter(is_near).filter(is_follower).collect();
    let position = followers
        .iter()
        .position(|host| &*host.name == me)
        .unwrap_or_default();
    let mut sources: Vec<_> = parents(position)
        .map(|n| Arc::clone(followers[n]))
        .collect();
    sources.extend(others());
    TreePosition { is_reader, sources }
}

/// Returns the positions of the parents of the host at `position`, all before it; a head has none.
fn parents(position: usize) -> impl Iterator<Item = usize> {
    let below = position.checked_sub(STORE_READERS);
    let first = below.map(|below| below / FAN_OUT);
    // Neighbours, so that the second choice does not descend from the first.
    first
        .into_iter()
        .flat_map(move |first| [first, first ^ 1])
        .filter(move |n| *n < position)
}

/// Returns all hosts, the nearest to the store first. The first ones are the readers, so that what
/// they filter out does not travel between regions.
fn nearest(hosts: &BTreeMap<Arc<str>, Arc<HostEntry>>) -> Vec<Arc<HostEntry>> {
    let mut all: Vec<_> = hosts.values().cloned().collect();
    all.sort_by(|a, b| {
        a.distance
            .cmp(&b.distance)
            .then_with(|| a.name.cmp(&b.name))
    });
    all
}
