//! What follows from a changed table: what the caller is told, and who speaks to whom.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::coord::HostState;

use super::{Action, Membership, topology::topology};

/// Times the `gone` silence after which a host that is not listed and not heard is forgotten.
const FORGET: u32 = 20;

impl Membership {
    /// Tells the caller what changed, and works out anew who speaks to whom.
    pub(super) fn refresh(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.table
            .forget(now, self.timings.gone_after * FORGET, &self.me.name);
        self.count_live();
        let mut told = BTreeMap::new();
        for (name, host) in &self.table.hosts {
            told.insert(name.clone(), (host.incarnation, self.state_of(name)));
        }
        for (name, (incarnation, state)) in &told {
            if self.told.get(name) != Some(&(*incarnation, *state)) {
                out.push(Action::HostChanged {
                    name: name.clone(),
                    incarnation: *incarnation,
                    state: *state,
                });
            }
        }
        self.told = told;
        self.reports.retain(|name, _| self.told.contains_key(name));
        self.differs.retain(|name, _| self.told.contains_key(name));
        self.refresh_topology(now);
        self.refresh_silent(out);
    }

    /// As [`Membership::refresh`], where only one host may have changed. Most words change nothing
    /// here, and at 2,400 hosts the whole costs milliseconds.
    pub(super) fn refresh_one(&mut self, now: Duration, name: &Arc<str>, out: &mut Vec<Action>) {
        let state = self.state_of(name);
        let incarnation = self
            .table
            .hosts
            .get(name)
            .map_or(0, |host| host.incarnation);
        let old = self.told.get(name).copied();
        if old == Some((incarnation, state)) {
            return;
        }
        let gone = |state| state == HostState::Gone;
        if old.is_none_or(|(_, old)| gone(old) != gone(state)) {
            self.refresh(now, out);
            return;
        }
        self.told.insert(name.clone(), (incarnation, state));
        out.push(Action::HostChanged {
            name: name.clone(),
            incarnation,
            state,
        });
    }

    fn count_live(&mut self) {
        self.live.clear();
        for (name, host) in &self.table.hosts {
            let told = self.told.get(name);
            if told.is_none_or(|(_, state)| *state != HostState::Gone) {
                *self.live.entry(host.domain.clone()).or_default() += 1;
            }
        }
    }

    fn refresh_topology(&mut self, now: Duration) {
        let mut domains: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        let mut gone = BTreeSet::new();
        for (name, (_, state)) in &self.told {
            let host = self.table.hosts.get(name);
            let domain = host.map(|host| host.domain.clone()).unwrap_or_default();
            if *state == HostState::Gone && domain == self.me.domain {
                gone.insert(name.clone());
            } else if *state != HostState::Gone && !domain.is_empty() {
                domains.entry(domain).or_default().insert(name.clone());
            }
        }
        // The list is read every second and seldom brings anything new.
        if domains == self.domains && gone == self.gone {
            return;
        }
        self.topology = topology(&self.me.name, &self.me.domain, &domains, &gone);
        self.domains = domains;
        self.gone = gone;
        let old = std::mem::take(&mut self.watched);
        for name in &self.topology.watched {
            let since = old.get(name).copied().unwrap_or(now);
            self.watched.insert(name.clone(), since);
        }
    }

    /// A domain is silent when two hosts of this domain hear nothing from it, or the only one.
    pub(super) fn refresh_silent(&mut self, out: &mut Vec<Action>) {
        let needed = (self.topology.near.len() + 1).min(2);
        let mut silent = BTreeSet::new();
        for (domain, said) in &self.silent {
            let there = |by: &Arc<str>| self.topology.near.contains(by) || *by == self.me.name;
            let count = said.iter().filter(|(by, voice)| voice.silent && there(by));
            if count.count() >= needed {
                silent.insert(domain.clone());
            }
        }
        for domain in silent.symmetric_difference(&self.told_silent) {
            out.push(Action::DomainSilent {
                domain: domain.clone(),
                silent: silent.contains(domain),
            });
        }
        self.told_silent = silent;
    }
}
