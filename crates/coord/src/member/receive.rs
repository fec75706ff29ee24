//! Messages from other hosts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Beat, Digest, Far, HostState, Message, Report, Rumors, SyncAsk};

use super::{Action, Membership};

impl Membership {
    /// Takes a message from another host. Messages about the configuration are none of its
    /// business and are ignored.
    pub fn handle_message(&mut self, now: Duration, message: &Message) -> Vec<Action> {
        let mut out = Vec::new();
        self.notice_pause(now, &mut out);
        match message {
            Message::Beat(beat) => self.beat_came(now, beat, &mut out),
            Message::Report(report) => self.report_came(now, report, &mut out),
            Message::Digest(digest) => {
                self.direct.insert(digest.domain.clone(), now);
                self.heard.insert(digest.domain.clone(), digest.clone());
                self.pass_lowest(digest, &mut out);
                self.digest_came(now, digest, &mut out);
                self.compare(now, &digest.by, digest.sum, &mut out);
            }
            Message::Far(far) => {
                for digest in &far.digests {
                    self.digest_came(now, digest, &mut out);
                }
            }
            Message::Rumors(rumors) => {
                self.rumors(now, &rumors.name, &rumors.rumors, &mut out);
                if rumors.sync {
                    self.heard_from_others(&mut out);
                }
            }
            Message::SyncAsk(ask) => self.sync_came(now, ask, &mut out),
            _ => {}
        }
        out
    }

    fn beat_came(&mut self, now: Duration, beat: &Beat, out: &mut Vec<Action>) {
        if beat.name == self.me.name {
            self.other_me(beat.incarnation, out);
            return;
        }
        self.table.beat(beat, now);
        self.refresh_one(now, &beat.name, out);
        self.revision_came(&beat.name, beat.revision, out);
        self.compare(now, &beat.name, beat.sum, out);
    }

    fn report_came(&mut self, now: Duration, report: &Report, out: &mut Vec<Action>) {
        let newer = self.reports.get(&report.name).is_none_or(|(old, _)| {
            (report.incarnation, report.stamp) >= (old.incarnation, old.stamp)
        });
        if newer {
            let entry = (report.clone(), now);
            self.reports.insert(report.name.clone(), entry);
            self.table
                .revision(&report.name, report.incarnation, report.facts.revision);
            self.revision_came(&report.name, report.facts.revision, out);
        }
    }

    fn digest_came(&mut self, now: Duration, digest: &Digest, out: &mut Vec<Action>) {
        // A restarted host counts from the beginning.
        let newer = self.digests.get(&digest.domain).is_none_or(|(old, _)| {
            let place = |one: &Digest| (one.incarnation, one.stamp);
            old.by != digest.by || place(old) < place(digest)
        });
        if newer && digest.domain != self.me.domain {
            let entry = (digest.clone(), now);
            self.digests.insert(digest.domain.clone(), entry);
            self.revision_came(&digest.by, digest.highest, out);
        }
    }

    /// Passes a digest on at once where a whole domain has come to another revision: an operator
    /// waits to hear that an apply is in force everywhere.
    fn pass_lowest(&mut self, digest: &Digest, out: &mut Vec<Action>) {
        let last = self.lowest_passed.get(&digest.domain);
        if last == Some(&digest.lowest) || !self.topology.passed.contains(&digest.domain) {
            return;
        }
        self.lowest_passed
            .insert(digest.domain.clone(), digest.lowest);
        let far = Message::Far(Far {
            name: self.me.name.clone(),
            digests: vec![digest.clone()],
        });
        out.extend(self.topology.near.iter().map(|name| Action::Send {
            to: name.clone(),
            message: far.clone(),
        }));
    }

    fn revision_came(&self, peer: &Arc<str>, revision: u64, out: &mut Vec<Action>) {
        if revision > self.revision {
            out.push(Action::PeerRevision {
                peer: peer.clone(),
                revision,
            });
        }
    }

    /// Asks for words where another host's sum has differed for a while. A word that is on its way,
    /// or ends here a moment before it ends there, makes sums differ without any being missed.
    fn compare(&mut self, now: Duration, from: &Arc<str>, sum: u64, out: &mut Vec<Action>) {
        if sum == self.words.sum(now) {
            self.differs.remove(from);
            return;
        }
        let since = *self.differs.entry(from.clone()).or_insert(now);
        if now >= since + self.timings.sync / 2 && now >= self.due.sync {
            self.ask(now, from, out);
        }
    }

    pub(super) fn ask(&mut self, now: Duration, of: &Arc<str>, out: &mut Vec<Action>) {
        self.due.sync = now + self.timings.sync;
        let ask = SyncAsk {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            callers: self.me.callers.clone(),
            peers: self.me.peers.clone(),
            have: self.words.keys(),
        };
        out.push(Action::Send {
            to: of.clone(),
            message: Message::SyncAsk(ask),
        });
    }

    fn sync_came(&mut self, now: Duration, ask: &SyncAsk, out: &mut Vec<Action>) {
        if ask.name == self.me.name {
            self.other_me(ask.incarnation, out);
            return;
        }
        let known = self.table.hosts.get(&ask.name);
        let stale = known.is_some_and(|host| host.incarnation > ask.incarnation);
        if !stale {
            self.table.introduce(ask, &self.me.domain, now);
            self.refresh(now, out);
        }
        let have: BTreeSet<u64> = ask.have.iter().copied().collect();
        let mut rumors = self.words.lacking(&have, now);
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

    /// Word for a paused host that it was replaced. It was once said by the newer process, and
    /// that word may have ended long ago.
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
