//! Immutable snapshot of the replica that requests are served from.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::{
    admit::direct::{HostShare, OwnShare},
    steer::hash,
};
use dunlinrock_node::clock::since_boot;

use super::Replica;
use crate::{
    limits::{LimitOwners, MAX_GRANT_AGE},
    model::{Config, Entry, HostEntry, KeyIndex, QuarantineEntry, Revision, RouteIndex, Target},
};

/// A target that may receive requests.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// Its announcement.
    pub target: Arc<Target>,
    /// Region of its failure domain.
    pub region: Arc<str>,
    /// Until when it is cold.
    pub cold_until: Duration,
}

/// Snapshot of the replica as of one change.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Number of the last change in it.
    pub change: u64,
    /// Store's revision up to which no change is missing.
    pub revision: Revision,
    /// The active configuration.
    pub config: Option<Arc<Config>>,
    /// Its workspaces by their keys.
    pub keys: KeyIndex,
    /// Its routes by host name and prefix.
    pub routes: RouteIndex,
    /// Targets that may receive requests, by service, in the order of their ids.
    pub services: BTreeMap<Arc<str>, Vec<KnownTarget>>,
    /// Failure domains whose targets receive no requests.
    pub evacuated: BTreeSet<Arc<str>>,
    /// Hashes of the listed entry hosts' names.
    pub host_hashes: Vec<u64>,
    /// Hashes of the names of all hosts that share limits: the listed ones, and those that may
    /// still be serving although their entries vanished.
    pub sharer_hashes: Vec<u64>,
    /// This host's place among them.
    pub own_share: OwnShare<Revision>,
    /// Owners of the limit shares.
    pub limit_owners: LimitOwners,
    /// Requests in quarantine by fingerprint, with the store's revision of the entry.
    pub quarantined: BTreeMap<u64, (QuarantineEntry, Revision)>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<Arc<str>, Arc<HostEntry>>,
}

impl View {
    /// Creates the view of a replica. `domains` maps failure domains to regions. `cold_until` maps
    /// formerly evacuated domains to the time until which their targets count as cold. `before` is
    /// the current view.
    pub fn open(
        replica: &Replica,
        domains: &BTreeMap<Arc<str>, Arc<str>>,
        cold_until: &BTreeMap<Arc<str>, Duration>,
        before: &View,
    ) -> View {
        let mut listed = Vec::new();
        let mut view = View {
            change: replica.change_count,
            revision: replica.synced_revision,
            config: replica.config().cloned(),
            keys: replica.keys().clone(),
            routes: replica.routes().clone(),
            ..View::default()
        };
        for stored in replica.items.values() {
            match &stored.item.entry {
                Some(Entry::Evacuated(domain)) => {
                    view.evacuated.insert(Arc::clone(domain));
                }
                Some(Entry::Host(host)) => {
                    view.hosts.insert(Arc::clone(&host.name), Arc::clone(host));
                    listed.push((Arc::clone(host), stored.item.created));
                }
                Some(Entry::Quarantined(entry)) => {
                    let listed = (*entry, stored.item.rev);
                    view.quarantined.insert(entry.fingerprint, listed);
                }
                _ => {}
            }
        }
        let owners = (before.change > 0).then_some(&before.limit_owners);
        view.limit_owners = LimitOwners::next(owners, &listed, domains, since_boot());
        view.host_hashes = view.hosts.keys().map(|name| hash::hash_str(name)).collect();
        for stored in replica.items.values() {
            let Some(Entry::Target(target)) = &stored.item.entry else {
                continue;
            };
            if target.leaving || view.evacuated.contains(&target.domain) {
                continue;
            }
            let evacuated_until = cold_until.get(&target.domain).copied().unwrap_or_default();
            let known = KnownTarget {
                target: Arc::clone(target),
                region: domains.get(&target.domain).cloned().unwrap_or_default(),
                cold_until: evacuated_until.max(stored.received_at + target.cold),
            };
            let service = view.services.entry(Arc::clone(&target.service));
            service.or_default().push(known);
        }
        view
    }

    /// Returns this host's share of the limits that hosts divide. `age` is the age of this view, and
    /// must be read before it.
    pub fn host_share(&self, age: Duration, now: Duration) -> HostShare {
        let is_fresh = age <= MAX_GRANT_AGE;
        self.own_share.share(self.sharer_count(), is_fresh, now)
    }

    /// Returns the number of entry hosts that share limits; this host counts even while it is not
    /// listed.
    pub fn sharer_count(&self) -> usize {
        self.sharer_hashes.len().max(1)
    }
}
