//! What a host does as time passes.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Beat, Digest, Far, Grant, HostState, Message, Report};

use super::{Action, Membership};

/// Most grants in one digest, so that its size is bounded; more take turns. With eight grants
/// each, one host at 48 a domain sent 2.8 KB/s in passing digests on.
const DIGEST_GRANTS: usize = 4;
/// A report without a change is sent every so many rounds, as the last one may be lost.
const QUIET_ROUNDS: u32 = 4;
/// Looks for doubts to lapse within the time in which they do.
const LAPSES: u32 = 6;
/// Times the `gone` silence after which a host that nobody answers counts as alone.
const ALONE: u32 = 3;

impl Membership {
    /// Lets time pass. Call it at least once a heartbeat: a gap longer than the silence that makes
    /// a host suspect counts as a pause.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        if self.superseded.is_some() {
            return out;
        }
        self.notice_pause(now, &mut out);
        self.last_tick = now;
        self.catch_up(now, &mut out);
        self.watch(now, &mut out);
        self.watch_domains(now, &mut out);
        self.send_beats(now, &mut out);
        self.send_reports(now, &mut out);
        self.send_digests(now, &mut out);
        self.send_far(now, &mut out);
        out
    }

    /// Looks for a gap in this host's own ticks. Each input does so before all else: after a pause
    /// what waited in a socket may be read before the next tick, and must not be acted on by a view
    /// that is as old as the pause.
    pub(super) fn notice_pause(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.paused(now) {
            self.last_tick = now;
            self.woke(now, out);
        }
    }

    /// This host was paused: the silence was its own, and the world may have gone on without it.
    fn woke(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.watched.values_mut().for_each(|since| *since = now);
        self.direct.values_mut().for_each(|since| *since = now);
        self.due.sync = now;
        if self.asking.replace(now).is_none() {
            out.push(Action::CaughtUp(false));
        }
    }

    fn catch_up(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.asking.filter(|_| self.listed) else {
            return;
        };
        if now > since + self.timings.gone_after * ALONE {
            // Nobody answers: the others are dead or cut off, and who can hear this host needs it.
            self.heard_from_others(out);
        } else if now >= self.due.sync {
            let near = &self.topology.near;
            let all: Vec<_> = near.iter().chain(&self.topology.partners).collect();
            if let Some(name) = all.get(self.turn % all.len().max(1)) {
                let name = (*name).clone();
                self.turn += 1;
                self.ask(now, &name, out);
            }
        }
    }

    /// Doubts watched hosts that are silent, and takes it back when they are heard.
    fn watch(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.words.forget(now);
        let mut words = Vec::new();
        for (name, since) in &self.watched {
            let Some(host) = self.table.hosts.get(name) else {
                continue;
            };
            let silence = now.saturating_sub(host.heard.max(*since));
            // Said again at half the time after which others let it lapse.
            let turn = silence.as_millis() * 2 / self.timings.rumor_ttl.as_millis().max(1);
            if silence >= self.timings.gone_after {
                words.push((name.clone(), (HostState::Gone, turn as u64)));
            } else if silence >= self.timings.suspect_after {
                words.push((name.clone(), (HostState::Suspect, 0)));
            } else if self.doubted.contains(name) {
                words.push((name.clone(), (host.reported_state, 0)));
            }
        }
        for (name, word) in words {
            if matches!(word.0, HostState::Suspect | HostState::Gone) {
                self.doubted.insert(name.clone());
            } else {
                self.doubted.remove(&name);
            }
            self.say_other(now, &name, word, out);
        }
        self.repeat(now, out);
    }

    /// Lets old doubts lapse, and says again that this host leaves.
    fn repeat(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.repeat {
            return;
        }
        self.due.repeat = now + self.timings.rumor_ttl / LAPSES;
        for name in self.table.lapse(now, self.timings.rumor_ttl) {
            self.refresh_one(now, &name, out);
        }
        let word = self.timings.rumor_ttl;
        for voices in self.silent.values_mut() {
            voices.retain(|_, voice| now < voice.said + word);
        }
        self.refresh_silent(out);
        if self.state == HostState::Leaving {
            self.say_self(now, out);
        }
    }

    fn watch_domains(&mut self, now: Duration, out: &mut Vec<Action>) {
        let expected = self.topology.expected.clone();
        for domain in &expected {
            let heard = *self.direct.entry(domain.clone()).or_insert(now);
            let silent = now >= heard + self.timings.gone_after;
            let me = &self.me.name;
            let said = self.silent.get(domain).and_then(|said| said.get(me));
            let again = said.is_some_and(|voice| now >= voice.said + self.timings.rumor_ttl / 2);
            if said.is_some_and(|voice| voice.silent) != silent || (silent && again) {
                self.say_domain(now, domain, silent, out);
            }
        }
        // A host that no domain speaks to any more has no say on its silence.
        let stale: Vec<_> = self
            .silent
            .iter()
            .filter(|(domain, _)| !expected.contains(*domain))
            .filter(|(_, said)| said.get(&self.me.name).is_some_and(|voice| voice.silent))
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in stale {
            self.say_domain(now, &domain, false, out);
        }
        self.direct.retain(|domain, _| expected.contains(domain));
    }

    fn send_beats(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.beat {
            return;
        }
        self.due.beat = now + self.timings.heartbeat;
        self.beat += 1;
        let beat = Beat {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            beat: self.beat,
            state: self.state,
            revision: self.revision,
            sum: self.words.sum(now),
        };
        let to = if std::mem::take(&mut self.announce) {
            &self.topology.near
        } else {
            &self.topology.watchers
        };
        send(to, &Message::Beat(beat), out);
    }

    fn send_reports(&mut self, now: Duration, out: &mut Vec<Action>) {
        let newcomers: Vec<_> = std::mem::take(&mut self.newcomers).into_iter().collect();
        if !newcomers.is_empty() {
            send(&newcomers, &self.make_report(true), out);
        }
        if now < self.due.report {
            return;
        }
        self.due.report = now + self.timings.report;
        self.quiet += 1;
        if self.stamp != self.reported || self.quiet >= QUIET_ROUNDS {
            self.reported = self.stamp;
            self.quiet = 0;
            send(&self.topology.near, &self.make_report(false), out);
        }
    }

    /// Shares are a third of a report, and only a host that starts needs those of others.
    fn make_report(&self, shares: bool) -> Message {
        let mut facts = self.facts.clone();
        facts.revision = self.revision;
        if !shares {
            facts.shares.clear();
        }
        Message::Report(Report {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            stamp: self.stamp,
            facts,
        })
    }

    fn send_digests(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.digest {
            return;
        }
        self.due.digest = now + self.timings.digest;
        if self.topology.partners.is_empty() {
            return;
        }
        self.digest_stamp += 1;
        let plain = self.make_digest(now);
        for partner in &self.topology.partners {
            let region = self.table.hosts.get(partner).map(|host| &host.region);
            let digest = Digest {
                grants: region.map_or_else(Vec::new, |region| self.grants_to(region)),
                ..plain.clone()
            };
            out.push(Action::Send {
                to: partner.clone(),
                message: Message::Digest(digest),
            });
        }
    }

    /// This domain as this host sees it.
    fn make_digest(&self, now: Duration) -> Digest {
        let hosts: Vec<_> = self.inside().collect();
        let pools = || {
            let others = hosts.iter().filter_map(|name| self.reports.get(*name));
            let others = others.flat_map(|(report, _)| &report.facts.pools);
            others.chain(&self.facts.pools)
        };
        Digest {
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            by: self.me.name.clone(),
            incarnation: self.me.incarnation,
            stamp: self.digest_stamp,
            hosts: hosts.len() as u64,
            lowest: self.revisions().min().unwrap_or_default(),
            highest: self.revisions().max().unwrap_or_default(),
            queued: pools().map(|pool| pool.queued).sum(),
            busy: pools().map(|pool| pool.busy).sum(),
            slots: pools().map(|pool| pool.slots).sum(),
            sum: self.words.sum(now),
            grants: Vec::new(),
        }
    }

    /// Hosts of this domain that serve.
    fn inside(&self) -> impl Iterator<Item = &Arc<str>> {
        let near = self.topology.near.iter().chain([&self.me.name]);
        near.filter(|name| self.state_of(name) == HostState::Serving)
    }

    /// Grants of this domain's hosts to a region, some at a time.
    fn grants_to(&self, region: &str) -> Vec<Grant> {
        let reports = self.reports.values().map(|(report, _)| &report.facts);
        let all: Vec<&Grant> = reports
            .chain([&self.facts])
            .flat_map(|facts| &facts.grants)
            .filter(|grant| *grant.region == *region)
            .collect();
        let first = self.digest_stamp as usize * DIGEST_GRANTS % all.len().max(1);
        let turn = all
            .iter()
            .cycle()
            .skip(first)
            .take(DIGEST_GRANTS.min(all.len()));
        turn.map(|grant| (*grant).clone()).collect()
    }

    /// Passes the digests heard since the last round on within the domain.
    fn send_far(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.far {
            return;
        }
        self.due.far = now + self.timings.relay_interval;
        let mut heard = std::mem::take(&mut self.heard);
        heard.retain(|domain, _| self.topology.passed.contains(domain));
        if heard.is_empty() {
            return;
        }
        let far = Far {
            name: self.me.name.clone(),
            digests: heard.into_values().collect(),
        };
        send(&self.topology.near, &Message::Far(far), out);
    }
}

fn send(to: &[Arc<str>], message: &Message, out: &mut Vec<Action>) {
    out.extend(to.iter().map(|name| Action::Send {
        to: name.clone(),
        message: message.clone(),
    }));
}
