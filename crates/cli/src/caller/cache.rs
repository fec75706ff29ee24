//! What a caller remembers of its look-ups.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::api::Hosts;
use tokio::time::Instant;

/// Answers to look-ups, each for as long as it may be used.
pub(super) struct Cache {
    entries: BTreeMap<Arc<str>, (Instant, Arc<Hosts>)>,
    /// Where a caller starts; kept for good, since all others may be gone one day.
    seeds: Vec<SocketAddr>,
    /// Hosts named by answers that did not fail since.
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

    /// Finds an answer that may still be used.
    pub(super) fn get(&self, service: &str, now: Instant) -> Option<Arc<Hosts>> {
        let (expires_at, hosts) = self.entries.get(service)?;
        (now < *expires_at).then(|| Arc::clone(hosts))
    }

    /// Keeps an answer.
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

    /// Leaves a host out until an answer names it again.
    pub(super) fn remove_host(&mut self, at: SocketAddr) {
        self.discovered.remove(&at);
    }

    /// Gives the hosts to ask: those named, or the first ones where none is left.
    pub(super) fn candidates(&self) -> Vec<SocketAddr> {
        match self.discovered.is_empty() {
            true => self.seeds.clone(),
            false => self.discovered.iter().copied().collect(),
        }
    }
}
