//! Time-driven actions of a membership.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Beat, Digest, Far, Grant, HostState, Message, Report};

use super::{Action, Membership};

/// Maximum number of grants in one digest, which bounds its size; more are sent in rotation. With
/// eight grants, one host in a domain of 48 sent 2.8 KB/s of relayed digests.
const MAX_DIGEST_GRANTS: usize = 4;
/// An unchanged report is sent again after this many rounds, as the last one may have been lost.
const MAX_UNCHANGED_ROUNDS: u32 = 4;
/// Expired suspicions are looked for this many times within `rumor_ttl`.
const EXPIRY_CHECKS: u32 = 6;
/// A host that receives no reply for this many times `gone_after` counts as alone.
const ALONE_FACTOR: u32 = 3;

impl Membership {
    /// Advances the time. Must be called at least once per heartbeat interval: a gap longer than
    /// [`Timings::suspect_after`](super::Timings::suspect_after) counts as a pause.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        if self.superseded.is_some() {
            return out;
        }
        self.notice_pause(now, &mut out);
        self.last_tick = now;
        self.catch_up(now, &mut out);
        self.check_watched_hosts(now, &mut out);
        self.check_domains(now, &mut out);
        self.send_heartbeats(now, &mut out);
        self.send_reports(now, &mut out);
        self.send_digests(now, &mut out);
        self.relay_digests(now, &mut out);
        out
    }

    /// Detects a gap between this host's own ticks. Each input checks this first: after a pause,
    /// messages waiting in a socket may be read before the next tick, and must not be handled with
    /// a view that is as old as the pause.
    pub(super) fn notice_pause(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.paused(now) {
            self.last_tick = now;
            self.resume_after_pause(now, out);
        }
    }

    /// Resets the timers after a pause of this host: the missing messages were due to the pause,
    /// and the other hosts may have changed state.
    fn resume_after_pause(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.watched_since
            .values_mut()
            .for_each(|since| *since = now);
        self.last_direct.values_mut().for_each(|since| *since = now);
        self.due.sync = now;
        if self.catching_up_since.replace(now).is_none() {
            out.push(Action::CaughtUp(false));
        }
    }

    fn catch_up(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(since) = self.catching_up_since.filter(|_| self.listed) else {
            return;
        };
        if now > since + self.timings.gone_after * ALONE_FACTOR {
            // No host replies: the others are gone or cut off, and whichever caller reaches this
            // host needs it.
            self.mark_caught_up(out);
        } else if now >= self.due.sync {
            let local = &self.topology.local_peers;
            let all: Vec<_> = local.iter().chain(&self.topology.remote_peers).collect();
            if let Some(name) = all.get(self.next_peer % all.len().max(1)) {
                let name = (*name).clone();
                self.next_peer += 1;
                self.send_sync_ask(now, &name, out);
            }
        }
    }

    /// Suspects watched hosts that are silent, and withdraws the suspicion when they are heard.
    fn check_watched_hosts(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.rumors.remove_expired(now);
        let mut states = Vec::new();
        for (name, since) in &self.watched_since {
            let Some(host) = self.table.hosts.get(name) else {
                continue;
            };
            let silence = now.saturating_sub(host.heard.max(*since));
            // Renewed after half the time in which it expires at other hosts.
            let renewals = silence.as_millis() * 2 / self.timings.rumor_ttl.as_millis().max(1);
            if silence >= self.timings.gone_after {
                states.push((name.clone(), (HostState::Gone, renewals as u64)));
            } else if silence >= self.timings.suspect_after {
                states.push((name.clone(), (HostState::Suspect, 0)));
            } else if self.suspected.contains(name) {
                states.push((name.clone(), (host.reported_state, 0)));
            }
        }
        for (name, state) in states {
            if matches!(state.0, HostState::Suspect | HostState::Gone) {
                self.suspected.insert(name.clone());
            } else {
                self.suspected.remove(&name);
            }
            self.broadcast_host_state(now, &name, state, out);
        }
        self.renew_and_expire(now, out);
    }

    /// Drops expired suspicions, and renews the rumor that this host leaves.
    fn renew_and_expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.renew {
            return;
        }
        self.due.renew = now + self.timings.rumor_ttl / EXPIRY_CHECKS;
        for name in self.table.expire_suspicions(now, self.timings.rumor_ttl) {
            self.refresh_one(now, &name, out);
        }
        let ttl = self.timings.rumor_ttl;
        for reports in self.silence_reports.values_mut() {
            reports.retain(|_, report| now < report.reported_at + ttl);
        }
        self.refresh_silent(out);
        if self.state == HostState::Leaving {
            self.broadcast_own_state(now, out);
        }
    }

    fn check_domains(&mut self, now: Duration, out: &mut Vec<Action>) {
        let expected = self.topology.expected.clone();
        for domain in &expected {
            let heard = *self.last_direct.entry(domain.clone()).or_insert(now);
            let silent = now >= heard + self.timings.gone_after;
            let me = &self.me.name;
            let own = self
                .silence_reports
                .get(domain)
                .and_then(|reports| reports.get(me));
            let renew =
                own.is_some_and(|report| now >= report.reported_at + self.timings.rumor_ttl / 2);
            if own.is_some_and(|report| report.silent) != silent || (silent && renew) {
                self.broadcast_domain_state(now, domain, silent, out);
            }
        }
        // A host that no longer receives messages from a domain withdraws its report on the
        // domain's silence.
        let stale: Vec<_> = self
            .silence_reports
            .iter()
            .filter(|(domain, _)| !expected.contains(*domain))
            .filter(|(_, reports)| {
                reports
                    .get(&self.me.name)
                    .is_some_and(|report| report.silent)
            })
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in stale {
            self.broadcast_domain_state(now, &domain, false, out);
        }
        self.last_direct
            .retain(|domain, _| expected.contains(domain));
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.heartbeat {
            return;
        }
        self.due.heartbeat = now + self.timings.heartbeat;
        self.heartbeat += 1;
        let beat = Beat {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            beat: self.heartbeat,
            state: self.state,
            revision: self.revision,
            sum: self.rumors.checksum(now),
        };
        let to = if std::mem::take(&mut self.announce_revision) {
            &self.topology.local_peers
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
        self.unchanged_rounds += 1;
        if self.facts_stamp != self.reported_stamp || self.unchanged_rounds >= MAX_UNCHANGED_ROUNDS
        {
            self.reported_stamp = self.facts_stamp;
            self.unchanged_rounds = 0;
            send(&self.topology.local_peers, &self.make_report(false), out);
        }
    }

    /// Builds a report. Shares are a third of its size, and only a starting host needs those of
    /// other hosts.
    fn make_report(&self, shares: bool) -> Message {
        let mut facts = self.facts.clone();
        facts.revision = self.revision;
        if !shares {
            facts.shares.clear();
        }
        Message::Report(Report {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            stamp: self.facts_stamp,
            facts,
        })
    }

    fn send_digests(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.digest {
            return;
        }
        self.due.digest = now + self.timings.digest;
        if self.topology.remote_peers.is_empty() {
            return;
        }
        self.digest_stamp += 1;
        let plain = self.make_digest(now);
        for peer in &self.topology.remote_peers {
            let region = self.table.hosts.get(peer).map(|host| &host.region);
            let digest = Digest {
                grants: region.map_or_else(Vec::new, |region| self.grants_to(region)),
                ..plain.clone()
            };
            out.push(Action::Send {
                to: peer.clone(),
                message: Message::Digest(digest),
            });
        }
    }

    /// Summarizes this domain as this host sees it.
    fn make_digest(&self, now: Duration) -> Digest {
        let hosts: Vec<_> = self.serving_local().collect();
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
            sum: self.rumors.checksum(now),
            grants: Vec::new(),
        }
    }

    /// Returns the serving hosts of this domain.
    fn serving_local(&self) -> impl Iterator<Item = &Arc<str>> {
        let local = self.topology.local_peers.iter().chain([&self.me.name]);
        local.filter(|name| self.state_of(name) == HostState::Serving)
    }

    /// Returns grants of this domain's hosts to a region, a few at a time in rotation.
    fn grants_to(&self, region: &str) -> Vec<Grant> {
        let reports = self.reports.values().map(|(report, _)| &report.facts);
        let all: Vec<&Grant> = reports
            .chain([&self.facts])
            .flat_map(|facts| &facts.grants)
            .filter(|grant| *grant.region == *region)
            .collect();
        let first = self.digest_stamp as usize * MAX_DIGEST_GRANTS % all.len().max(1);
        let selected = all
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_DIGEST_GRANTS.min(all.len()));
        selected.map(|grant| (*grant).clone()).collect()
    }

    /// Relays the digests received since the last round within the domain.
    fn relay_digests(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.due.relay {
            return;
        }
        self.due.relay = now + self.timings.relay_interval;
        let mut digests = std::mem::take(&mut self.pending_digests);
        digests.retain(|domain, _| self.topology.relayed.contains(domain));
        if digests.is_empty() {
            return;
        }
        let far = Far {
            name: self.me.name.clone(),
            digests: digests.into_values().collect(),
        };
        send(&self.topology.local_peers, &Message::Far(far), out);
    }
}

fn send(to: &[Arc<str>], message: &Message, out: &mut Vec<Action>) {
    out.extend(to.iter().map(|name| Action::Send {
        to: name.clone(),
        message: message.clone(),
    }));
}
