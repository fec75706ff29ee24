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

    /// Returns whether this host may accept work: no higher incarnation of it is known, and another
    /// host has replied since its process started or was last paused (unless there is none).
    pub fn caught_up(&self) -> bool {
        self.catching_up_since.is_none() && self.superseded.is_none()
    }

    /// Like [`Membership::caught_up`], but also `false` right after a pause of the process that
    /// no tick has detected yet. Check it before an action that a superseded host must not take.
    pub fn caught_up_at(&self, now: Duration) -> bool {
        self.caught_up() && !self.paused(now)
    }

    /// Returns whether the process was paused: it has not ticked for longer than `suspect_after`.
    pub(super) fn paused(&self, now: Duration) -> bool {
        now > self.last_tick + self.timings.suspect_after
    }

    /// Returns the higher incarnation that supersedes this process, if one is known.
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

    /// Returns the hosts that are neither leaving nor gone, with their failure domains: the hosts
    /// that [`relay`](crate::relay) computes its tree from.
    pub fn members(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        self.hosts_in_state(|state| !matches!(state, HostState::Leaving | HostState::Gone))
    }

    /// Returns the serving hosts of domains that are not silent, with their failure domains.
    pub fn serving(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let mut out = self.hosts_in_state(|state| state == HostState::Serving);
        out.retain(|_, domain| !self.silent_domains.contains(domain));
        out
    }

    fn hosts_in_state(&self, matches: impl Fn(HostState) -> bool) -> BTreeMap<Arc<str>, Arc<str>> {
        self.table
            .hosts
            .iter()
            .filter(|(name, host)| !host.domain.is_empty() && matches(self.state_of(name)))
            .map(|(name, host)| (name.clone(), host.domain.clone()))
            .collect()
    }

    /// Returns whether a failure domain is silent: no messages from it are received.
    pub fn is_domain_silent(&self, domain: &str) -> bool {
        self.silent_domains.contains(domain)
    }

    /// Returns the last report of a host of this domain about its own work, and the time of its
    /// receipt.
    pub fn report(&self, name: &str) -> Option<(&Report, Duration)> {
        self.reports.get(name).map(|(report, at)| (report, *at))
    }

    /// Returns the last digest (summary) of another domain and the time of its receipt.
    pub fn digest(&self, domain: &str) -> Option<(&Digest, Duration)> {
        self.digests.get(domain).map(|(digest, at)| (digest, *at))
    }

    /// Returns the quarantine records of requests and targets, with their remaining time.
    pub fn quarantines(&self, now: Duration) -> Vec<Quarantine> {
        self.rumors.quarantines(now)
    }

    /// Returns the lowest active configuration revision of the serving hosts in all domains that
    /// are not silent; `None` while one of these domains has sent no digest. An operator who waits
    /// for an apply waits until this reaches its revision.
    ///
    /// The result lags by up to one digest interval, and is never higher than the revision of a
    /// host that is known to be serving.
    pub fn lowest_revision(&self) -> Option<u64> {
        let own_lowest = self.revisions().min().unwrap_or(self.revision);
        let others = self
            .domains
            .keys()
            .filter(|domain| **domain != self.me.domain);
        let not_silent = others.filter(|domain| !self.silent_domains.contains(*domain));
        not_silent
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
