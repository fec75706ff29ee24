//! Table of the known hosts and their states.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::{
    coord::{Beat, HostState, StateWord, SyncAsk},
    store::Listed,
};

/// A known host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Incarnation; never decreases.
    pub incarnation: u64,
    /// Region; empty while the host is known only by a heartbeat.
    pub region: Arc<str>,
    /// Failure domain; empty while the host is known only by a heartbeat.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: Arc<str>,
    /// Address for other hosts.
    pub peers: Arc<str>,
    /// Highest heartbeat number that any host has received; never decreases within an incarnation.
    pub heartbeat: u64,
    /// Configuration revision that the host last reported.
    pub revision: u64,
    /// Whether the platform lists the host.
    pub listed: bool,
    /// State that the host last reported of itself.
    pub reported_state: HostState,
    /// Suspicions by the host that raised them.
    ///
    /// A suspicion expires unless it is renewed. The rumor that withdraws it may be lost during a
    /// partition, and the suspected host may never receive the suspicion.
    suspicions: BTreeMap<Arc<str>, Suspicion>,
    /// Whether the host is in this host's domain, so that some hosts here receive its heartbeats.
    is_local: bool,
    /// Time of the last heartbeat or message from the host, or of its first appearance.
    pub(super) heard: Duration,
}

/// The claim of a watcher that it does not receive another host's heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Suspicion {
    /// Last heartbeat number that the watcher received, and whether the host is suspect or gone.
    claim: (u64, HostState),
    /// Time of the last renewal.
    reported_at: Duration,
}

impl Host {
    /// Returns the state as far as this host knows it.
    ///
    /// A host is gone when two watchers claim so: a single watcher may have lost its own link. If
    /// only one host watches it, that one decides.
    pub fn state(&self, watchers: usize) -> HostState {
        let gone = self
            .suspicions
            .values()
            .filter(|suspicion| suspicion.claim.1 == HostState::Gone);
        if self.reported_state == HostState::Gone || gone.count() >= watchers.clamp(1, 2) {
            return HostState::Gone;
        }
        if !self.suspicions.is_empty() && self.reported_state != HostState::Leaving {
            return HostState::Suspect;
        }
        self.reported_state
    }

    fn reset(&mut self, incarnation: u64, now: Duration) {
        self.incarnation = incarnation;
        self.heartbeat = 0;
        self.revision = 0;
        self.reported_state = self.initial_state();
        self.suspicions.clear();
        self.heard = now;
    }

    /// Initial state of a new incarnation. Hosts of other domains send no heartbeats here, so a
    /// known one counts as serving unless a rumor says otherwise.
    fn initial_state(&self) -> HostState {
        if self.is_local {
            HostState::Starting
        } else {
            HostState::Serving
        }
    }

    /// Sets the region and the domain.
    fn set_location(&mut self, region: &Arc<str>, domain: &Arc<str>, own_domain: &str) {
        let unknown = self.domain.is_empty();
        self.region = region.clone();
        self.domain = domain.clone();
        self.is_local = **domain == *own_domain;
        if unknown && self.reported_state == HostState::Starting {
            self.reported_state = self.initial_state();
        }
    }

    /// Records a heartbeat; returns `false` for an outdated one.
    fn note_heartbeat(&mut self, incarnation: u64, beat: u64, now: Duration) -> bool {
        if incarnation < self.incarnation
            || (incarnation == self.incarnation && beat < self.heartbeat)
        {
            return false;
        }
        if incarnation > self.incarnation {
            self.reset(incarnation, now);
        }
        if beat > self.heartbeat {
            // A newer heartbeat refutes the suspicions of watchers that received only older ones.
            // Later suspicions stay: rumors arrive in any order, and an old heartbeat may follow
            // the rumor that the host is gone.
            self.suspicions
                .retain(|_, suspicion| suspicion.claim.0 >= beat);
            self.heard = now;
        }
        self.heartbeat = beat;
        true
    }
}

/// The known hosts, including this one.
#[derive(Clone, Debug, Default)]
pub(super) struct HostTable {
    pub(super) hosts: BTreeMap<Arc<str>, Host>,
}

impl HostTable {
    /// Applies the platform's list. The list lags: it adds hosts and addresses, and never reverts a
    /// host that was heard since. A host that is no longer listed stays while it is heard.
    pub(super) fn apply_listing(&mut self, listed: &[Listed], own_domain: &str, now: Duration) {
        let names: BTreeSet<_> = listed.iter().map(|host| &host.name).collect();
        for (name, host) in &mut self.hosts {
            host.listed = names.contains(name);
        }
        for new in listed {
            let host = self
                .hosts
                .entry(new.name.clone())
                .or_insert_with(|| unknown_host(now));
            if new.incarnation < host.incarnation {
                continue;
            }
            if new.incarnation > host.incarnation || host.domain.is_empty() {
                host.set_location(&new.region, &new.domain, own_domain);
                if new.incarnation > host.incarnation {
                    host.reset(new.incarnation, now);
                }
                host.callers = new.callers.clone();
                host.peers = new.peers.clone();
            }
            host.listed = true;
            if new.leaving && host.reported_state != HostState::Gone {
                host.reported_state = HostState::Leaving;
            }
        }
    }

    pub(super) fn introduce(&mut self, ask: &SyncAsk, own_domain: &str, now: Duration) {
        let host = self
            .hosts
            .entry(ask.name.clone())
            .or_insert_with(|| unknown_host(now));
        if ask.incarnation < host.incarnation {
            return;
        }
        host.set_location(&ask.region, &ask.domain, own_domain);
        if ask.incarnation > host.incarnation {
            host.reset(ask.incarnation, now);
        }
        host.callers = ask.callers.clone();
        host.peers = ask.peers.clone();
        host.heard = now;
    }

    pub(super) fn apply_heartbeat(&mut self, beat: &Beat, now: Duration) {
        let host = self
            .hosts
            .entry(beat.name.clone())
            .or_insert_with(|| unknown_host(now));
        // Heartbeats are sent only within a domain.
        host.is_local = true;
        if host.note_heartbeat(beat.incarnation, beat.beat, now) {
            host.reported_state = merge_state(host.reported_state, beat.state);
            host.revision = host.revision.max(beat.revision);
        }
    }

    pub(super) fn apply_revision(&mut self, name: &str, incarnation: u64, revision: u64) {
        let host = self.hosts.get_mut(name);
        if let Some(host) = host.filter(|host| host.incarnation == incarnation) {
            host.revision = host.revision.max(revision);
        }
    }

    /// Applies a rumor about a state that was reported at `reported_at`. Returns whether the host
    /// changed.
    pub(super) fn apply_state_rumor(
        &mut self,
        word: &StateWord,
        reported_at: Duration,
        now: Duration,
    ) -> bool {
        let host = self
            .hosts
            .entry(word.name.clone())
            .or_insert_with(|| unknown_host(now));
        let old = host.clone();
        if *word.by == *word.name {
            if host.note_heartbeat(word.incarnation, word.beat, now) {
                host.reported_state = merge_state(host.reported_state, word.state);
            }
        } else if !matches!(word.state, HostState::Suspect | HostState::Gone) {
            // A watcher receives heartbeats of the host again.
            if host.note_heartbeat(word.incarnation, word.beat, now) {
                host.reported_state = merge_state(host.reported_state, word.state);
            }
        } else if word.incarnation == host.incarnation && word.beat >= host.heartbeat {
            // Rumors arrive in any order. An older suspicion that arrives after the claim that the
            // host is gone must not replace it: the claim would not be sent again.
            let new = Suspicion {
                claim: (word.beat, word.state),
                reported_at,
            };
            let suspicion = host.suspicions.entry(word.by.clone()).or_insert(new);
            if new.claim >= suspicion.claim {
                suspicion.claim = new.claim;
                suspicion.reported_at = new.reported_at.max(suspicion.reported_at);
            }
        }
        *host != old
    }

    /// Drops suspicions that were not renewed; returns the hosts concerned.
    pub(super) fn expire_suspicions(&mut self, now: Duration, after: Duration) -> Vec<Arc<str>> {
        let mut out = Vec::new();
        for (name, host) in &mut self.hosts {
            let count = host.suspicions.len();
            host.suspicions
                .retain(|_, suspicion| now < suspicion.reported_at + after);
            if host.suspicions.len() < count {
                out.push(name.clone());
            }
        }
        out
    }

    /// Drops hosts that are neither listed nor heard.
    pub(super) fn remove_stale(&mut self, now: Duration, after: Duration, me: &str) {
        self.hosts
            .retain(|name, host| **name == *me || host.listed || now < host.heard + after);
    }
}

/// Merges a reported state. A leaving host does not serve again in the same incarnation, whatever
/// arrives late.
fn merge_state(old: HostState, new: HostState) -> HostState {
    match (old, new) {
        (HostState::Gone, _) => HostState::Gone,
        (HostState::Leaving, HostState::Starting | HostState::Serving) => HostState::Leaving,
        (HostState::Serving, HostState::Starting) => HostState::Serving,
        _ => new,
    }
}

fn unknown_host(now: Duration) -> Host {
    Host {
        incarnation: 0,
        region: "".into(),
        domain: "".into(),
        callers: "".into(),
        peers: "".into(),
        heartbeat: 0,
        revision: 0,
        listed: false,
        reported_state: HostState::Starting,
        suspicions: BTreeMap::new(),
        is_local: false,
        heard: now,
    }
}
