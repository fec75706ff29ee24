//! Cache of lookup responses.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::api::Hosts;
use tokio::time::Instant;

/// Lookup responses with their expiry, and the hosts that they named.
pub(super) struct Cache {
    entries: BTreeMap<Arc<str>, (Instant, Arc<Hosts>)>,
    /// Configured hosts. They are never removed, since all discovered hosts may disappear.
    seeds: Vec<SocketAddr>,
    /// Hosts named by lookups that have not failed since.
    discovered: BTreeSet<SocketAddr>,
}

impl Cache {
    pub(super) fn open(seeds: &[SocketAddr]) -> Self {
        Self {
            entries: BTreeMap::new(),
            seeds: seeds.to_vec(),
            discovered: BTreeSet::new(),
        }
    }

    /// Returns the hosts of a service unless they have expired.
    pub(super) fn get(&self, service: &str, now: Instant) -> Option<Arc<Hosts>> {
        let (expires_at, hosts) = self.entries.get(service)?;
        (now < *expires_at).then(|| Arc::clone(hosts))
    }

    /// Stores a lookup response until its TTL expires.
    pub(super) fn insert(&mut self, hosts: Hosts, now: Instant) -> Arc<Hosts> {
        let expires_at = now + Duration::from_millis(hosts.ttl_ms);
        self.discovered.extend(
            hosts
                .hosts
                .iter()
                .filter_map(|h| h.address.parse::<SocketAddr>().ok()),
        );
        let service = Arc::clone(&hosts.service);
        let hosts = Arc::new(hosts);
        self.entries
            .insert(service, (expires_at, Arc::clone(&hosts)));
        hosts
    }

    pub(super) fn remove(&mut self, service: &str) {
        self.entries.remove(service);
    }

    /// Removes a host until a lookup names it again.
    pub(super) fn remove_host(&mut self, at: SocketAddr) {
        self.discovered.remove(&at);
    }

    /// Returns the hosts to send lookups to: the discovered ones, or the seeds if there are none.
    pub(super) fn candidates(&self) -> Vec<SocketAddr> {
        match self.discovered.is_empty() {
            true => self.seeds.clone(),
            false => self.discovered.iter().copied().collect(),
        }
    }
}
