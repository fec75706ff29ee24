//! Handling of messages from other hosts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Beat, Digest, Far, HostState, Message, Report, Rumors, SyncAsk};

use super::{Action, Membership};

impl Membership {
    /// Handles a message from another host. Messages about the configuration are ignored.
    pub fn handle_message(&mut self, now: Duration, message: &Message) -> Vec<Action> {
        let mut out = Vec::new();
        self.notice_pause(now, &mut out);
        match message {
            Message::Beat(beat) => self.handle_heartbeat(now, beat, &mut out),
            Message::Report(report) => self.handle_report(now, report, &mut out),
            Message::Digest(digest) => {
                self.last_direct.insert(digest.domain.clone(), now);
                self.pending_digests
                    .insert(digest.domain.clone(), digest.clone());
                self.relay_changed_lowest(digest, &mut out);
                self.handle_digest(now, digest, &mut out);
                self.compare_checksum(now, &digest.by, digest.sum, &mut out);
            }
            Message::Far(far) => {
                for digest in &far.digests {
                    self.handle_digest(now, digest, &mut out);
                }
            }
            Message::Rumors(rumors) => {
                self.handle_rumors(now, &rumors.name, &rumors.rumors, &mut out);
                if rumors.sync {
                    self.mark_caught_up(&mut out);
                }
            }
            Message::SyncAsk(ask) => self.handle_sync_ask(now, ask, &mut out),
            _ => {}
        }
        out
    }

    fn handle_heartbeat(&mut self, now: Duration, beat: &Beat, out: &mut Vec<Action>) {
        if beat.name == self.me.name {
            self.check_own_incarnation(beat.incarnation, out);
            return;
        }
        self.table.apply_heartbeat(beat, now);
        self.refresh_one(now, &beat.name, out);
        self.notify_revision(&beat.name, beat.revision, out);
        self.compare_checksum(now, &beat.name, beat.sum, out);
    }

    fn handle_report(&mut self, now: Duration, report: &Report, out: &mut Vec<Action>) {
        let newer = self.reports.get(&report.name).is_none_or(|(old, _)| {
            (report.incarnation, report.stamp) >= (old.incarnation, old.stamp)
        });
        if newer {
            let entry = (report.clone(), now);
            self.reports.insert(report.name.clone(), entry);
            self.table
                .apply_revision(&report.name, report.incarnation, report.facts.revision);
            self.notify_revision(&report.name, report.facts.revision, out);
        }
    }

    fn handle_digest(&mut self, now: Duration, digest: &Digest, out: &mut Vec<Action>) {
        // A restarted host counts its digests from the beginning.
        let newer = self.digests.get(&digest.domain).is_none_or(|(old, _)| {
            let order = |digest: &Digest| (digest.incarnation, digest.stamp);
            old.by != digest.by || order(old) < order(digest)
        });
        if newer && digest.domain != self.me.domain {
            let entry = (digest.clone(), now);
            self.digests.insert(digest.domain.clone(), entry);
            self.notify_revision(&digest.by, digest.highest, out);
        }
    }

    /// Relays a digest at once if the lowest revision of its domain changed: an operator waits for
    /// an apply to be active everywhere.
    fn relay_changed_lowest(&mut self, digest: &Digest, out: &mut Vec<Action>) {
        let last = self.relayed_lowest.get(&digest.domain);
        if last == Some(&digest.lowest) || !self.topology.relayed.contains(&digest.domain) {
            return;
        }
        self.relayed_lowest
            .insert(digest.domain.clone(), digest.lowest);
        let far = Message::Far(Far {
            name: self.me.name.clone(),
            digests: vec![digest.clone()],
        });
        out.extend(self.topology.local_peers.iter().map(|name| Action::Send {
            to: name.clone(),
            message: far.clone(),
        }));
    }

    fn notify_revision(&self, peer: &Arc<str>, revision: u64, out: &mut Vec<Action>) {
        if revision > self.revision {
            out.push(Action::PeerRevision {
                peer: peer.clone(),
                revision,
            });
        }
    }

    /// Requests missing rumors if another host's checksum has differed for a while. A rumor in
    /// transit, or one that expires here a moment before it expires there, makes checksums differ
    /// although none is missing.
    fn compare_checksum(
        &mut self,
        now: Duration,
        from: &Arc<str>,
        sum: u64,
        out: &mut Vec<Action>,
    ) {
        if sum == self.rumors.checksum(now) {
            self.mismatch_since.remove(from);
            return;
        }
        let since = *self.mismatch_since.entry(from.clone()).or_insert(now);
        if now >= since + self.timings.sync / 2 && now >= self.due.sync {
            self.send_sync_ask(now, from, out);
        }
    }

    pub(super) fn send_sync_ask(&mut self, now: Duration, of: &Arc<str>, out: &mut Vec<Action>) {
        self.due.sync = now + self.timings.sync;
        let ask = SyncAsk {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            callers: self.me.callers.clone(),
            peers: self.me.peers.clone(),
            have: self.rumors.keys(),
        };
        out.push(Action::Send {
            to: of.clone(),
            message: Message::SyncAsk(ask),
        });
    }

    fn handle_sync_ask(&mut self, now: Duration, ask: &SyncAsk, out: &mut Vec<Action>) {
        if ask.name == self.me.name {
            self.check_own_incarnation(ask.incarnation, out);
            return;
        }
        let known = self.table.hosts.get(&ask.name);
        let stale = known.is_some_and(|host| host.incarnation > ask.incarnation);
        if !stale {
            self.table.introduce(ask, &self.me.domain, now);
            self.refresh(now, out);
        }
        let have: BTreeSet<u64> = ask.have.iter().copied().collect();
        let mut rumors = self.rumors.missing_from(&have, now);
        if stale {
            rumors.extend(self.later_incarnation(&ask.name));
        }
        if ask.domain == self.me.domain && !stale {
            self.newcomers.insert(ask.name.clone());
        }
        out.push(Action::Send {
            to: ask.name.clone(),
            message: Message::Rumors(Rumors {
                name: self.me.name.clone(),
                sync: !stale,
                rumors,
            }),
        });
    }

    /// Returns a rumor for a paused host that it was replaced. The newer process broadcast it once,
    /// and that rumor may have expired long ago.
    fn later_incarnation(&self, name: &Arc<str>) -> Option<dunlinrock_schema::coord::Rumor> {
        let host = self.table.hosts.get(name)?;
        let word = dunlinrock_schema::coord::StateWord {
            name: name.clone(),
            incarnation: host.incarnation,
            beat: host.heartbeat,
            state: HostState::Serving,
            by: name.clone(),
            turn: 0,
        };
        Some(dunlinrock_schema::coord::Rumor {
            origin: host.domain.clone(),
            ttl_ms: self.timings.rumor_ttl.as_millis() as u64,
            word: dunlinrock_schema::coord::Word::State(word),
        })
    }
}
