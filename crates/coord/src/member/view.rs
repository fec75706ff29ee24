//! Read access to the membership.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Digest, HostState, Quarantine, Report};

use super::{Host, LocalMember, Membership};

impl Membership {
    /// Returns the identity of this host.
    pub fn me(&self) -> &LocalMember {
        &self.me
    }

    /// Returns this host's own state.
    pub fn state(&self) -> HostState {
        self.state
    }

    /// Returns whether this host may accept work: another host has replied since its start or its
    /// last pause (or there is none), and no later incarnation of it is known.
    pub fn caught_up(&self) -> bool {
        self.catching_up_since.is_none() && self.superseded.is_none()
    }

    /// Like [`Membership::caught_up`], but also `false` right after a pause that no tick has
    /// detected yet. Check it before an action that a replaced host must not take.
    pub fn caught_up_at(&self, now: Duration) -> bool {
        self.caught_up() && !self.paused(now)
    }

    pub(super) fn paused(&self, now: Duration) -> bool {
        now > self.last_tick + self.timings.suspect_after
    }

    /// Returns the later incarnation of this host, if there is one.
    pub fn superseded(&self) -> Option<u64> {
        self.superseded
    }

    /// Returns all known hosts by name, including this one.
    pub fn hosts(&self) -> &BTreeMap<Arc<str>, Host> {
        &self.table.hosts
    }

    /// Returns the state of a host; [`HostState::Gone`] if it is not known.
    pub fn state_of(&self, name: &str) -> HostState {
        match self.table.hosts.get(name) {
            Some(_) if *name == *self.me.name => self.state,
            Some(host) => host.state(self.watcher_count(host)),
            None => HostState::Gone,
        }
    }

    /// Returns the hosts that are neither leaving nor gone, with their failure domains; input for
    /// [`relay`](crate::relay).
    pub fn members(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        self.with_state(|state| !matches!(state, HostState::Leaving | HostState::Gone))
    }

    /// Returns the serving hosts of domains that are not silent, with their failure domains.
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

    /// Returns whether nothing is received from a failure domain.
    pub fn is_domain_silent(&self, domain: &str) -> bool {
        self.silent_domains.contains(domain)
    }

    /// Returns the last report of a host of this domain and the time of its receipt.
    pub fn report(&self, name: &str) -> Option<(&Report, Duration)> {
        self.reports.get(name).map(|(report, at)| (report, *at))
    }

    /// Returns the last digest of another domain and the time of its receipt.
    pub fn digest(&self, domain: &str) -> Option<(&Digest, Duration)> {
        self.digests.get(domain).map(|(digest, at)| (digest, *at))
    }

    /// Returns the requests and targets in quarantine with their remaining time.
    pub fn quarantines(&self, now: Duration) -> Vec<Quarantine> {
        self.rumors.quarantines(now)
    }

    /// Returns the lowest active revision over the live hosts of all domains that are not silent,
    /// for an operator who waits for an apply; `None` while a domain has sent no digest.
    ///
    /// It lags by up to one digest interval, and never runs ahead of a host that is known to serve.
    pub fn lowest_revision(&self) -> Option<u64> {
        let own_lowest = self.revisions().min().unwrap_or(self.revision);
        let others = self
            .domains
            .keys()
            .filter(|domain| **domain != self.me.domain);
        let heard = others.filter(|domain| !self.silent_domains.contains(*domain));
        heard
            .map(|domain| self.digests.get(domain).map(|(digest, _)| digest.lowest))
            .try_fold(own_lowest, |min, lowest| Some(min.min(lowest?)))
    }

    /// Returns the active revisions of the serving hosts of this domain; 0 for one that has
    /// reported none.
    pub(super) fn revisions(&self) -> impl Iterator<Item = u64> {
        let serving = |name: &&Arc<str>| self.state_of(name) == HostState::Serving;
        let local = self.topology.local_peers.iter().filter(serving);
        local
            .filter_map(|name| Some(self.table.hosts.get(name)?.revision))
            .chain([self.revision])
    }
}
