//! Updates derived from the host table: reported state changes and the topology.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::coord::HostState;

use super::{Action, Membership, topology::topology};

/// A host that is neither listed nor heard is removed after this many times `gone_after`.
const FORGET_FACTOR: u32 = 20;

impl Membership {
    /// Reports all changes to the caller and recomputes the topology.
    pub(super) fn refresh(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.table
            .remove_stale(now, self.timings.gone_after * FORGET_FACTOR, &self.me.name);
        self.count_live();
        let mut states = BTreeMap::new();
        for (name, host) in &self.table.hosts {
            states.insert(name.clone(), (host.incarnation, self.state_of(name)));
        }
        for (name, (incarnation, state)) in &states {
            if self.reported_states.get(name) != Some(&(*incarnation, *state)) {
                out.push(Action::HostChanged {
                    name: name.clone(),
                    incarnation: *incarnation,
                    state: *state,
                });
            }
        }
        self.reported_states = states;
        self.reports
            .retain(|name, _| self.reported_states.contains_key(name));
        self.mismatch_since
            .retain(|name, _| self.reported_states.contains_key(name));
        self.refresh_topology(now);
        self.refresh_silent(out);
    }

    /// Like [`Membership::refresh`] where only one host may have changed. Most rumors change
    /// nothing here, and a full refresh takes milliseconds at 2,400 hosts.
    pub(super) fn refresh_one(&mut self, now: Duration, name: &Arc<str>, out: &mut Vec<Action>) {
        let state = self.state_of(name);
        let incarnation = self
            .table
            .hosts
            .get(name)
            .map_or(0, |host| host.incarnation);
        let old = self.reported_states.get(name).copied();
        if old == Some((incarnation, state)) {
            return;
        }
        let gone = |state| state == HostState::Gone;
        if old.is_none_or(|(_, old)| gone(old) != gone(state)) {
            self.refresh(now, out);
            return;
        }
        self.reported_states
            .insert(name.clone(), (incarnation, state));
        out.push(Action::HostChanged {
            name: name.clone(),
            incarnation,
            state,
        });
    }

    fn count_live(&mut self) {
        self.live_counts.clear();
        for (name, host) in &self.table.hosts {
            let reported = self.reported_states.get(name);
            if reported.is_none_or(|(_, state)| *state != HostState::Gone) {
                *self.live_counts.entry(host.domain.clone()).or_default() += 1;
            }
        }
    }

    fn refresh_topology(&mut self, now: Duration) {
        let mut domains: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        let mut gone = BTreeSet::new();
        for (name, (_, state)) in &self.reported_states {
            let host = self.table.hosts.get(name);
            let domain = host.map(|host| host.domain.clone()).unwrap_or_default();
            if *state == HostState::Gone && domain == self.me.domain {
                gone.insert(name.clone());
            } else if *state != HostState::Gone && !domain.is_empty() {
                domains.entry(domain).or_default().insert(name.clone());
            }
        }
        // The list is read every second and rarely changes anything.
        if domains == self.domains && gone == self.gone {
            return;
        }
        self.topology = topology(&self.me.name, &self.me.domain, &domains, &gone);
        self.domains = domains;
        self.gone = gone;
        let old = std::mem::take(&mut self.watched_since);
        for name in &self.topology.watched {
            let since = old.get(name).copied().unwrap_or(now);
            self.watched_since.insert(name.clone(), since);
        }
    }

    /// Recomputes the silent domains: a domain is silent when two hosts of this domain receive
    /// nothing from it, or the only host of this domain does.
    pub(super) fn refresh_silent(&mut self, out: &mut Vec<Action>) {
        let needed = (self.topology.local_peers.len() + 1).min(2);
        let mut silent = BTreeSet::new();
        for (domain, reports) in &self.silence_reports {
            let is_local =
                |by: &Arc<str>| self.topology.local_peers.contains(by) || *by == self.me.name;
            let count = reports
                .iter()
                .filter(|(by, report)| report.silent && is_local(by));
            if count.count() >= needed {
                silent.insert(domain.clone());
            }
        }
        for domain in silent.symmetric_difference(&self.silent_domains) {
            out.push(Action::DomainSilent {
                domain: domain.clone(),
                silent: silent.contains(domain),
            });
        }
        self.silent_domains = silent;
    }
}
