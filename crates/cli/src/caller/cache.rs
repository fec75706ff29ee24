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
    answers: BTreeMap<Arc<str>, (Instant, Arc<Hosts>)>,
    /// Where a caller starts; kept for good, since all others may be gone one day.
    starts: Vec<SocketAddr>,
    /// Hosts named by answers that did not fail since.
    named: BTreeSet<SocketAddr>,
}

impl Cache {
    pub(super) fn open(starts: &[SocketAddr]) -> Self {
        Self {
            answers: BTreeMap::new(),
            starts: starts.to_vec(),
            named: BTreeSet::new(),
        }
    }

    /// Finds an answer that may still be used.
    pub(super) fn find(&self, service: &str, now: Instant) -> Option<Arc<Hosts>> {
        let (until, hosts) = self.answers.get(service)?;
        (now < *until).then(|| Arc::clone(hosts))
    }

    /// Keeps an answer.
    pub(super) fn keep(&mut self, hosts: Hosts, now: Instant) -> Arc<Hosts> {
        let until = now + Duration::from_millis(hosts.ttl_ms);
        self.named.extend(
            hosts
                .hosts
                .iter()
                .filter_map(|h| h.address.parse::<SocketAddr>().ok()),
        );
        let service = Arc::clone(&hosts.service);
        let hosts = Arc::new(hosts);
        self.answers.insert(service, (until, Arc::clone(&hosts)));
        hosts
    }

    pub(super) fn forget(&mut self, service: &str) {
        self.answers.remove(service);
    }

    /// Leaves a host out until an answer names it again.
    pub(super) fn doubt(&mut self, at: SocketAddr) {
        self.named.remove(&at);
    }

    /// Gives the hosts to ask: those named, or the first ones where none is left.
    pub(super) fn known(&self) -> Vec<SocketAddr> {
        match self.named.is_empty() {
            true => self.starts.clone(),
            false => self.named.iter().copied().collect(),
        }
    }
}
