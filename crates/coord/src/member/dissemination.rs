//! Dissemination of rumors: broadcast by their origin, relayed by the other hosts.
//!
//! A rumor goes from its origin to all hosts of the origin's domain and to the origin's remote
//! peers. From there each host relays it to its own remote peers, and each of those to its whole
//! domain. That is three hops at any size, and a host sends a rumor at most once to each host of
//! its domain. A lost rumor is detected by the checksum in heartbeats and digests.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{
    DomainWord, HostState, Message, Quarantine, Rumor, Rumors, StateWord, Word,
};

use super::{Action, Membership};

/// Heartbeat number of a host that was never heard; the first heartbeat has the next number.
const NO_HEARTBEAT: u64 = 0;

impl Membership {
    /// Broadcasts to all hosts that a request or target is to be refused or avoided.
    pub fn broadcast(&mut self, now: Duration, quarantine: Quarantine) -> Vec<Action> {
        let mut out = Vec::new();
        self.originate(now, Word::Quarantine(quarantine), &mut out);
        out
    }

    /// Broadcasts this host's own state with a heartbeat number that refutes earlier suspicions.
    pub(super) fn broadcast_own_state(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.heartbeat += 1;
        self.refuted = self.heartbeat;
        let word = StateWord {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            beat: self.heartbeat,
            state: self.state,
            by: self.me.name.clone(),
            turn: 0,
        };
        self.originate(now, Word::State(word), out);
    }

    /// Broadcasts that a watched host is silent, or that it is heard again.
    pub(super) fn broadcast_host_state(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        (state, turn): (HostState, u64),
        out: &mut Vec<Action>,
    ) {
        let Some(host) = self.table.hosts.get(name) else {
            return;
        };
        let word = StateWord {
            name: name.clone(),
            incarnation: host.incarnation,
            beat: host.heartbeat,
            state,
            by: self.me.name.clone(),
            turn,
        };
        self.originate(now, Word::State(word), out);
    }

    /// Broadcasts within this domain whether another domain is heard.
    pub(super) fn broadcast_domain_state(
        &mut self,
        now: Duration,
        domain: &Arc<str>,
        silent: bool,
        out: &mut Vec<Action>,
    ) {
        self.heartbeat += 1;
        let word = DomainWord {
            domain: domain.clone(),
            by: self.me.name.clone(),
            beat: self.heartbeat,
            silent,
        };
        self.originate(now, Word::Domain(word), out);
    }

    fn originate(&mut self, now: Duration, word: Word, out: &mut Vec<Action>) {
        let ttl_ms = match &word {
            Word::Quarantine(quarantine) => quarantine.ttl_ms,
            _ => self.timings.rumor_ttl.as_millis() as u64,
        };
        let rumor = Rumor {
            origin: self.me.domain.clone(),
            ttl_ms,
            word,
        };
        if self.apply_rumor(now, &rumor, out) {
            let local_peers = self.topology.local_peers.clone();
            self.send_rumors(&local_peers, std::slice::from_ref(&rumor), out);
            self.send_to_remote_peers(std::slice::from_ref(&rumor), out);
        }
    }

    /// Handles rumors from another host and relays the new ones.
    pub(super) fn handle_rumors(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        rumors: &[Rumor],
        out: &mut Vec<Action>,
    ) {
        let new: Vec<Rumor> = rumors
            .iter()
            .filter(|rumor| self.apply_rumor(now, rumor, out))
            .cloned()
            .collect();
        let is_local = self.topology.local_peers.contains(from);
        let (own, foreign): (Vec<_>, Vec<_>) = new
            .into_iter()
            .partition(|rumor| rumor.origin == self.me.domain);
        self.send_to_remote_peers(&own, out);
        if !is_local {
            let local_peers = self.topology.local_peers.clone();
            self.send_rumors(&local_peers, &foreign, out);
        }
    }

    /// Relays rumors to other domains, except those about silent domains: each domain determines
    /// that for itself.
    fn send_to_remote_peers(&self, rumors: &[Rumor], out: &mut Vec<Action>) {
        let is_relayed = |rumor: &&Rumor| !matches!(rumor.word, Word::Domain(_));
        let rumors: Vec<Rumor> = rumors.iter().filter(is_relayed).cloned().collect();
        let remote_peers = self.topology.remote_peers.clone();
        self.send_rumors(&remote_peers, &rumors, out);
    }

    fn send_rumors(&self, to: &[Arc<str>], rumors: &[Rumor], out: &mut Vec<Action>) {
        if rumors.is_empty() {
            return;
        }
        let message = Rumors {
            name: self.me.name.clone(),
            sync: false,
            rumors: rumors.to_vec(),
        };
        out.extend(to.iter().map(|name| Action::Send {
            to: name.clone(),
            message: Message::Rumors(message.clone()),
        }));
    }

    /// Applies a rumor; returns `false` if it is already known.
    fn apply_rumor(&mut self, now: Duration, rumor: &Rumor, out: &mut Vec<Action>) -> bool {
        if !self.rumors.insert(rumor, now, self.timings.rumor_ttl) {
            return false;
        }
        // A rumor that arrives late expires together with those that arrived in time.
        let remaining = Duration::from_millis(rumor.ttl_ms);
        let reported_at = now.saturating_sub(self.timings.rumor_ttl.saturating_sub(remaining));
        match &rumor.word {
            Word::State(word) if word.name == self.me.name => self.handle_own_state(now, word, out),
            Word::State(word) => {
                if self.table.apply_state_rumor(word, reported_at, now) {
                    self.refresh_one(now, &word.name, out);
                }
            }
            Word::Quarantine(quarantine) => out.push(Action::Quarantined(quarantine.clone())),
            Word::Domain(word) => {
                let reports = self.silence_reports.entry(word.domain.clone()).or_default();
                let report = reports.entry(word.by.clone()).or_default();
                if word.beat > report.beat {
                    (report.beat, report.silent) = (word.beat, word.silent);
                    report.reported_at = reported_at;
                }
                self.refresh_silent(out);
            }
        }
        true
    }

    /// Handles a rumor about this host: refutes a suspicion, or detects that the process was
    /// replaced.
    fn handle_own_state(&mut self, now: Duration, word: &StateWord, out: &mut Vec<Action>) {
        self.check_own_incarnation(word.incarnation, out);
        let suspected = word.by != self.me.name && word.incarnation == self.me.incarnation;
        // A suspicion older than the last refutation needs no other one, except when its author
        // never heard this host: hosts that started since have not received the last refutation
        // either, and accept the suspicion. Without an answer they would keep it permanently.
        let needed = word.beat >= self.refuted || word.beat == NO_HEARTBEAT;
        if suspected && needed && self.superseded.is_none() {
            self.heartbeat = self.heartbeat.max(word.beat);
            self.broadcast_own_state(now, out);
        }
    }
}
