//! The hosts that are known, with their states.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::{
    coord::{Beat, HostState, StateWord, SyncAsk},
    store::Listed,
};

/// One host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Incarnation; never falls.
    pub incarnation: u64,
    /// Region; empty while only a heartbeat is known of it.
    pub region: Arc<str>,
    /// Failure domain; empty while only a heartbeat is known of it.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: Arc<str>,
    /// Address for hosts.
    pub peers: Arc<str>,
    /// Highest beat heard of, by anyone; never falls within an incarnation.
    pub heartbeat: u64,
    /// Configuration revision that it last named.
    pub revision: u64,
    /// Whether the platform lists it.
    pub listed: bool,
    /// What it last said of itself.
    pub reported_state: HostState,
    /// What hosts that do not hear it said last.
    ///
    /// A suspicion lapses unless it is said again. The word that takes it back may be lost while this
    /// host is cut off, and the host that is doubted may never hear of it.
    suspicions: BTreeMap<Arc<str>, Suspicion>,
    /// Whether it stands in this host's domain, and so is heard by some.
    is_local: bool,
    /// Time of the last sign of it, or of its first appearance.
    pub(super) heard: Duration,
}

/// A host's word that it does not hear another.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Suspicion {
    /// Last beat that it heard, and whether for long it has heard none.
    claim: (u64, HostState),
    /// When it last said so.
    reported_at: Duration,
}

impl Host {
    /// Its state, as far as this host knows.
    ///
    /// It is gone when two hosts say so: a single one may have lost its own link. Where only one
    /// host watches it, that one decides.
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

    /// The state of a new incarnation. Hosts of other domains are not heard: one that is known
    /// serves, unless a word says otherwise.
    fn initial_state(&self) -> HostState {
        if self.is_local {
            HostState::Starting
        } else {
            HostState::Serving
        }
    }

    /// Learns where it stands.
    fn set_location(&mut self, region: &Arc<str>, domain: &Arc<str>, mine: &str) {
        let unknown = self.domain.is_empty();
        self.region = region.clone();
        self.domain = domain.clone();
        self.is_local = **domain == *mine;
        if unknown && self.reported_state == HostState::Starting {
            self.reported_state = self.initial_state();
        }
    }

    /// Takes a sign of life; `false` for an old one.
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
            // A newer beat refutes the suspicions of those who heard only older ones. Not all suspicions:
            // words come in any order, and an old sign of life may follow the word of its end.
            self.suspicions
                .retain(|_, suspicion| suspicion.claim.0 >= beat);
            self.heard = now;
        }
        self.heartbeat = beat;
        true
    }
}

/// The known hosts, this one included.
#[derive(Clone, Debug, Default)]
pub(super) struct HostTable {
    pub(super) hosts: BTreeMap<Arc<str>, Host>,
}

impl HostTable {
    /// Takes the platform's list. It lags: it adds hosts and addresses, and it never makes a host
    /// that was heard since go back. A host that it no longer names is kept while it is heard.
    pub(super) fn apply_listing(&mut self, listed: &[Listed], mine: &str, now: Duration) {
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
                host.set_location(&new.region, &new.domain, mine);
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

    pub(super) fn introduce(&mut self, ask: &SyncAsk, mine: &str, now: Duration) {
        let host = self
            .hosts
            .entry(ask.name.clone())
            .or_insert_with(|| unknown_host(now));
        if ask.incarnation < host.incarnation {
            return;
        }
        host.set_location(&ask.region, &ask.domain, mine);
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
        // Heartbeats come from this domain only.
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

    /// Takes word of a state that was said at `said`. Returns whether it was news.
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
            // One that watches it hears it again.
            if host.note_heartbeat(word.incarnation, word.beat, now) {
                host.reported_state = merge_state(host.reported_state, word.state);
            }
        } else if word.incarnation == host.incarnation && word.beat >= host.heartbeat {
            // Words come in any order. An older suspicion that came after the word that the host is
            // gone would take that word back, and nobody would say it again.
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

    /// Drops suspicions that were not said again; gives the hosts concerned.
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

/// A host that said that it leaves does not come back in the same incarnation, whatever arrives
/// late.
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
