//! Graceful shutdown: handover of the records to the other participants of their keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use dunlinrock_schema::once::{EndKind, Handed, Handover, HandoverAnswer, Message};

use super::{
    Ledger, Role,
    timers::EpochStatus,
    witness::{accepts_peer_end, end_of, end_without_answer},
};
use crate::{
    Action, Key,
    record::{PeerRequest, PeerStatus, Record, State},
};

/// Maximum number of unacknowledged parts for each peer. A full ledger has hundreds of parts. Sent
/// all at once, and resent while the first ones are still being read, they would delay the
/// heartbeats that are sent at the same time.
const MAX_PARTS_IN_FLIGHT: usize = 4;

/// Graceful shutdown of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Stop {
    /// Incarnations that receive the records.
    peers: BTreeSet<u64>,
    /// Time at which the handover starts even if records are still open.
    deadline: Duration,
    /// The handover, once it has started.
    in_progress: Option<InProgress>,
}

/// Handover in progress. From its start, this host neither accepts a key nor expires an epoch, so
/// that the parts do not change until the peer has all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InProgress {
    started_at: Duration,
    /// Time at which peers that do not answer are given up; extended with each acknowledgement.
    deadline: Duration,
    /// Time at which the unacknowledged parts are resent.
    resend_at: Duration,
    /// Oldest and newest active epoch at `started_at`.
    epochs: (u64, u64),
    /// Number of parts for each peer.
    part_counts: BTreeMap<u64, u32>,
    /// Keys of each part that its peer has not acknowledged, by peer and part.
    parts: BTreeMap<(u64, u32), Vec<Key>>,
}

impl Stop {
    pub(super) fn open(peers: &[u64], deadline: Duration) -> Stop {
        Stop {
            peers: peers.iter().copied().collect(),
            deadline,
            in_progress: None,
        }
    }

    pub(super) fn frozen_at(&self) -> Option<Duration> {
        self.in_progress
            .as_ref()
            .map(|in_progress| in_progress.started_at)
    }

    pub(super) fn is_complete(&self) -> bool {
        self.in_progress
            .as_ref()
            .is_some_and(|in_progress| in_progress.parts.is_empty())
    }

    pub(super) fn parts_left(&self) -> usize {
        self.in_progress
            .as_ref()
            .map_or(0, |in_progress| in_progress.parts.len())
    }

    /// Returns the time of the next step of the shutdown.
    pub(super) fn due(&self) -> Option<Duration> {
        match &self.in_progress {
            None => Some(self.deadline),
            Some(in_progress) if in_progress.parts.is_empty() => None,
            Some(in_progress) => Some(in_progress.resend_at.min(in_progress.deadline)),
        }
    }

    /// Returns the parts that may be in flight to a peer: the first unacknowledged ones.
    fn parts_in_flight(&self, peer: u64) -> impl Iterator<Item = (u32, &Vec<Key>)> {
        let parts = self.in_progress.iter().flat_map(move |in_progress| {
            let all = (peer, 0)..=(peer, u32::MAX);
            in_progress.parts.range(all)
        });
        parts
            .map(|((_, part), keys)| (*part, keys))
            .take(MAX_PARTS_IN_FLIGHT)
    }

    /// Removes a peer that no longer takes part in the handover.
    pub(super) fn remove_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
        if let Some(in_progress) = &mut self.in_progress {
            in_progress.parts.retain(|(to, _), _| *to != peer);
        }
    }
}

impl Ledger {
    /// Advances a graceful shutdown, if there is one.
    pub(super) fn advance_stop(&mut self, out: &mut Vec<Action>) {
        let Some(stop) = &self.stop else {
            return;
        };
        if stop.in_progress.is_none() {
            if self.table.open_records() == 0 || self.clock >= stop.deadline {
                self.start_handover(out);
            }
            return;
        }
        if stop.due().is_some_and(|due| due <= self.clock) {
            self.resend_parts(out);
        }
    }

    fn start_handover(&mut self, out: &mut Vec<Action>) {
        self.close_claims(out);
        let epochs = (self.oldest_epoch(), self.epoch(self.clock));
        let parts = self.split_parts();
        let Some(stop) = &mut self.stop else {
            return;
        };
        let mut part_counts = BTreeMap::new();
        for (peer, _) in parts.keys() {
            *part_counts.entry(*peer).or_default() += 1;
        }
        stop.in_progress = Some(InProgress {
            started_at: self.clock,
            deadline: self.clock + self.limits.handover_timeout,
            resend_at: self.clock + self.limits.nonzero_resend_interval(),
            epochs,
            part_counts,
            parts,
        });
        self.send_parts(out);
    }

    /// Closes the keys whose claim is not answered yet: their attempts are resolved, and a late
    /// grant dispatches nothing.
    fn close_claims(&mut self, out: &mut Vec<Action>) {
        let keys: Vec<Key> = self.table.pending_keys().cloned().collect();
        for key in keys {
            let Some(mut record) = self.table.take(&key) else {
                continue;
            };
            if record.state == State::Claiming {
                self.give_up_request(&key, &mut record, out);
            }
            self.put(key, record);
        }
    }

    /// Splits the records into parts by peer. A peer without records gets one empty part, so that
    /// it knows that this host runs no more requests.
    fn split_parts(&self) -> BTreeMap<(u64, u32), Vec<Key>> {
        let mut parts = BTreeMap::new();
        let Some(stop) = &self.stop else {
            return parts;
        };
        let mut last: BTreeMap<u64, (u32, usize)> = BTreeMap::new();
        for peer in &stop.peers {
            last.insert(*peer, (0, 0));
            parts.insert((*peer, 0), Vec::new());
        }
        for (key, record) in self.table.iter() {
            let Some((part, bytes)) = last.get_mut(&self.peer_of(key)) else {
                continue;
            };
            if key.is_single_host() || !needs_handover(&record.state) {
                continue;
            }
            let size = answer_len(&record.state);
            let keys = parts.entry((self.peer_of(key), *part)).or_default();
            let full = keys.len() >= self.limits.part_records.max(1)
                || (!keys.is_empty() && *bytes + size > self.limits.part_bytes);
            if full {
                *part += 1;
                *bytes = 0;
            }
            *bytes += size;
            let keys = parts.entry((self.peer_of(key), *part)).or_default();
            keys.push(key.clone());
        }
        parts
    }

    /// Sends the parts that may be in flight to each peer.
    fn send_parts(&self, out: &mut Vec<Action>) {
        let Some(stop) = &self.stop else {
            return;
        };
        for peer in &stop.peers {
            for (part, keys) in stop.parts_in_flight(*peer) {
                self.send_part(*peer, part, keys, out);
            }
        }
    }

    fn send_part(&self, to: u64, part: u32, keys: &[Key], out: &mut Vec<Action>) {
        let Some(in_progress) = self
            .stop
            .as_ref()
            .and_then(|stop| stop.in_progress.as_ref())
        else {
            return;
        };
        let message = Message::Handover(Handover {
            first_epoch: in_progress.epochs.0,
            last_epoch: in_progress.epochs.1,
            part,
            parts: in_progress.part_counts.get(&to).copied().unwrap_or(1),
            records: keys
                .iter()
                .filter_map(|key| self.handed_record(key))
                .collect(),
        });
        out.push(Action::SendMessage { to, message });
    }

    fn handed_record(&self, key: &Key) -> Option<Handed> {
        let record = self.table.get(key)?;
        // A request that is still at a target at the deadline may have run.
        let end = end_of(&record.state).unwrap_or_else(|| end_without_answer(EndKind::Unknown));
        Some(Handed {
            caller: record.fingerprint,
            end,
            key: key.to_string().into(),
        })
    }

    fn resend_parts(&mut self, out: &mut Vec<Action>) {
        let resend_at = self.clock + self.limits.nonzero_resend_interval();
        let clock = self.clock;
        let Some(in_progress) = self
            .stop
            .as_mut()
            .and_then(|stop| stop.in_progress.as_mut())
        else {
            return;
        };
        if in_progress.deadline <= clock {
            in_progress.parts.clear();
            return;
        }
        in_progress.resend_at = resend_at;
        self.send_parts(out);
    }

    pub(super) fn on_handover_answer(
        &mut self,
        from: u64,
        answer: &HandoverAnswer,
        out: &mut Vec<Action>,
    ) {
        let deadline = self.clock + self.limits.handover_timeout;
        let Some(stop) = &mut self.stop else {
            return;
        };
        if !answer.accepted {
            stop.remove_peer(from);
            return;
        }
        let Some(in_progress) = &mut stop.in_progress else {
            return;
        };
        if in_progress.parts.remove(&(from, answer.part)).is_none() {
            return;
        }
        in_progress.deadline = deadline;
        // The part that the acknowledgement made eligible; the others are already in flight.
        let next = self
            .stop
            .as_ref()
            .and_then(|stop| stop.parts_in_flight(from).nth(MAX_PARTS_IN_FLIGHT - 1));
        if let Some((part, keys)) = next {
            self.send_part(from, part, keys, out);
        }
    }

    /// Processes a part of a peer's handover.
    pub(super) fn on_handover(&mut self, from: u64, handover: Handover, out: &mut Vec<Action>) {
        let Handover {
            first_epoch,
            last_epoch,
            part,
            parts,
            records,
        } = handover;
        let mut accepted = true;
        for handed in records {
            accepted &= self.on_handed_record(from, handed, out);
        }
        let message = Message::HandoverAnswer(HandoverAnswer { accepted, part });
        out.push(Action::SendMessage { to: from, message });
        if !accepted {
            return;
        }
        let clock = self.clock;
        let peer = self.peers.entry(from).or_default();
        peer.updated_at = clock;
        peer.received_parts.insert(part);
        let received = u32::try_from(peer.received_parts.len()).unwrap_or(u32::MAX);
        if received >= parts || self.limits.faults.first_part {
            peer.handed_over = Some((first_epoch, last_epoch));
            self.on_handover_complete(from, out);
        }
    }

    /// Processes a record of a handover. Returns `false` if it has to be stored and the ledger is
    /// at capacity.
    fn on_handed_record(&mut self, from: u64, handed: Handed, out: &mut Vec<Action>) -> bool {
        let Ok(key) = handed.key.parse::<Key>() else {
            return true;
        };
        let role = self.role(&key);
        if role == Role::Neither || key.is_single_host() || self.peer_of(&key) != from {
            return true;
        }
        match self.table.take(&key) {
            Some(record) => {
                self.on_handed_known(&key, record, handed, out);
                true
            }
            None => role == Role::Witness || self.on_handed_new(key, handed, out),
        }
    }

    fn on_handed_known(
        &mut self,
        key: &Key,
        mut record: Record,
        handed: Handed,
        out: &mut Vec<Action>,
    ) {
        if record.state == State::Claiming || accepts_peer_end(&record.state) {
            let mismatch = record.fingerprint != handed.caller;
            let end = if mismatch {
                end_without_answer(EndKind::Mismatch)
            } else {
                handed.end
            };
            self.accept_peer_end(key, &mut record, end, out);
        }
        self.put(key.clone(), record);
    }

    /// Stores the record of a key that the witness accepted and that is new to the owner. The owner
    /// no longer asks for a claim after a handover; without the record it would run the request a
    /// second time.
    fn on_handed_new(&mut self, key: Key, handed: Handed, out: &mut Vec<Action>) -> bool {
        if self.epoch_status(&key) == EpochStatus::Expired {
            return true;
        }
        if self.is_full() {
            return self.limits.faults.lose_handed;
        }
        let mut record = Record::open(handed.caller, State::Closed(PeerStatus::Unknown));
        self.accept_peer_end(&key, &mut record, handed.end, out);
        self.put(key, record);
        true
    }

    /// Ends the pending requests to a witness whose handover is complete.
    fn on_handover_complete(&mut self, from: u64, out: &mut Vec<Action>) {
        for key in self.keys_pending_on(from) {
            if self.role(&key) != Role::Owner || !self.is_handed_over(&key) {
                continue;
            }
            let Some(mut record) = self.table.take(&key) else {
                continue;
            };
            match mem::take(&mut record.pending).map(|pending| pending.request) {
                Some(PeerRequest::Claim) => self.on_grant(&key, &mut record, out),
                _ => self.resolve(&key, &mut record, out),
            }
            self.put(key, record);
        }
    }
}

/// Returns whether a record in this state is handed over. A claiming key is not, since the peer
/// knows which claims it granted; a claimed key is not, since the peer has the request.
fn needs_handover(state: &State) -> bool {
    !matches!(state, State::Claiming | State::Claimed)
}

fn answer_len(state: &State) -> usize {
    match state {
        State::Answered { answer, .. } => answer.len(),
        _ => 0,
    }
}
