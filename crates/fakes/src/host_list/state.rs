//! State of a list of hosts, without clock or socket.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::store::{Listed, Listing};

use super::ListOptions;

/// One host: its entry that readers see now, and pending changes of it.
#[derive(Default)]
struct Host {
    visible: Option<Listed>,
    /// Changes that are not visible yet, each with the time at which it becomes visible, in ascending
    /// order.
    pending: VecDeque<(Duration, Option<Listed>)>,
    /// Time at which the last announcement expires.
    expires_at: Duration,
}

/// State of the list.
pub(super) struct State {
    hosts: BTreeMap<Arc<str>, Host>,
    pub(super) options: ListOptions,
    pub(super) reads: u64,
}

impl State {
    pub(super) fn open(options: ListOptions) -> Self {
        Self {
            hosts: BTreeMap::new(),
            options,
            reads: 0,
        }
    }

    pub(super) fn announce(&mut self, listed: Listed, now: Duration) {
        self.expire(now);
        let host = self.hosts.entry(Arc::clone(&listed.name)).or_default();
        host.expires_at = now + self.options.announcement_ttl;
        host.schedule(now + self.options.visibility_delay, Some(listed));
    }

    pub(super) fn deregister(&mut self, name: &str, now: Duration) {
        self.expire(now);
        if let Some(host) = self.hosts.get_mut(name) {
            host.schedule(now + self.options.visibility_delay, None);
        }
    }

    /// Makes all pending changes visible.
    pub(super) fn publish_pending(&mut self) {
        for host in self.hosts.values_mut() {
            host.publish_due(Duration::MAX);
        }
    }

    pub(super) fn listing(&mut self, now: Duration) -> Listing {
        self.expire(now);
        for host in self.hosts.values_mut() {
            host.publish_due(now);
        }
        let hosts = self.hosts.values().filter_map(|h| h.visible.clone());
        Listing {
            hosts: hosts.collect(),
        }
    }

    /// Schedules the removal of hosts whose announcement expired; the visibility delay counts from the
    /// expiry.
    fn expire(&mut self, now: Duration) {
        let delay = self.options.visibility_delay;
        for host in self.hosts.values_mut().filter(|h| h.expires_at <= now) {
            if host.final_state().is_some() {
                host.schedule(host.expires_at + delay, None);
            }
        }
        self.hosts
            .retain(|_, h| h.visible.is_some() || !h.pending.is_empty());
    }
}

impl Host {
    /// Returns the entry that readers see once all pending changes are visible.
    fn final_state(&self) -> Option<&Listed> {
        match self.pending.back() {
            Some((_, listed)) => listed.as_ref(),
            None => self.visible.as_ref(),
        }
    }

    fn schedule(&mut self, visible_at: Duration, listed: Option<Listed>) {
        if self.final_state() != listed.as_ref() {
            let visible_at = self
                .pending
                .back()
                .map_or(visible_at, |(final_state, _)| visible_at.max(*final_state));
            self.pending.push_back((visible_at, listed));
        }
    }

    fn publish_due(&mut self, now: Duration) {
        while let Some((_, listed)) = self
            .pending
            .pop_front_if(|(visible_at, _)| *visible_at <= now)
        {
            self.visible = listed;
        }
    }
}
