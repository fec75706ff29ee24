//! Words: who passes them on to whom.
//!
//! A word goes from its origin to all hosts of the origin's domain and to the partners it speaks
//! to; from there each host passes it to its own partners in other domains, and each of those to
//! its whole domain. That is three hops at any size, and a host sends a word at most once to each
//! host of its domain. A word that got lost is noticed by the sum in heartbeats and digests.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{
    DomainWord, HostState, Message, Quarantine, Rumor, Rumors, StateWord, Word,
};

use super::{Action, Membership};

/// Beat of a host that was never heard; the first that it sends is the one after.
const NEVER: u64 = 0;

impl Membership {
    /// Says to all hosts that a request or target is to be refused or avoided.
    pub fn broadcast(&mut self, now: Duration, word: Quarantine) -> Vec<Action> {
        let mut out = Vec::new();
        self.start(now, Word::Quarantine(word), &mut out);
        out
    }

    /// Says this host's own state with a beat that refutes earlier doubts.
    pub(super) fn say_self(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.beat += 1;
        self.refuted = self.beat;
        let word = StateWord {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            beat: self.beat,
            state: self.state,
            by: self.me.name.clone(),
            turn: 0,
        };
        self.start(now, Word::State(word), out);
    }

    /// Says of a watched host that it is silent, or that it is heard again.
    pub(super) fn say_other(
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
        self.start(now, Word::State(word), out);
    }

    /// Says to this domain whether another is heard.
    pub(super) fn say_domain(
        &mut self,
        now: Duration,
        domain: &Arc<str>,
        silent: bool,
        out: &mut Vec<Action>,
    ) {
        self.beat += 1;
        let word = DomainWord {
            domain: domain.clone(),
            by: self.me.name.clone(),
            beat: self.beat,
            silent,
        };
        self.start(now, Word::Domain(word), out);
    }

    fn start(&mut self, now: Duration, word: Word, out: &mut Vec<Action>) {
        let ttl_ms = match &word {
            Word::Quarantine(word) => word.ttl_ms,
            _ => self.timings.rumor_ttl.as_millis() as u64,
        };
        let rumor = Rumor {
            origin: self.me.domain.clone(),
            ttl_ms,
            word,
        };
        if self.take(now, &rumor, out) {
            let near = self.topology.near.clone();
            self.pass(&near, std::slice::from_ref(&rumor), out);
            self.pass_far(std::slice::from_ref(&rumor), out);
        }
    }

    /// Takes words from another host and passes on those that are news.
    pub(super) fn rumors(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        rumors: &[Rumor],
        out: &mut Vec<Action>,
    ) {
        let news: Vec<Rumor> = rumors
            .iter()
            .filter(|rumor| self.take(now, rumor, out))
            .cloned()
            .collect();
        let inside = self.topology.near.contains(from);
        let (own, foreign): (Vec<_>, Vec<_>) = news
            .into_iter()
            .partition(|rumor| rumor.origin == self.me.domain);
        self.pass_far(&own, out);
        if !inside {
            let near = self.topology.near.clone();
            self.pass(&near, &foreign, out);
        }
    }

    /// A domain's silence is each domain's own finding and stays inside.
    fn pass_far(&self, rumors: &[Rumor], out: &mut Vec<Action>) {
        let far = |rumor: &&Rumor| !matches!(rumor.word, Word::Domain(_));
        let rumors: Vec<Rumor> = rumors.iter().filter(far).cloned().collect();
        let partners = self.topology.partners.clone();
        self.pass(&partners, &rumors, out);
    }

    fn pass(&self, to: &[Arc<str>], rumors: &[Rumor], out: &mut Vec<Action>) {
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

    /// Puts a word into effect here; `false` for one that is known.
    fn take(&mut self, now: Duration, rumor: &Rumor, out: &mut Vec<Action>) -> bool {
        if !self.words.take(rumor, now, self.timings.rumor_ttl) {
            return false;
        }
        // A word that comes late lapses with those that came in time.
        let left = Duration::from_millis(rumor.ttl_ms);
        let said = now.saturating_sub(self.timings.rumor_ttl.saturating_sub(left));
        match &rumor.word {
            Word::State(word) if word.name == self.me.name => self.word_of_me(now, word, out),
            Word::State(word) => {
                if self.table.word(word, said, now) {
                    self.refresh_one(now, &word.name, out);
                }
            }
            Word::Quarantine(word) => out.push(Action::Quarantined(word.clone())),
            Word::Domain(word) => {
                let voices = self.silent.entry(word.domain.clone()).or_default();
                let voice = voices.entry(word.by.clone()).or_default();
                if word.beat > voice.beat {
                    (voice.beat, voice.silent) = (word.beat, word.silent);
                    voice.said = said;
                }
                self.refresh_silent(out);
            }
        }
        true
    }

    /// Others doubt this host: it refutes them, or learns that it was replaced.
    fn word_of_me(&mut self, now: Duration, word: &StateWord, out: &mut Vec<Action>) {
        self.other_me(word.incarnation, out);
        let doubted = word.by != self.me.name && word.incarnation == self.me.incarnation;
        // A doubt from before the last answer needs no other one, but for that of a host that never
        // heard this one: hosts that started since have not got the last answer either, and take
        // the doubt. Left without an answer, it would stay with them for good.
        let needed = word.beat >= self.refuted || word.beat == NEVER;
        if doubted && needed && self.superseded.is_none() {
            self.beat = self.beat.max(word.beat);
            self.say_self(now, out);
        }
    }
}
