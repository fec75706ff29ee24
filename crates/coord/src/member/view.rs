//! What a host knows of the others.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Digest, HostState, Quarantine, Report};

use super::{Host, LocalMember, Membership};

impl Membership {
    /// The host itself.
    pub fn me(&self) -> &LocalMember {
        &self.me
    }

    /// The host's own state.
    pub fn state(&self) -> HostState {
        self.state
    }

    /// Whether this host may take work up: another host has answered since its start or its last
    /// pause (or there is none), and no later incarnation of it is known.
    pub fn caught_up(&self) -> bool {
        self.catching_up_since.is_none() && self.superseded.is_none()
    }

    /// As [`Membership::caught_up`], for one moment: also `false` right after a pause that no tick
    /// has noticed yet. Ask it before an act that must not come from a host that was replaced.
    pub fn caught_up_at(&self, now: Duration) -> bool {
        self.caught_up() && !self.paused(now)
    }

    pub(super) fn paused(&self, now: Duration) -> bool {
        now > self.last_tick + self.timings.suspect_after
    }

    /// The later incarnation of this host, if there is one.
    pub fn superseded(&self) -> Option<u64> {
        self.superseded
    }

    /// All known hosts by name, this one included.
    pub fn hosts(&self) -> &BTreeMap<Arc<str>, Host> {
        &self.table.hosts
    }

    /// State of a host; gone for one that is not known.
    pub fn state_of(&self, name: &str) -> HostState {
        match self.table.hosts.get(name) {
            Some(_) if *name == *self.me.name => self.state,
            Some(host) => host.state(self.watcher_count(host)),
            None => HostState::Gone,
        }
    }

    /// Hosts that are there and stay, with their failure domains: for [`relay`](crate::relay).
    pub fn members(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        self.with_state(|state| !matches!(state, HostState::Leaving | HostState::Gone))
    }

    /// Hosts that serve, in domains that are heard, with their failure domains.
    pub fn serving(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let mut out = self.with_state(|state| state == HostState::Serving);
        out.retain(|_, domain| !self.silent_domains.contains(domain));
        out
    }

    fn with_state(&self, fits: impl Fn(HostState) -> bool) -> BTreeMap<Arc<str>, Arc<str>> {
        self.table
            .hosts
            .iter()
            .filter(|(name, host)| !host.domain.is_empty() && fits(self.state_of(name)))
            .map(|(name, host)| (name.clone(), host.domain.clone()))
            .collect()
    }

    /// Whether nothing is heard from a failure domain.
    pub fn is_domain_silent(&self, domain: &str) -> bool {
        self.silent_domains.contains(domain)
    }

    /// What a host of this domain last reported, and when that came.
    pub fn report(&self, name: &str) -> Option<(&Report, Duration)> {
        self.reports.get(name).map(|(report, at)| (report, *at))
    }

    /// The last digest of another domain, and when it came.
    pub fn digest(&self, domain: &str) -> Option<(&Digest, Duration)> {
        self.digests.get(domain).map(|(digest, at)| (digest, *at))
    }

    /// Requests and targets in quarantine, with the time they have left.
    pub fn quarantines(&self, now: Duration) -> Vec<Quarantine> {
        self.rumors.quarantines(now)
    }

    /// The lowest revision in force on any live host of any domain that is heard, for an operator
    /// who waits for an apply; `None` while some domain has not been heard of.
    ///
    /// It lags behind by up to the time between two rounds of digests, and never runs ahead of a
    /// host that is known to serve.
    pub fn lowest_revision(&self) -> Option<u64> {
        let inside = self.revisions().min().unwrap_or(self.revision);
        let others = self
            .domains
            .keys()
            .filter(|domain| **domain != self.me.domain);
        let heard = others.filter(|domain| !self.silent_domains.contains(*domain));
        heard
            .map(|domain| self.digests.get(domain).map(|(digest, _)| digest.lowest))
            .try_fold(inside, |least, lowest| Some(least.min(lowest?)))
    }

    /// Revisions in force on the serving hosts of this domain; 0 for one that has not said.
    pub(super) fn revisions(&self) -> impl Iterator<Item = u64> {
        let serving = |name: &&Arc<str>| self.state_of(name) == HostState::Serving;
        let local = self.topology.local_peers.iter().filter(serving);
        local
            .filter_map(|name| Some(self.table.hosts.get(name)?.revision))
            .chain([self.revision])
    }
}
