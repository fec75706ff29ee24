//! Timers: expiry of epochs, resends and timeouts of requests to the peer.

use std::time::Duration;

use dunlinrock_schema::once::{AnswerAsk, Claim, Close, Message};

use super::{Ledger, Role};
use crate::{
    Action, Key,
    record::{PeerRequest, PeerStatus, Pending, Record, State},
};

impl Ledger {
    /// Advances the ledger to `now`: drops expired epochs, then fires the timers that are due.
    pub(super) fn advance(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.clock = self.clock.max(now);
        let oldest = self.oldest_epoch();
        if oldest > self.oldest_retained {
            self.oldest_retained = oldest;
            self.table.drop_epochs_before(oldest);
            self.remove_expired_peers();
        }
        while let Some((due, key)) = self.table.first_timer() {
            if *due > self.clock {
                break;
            }
            let key = key.clone();
            self.fire_timer(key, out);
        }
    }

    /// Returns the oldest active epoch.
    pub(super) fn oldest_epoch(&self) -> u64 {
        let earlier = self.limits.retained_epochs.saturating_sub(1);
        self.epoch(self.clock).saturating_sub(earlier)
    }

    /// Removes peers that no key of an active epoch can name. Removing a peer too early is safe:
    /// its keys need a claim again, and are closed if it is not answered.
    fn remove_expired_peers(&mut self) {
        let epochs = u32::try_from(self.limits.retained_epochs).unwrap_or(u32::MAX);
        let keep = self
            .limits
            .epoch_length
            .saturating_mul(epochs.saturating_add(1));
        let clock = self.clock;
        self.peers
            .retain(|_, peer| peer.updated_at.saturating_add(keep) > clock);
    }

    fn fire_timer(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.take(&key) else {
            return;
        };
        match record.pending.as_deref().copied() {
            Some(pending) if pending.deadline <= self.clock => {
                self.give_up_request(&key, &mut record, out);
            }
            Some(pending) => self.resend(&key, &mut record, pending, out),
            None => {}
        }
        self.put(key, record);
    }

    fn resend(&mut self, key: &Key, record: &mut Record, pending: Pending, out: &mut Vec<Action>) {
        let interval = pending.interval.saturating_mul(2);
        record.pending = Some(Box::new(Pending {
            resend_at: self.clock + interval,
            interval,
            ..pending
        }));
        self.send_request(key, record.fingerprint, pending.request, out);
    }

    /// Starts a request to the peer.
    pub(super) fn start_request(
        &mut self,
        key: &Key,
        record: &mut Record,
        request: PeerRequest,
        out: &mut Vec<Action>,
    ) {
        let timeout = match request {
            PeerRequest::Claim => self.limits.claim_timeout,
            PeerRequest::Close | PeerRequest::Answer => self.limits.answer_timeout,
        };
        record.pending = Some(Box::new(Pending {
            request,
            deadline: self.clock + timeout,
            resend_at: self.clock + self.limits.nonzero_resend_interval(),
            interval: self.limits.nonzero_resend_interval(),
        }));
        self.send_request(key, record.fingerprint, request, out);
    }

    fn send_request(&self, key: &Key, caller: u64, request: PeerRequest, out: &mut Vec<Action>) {
        let text = key.to_string().into();
        let message = match request {
            PeerRequest::Claim => Message::Claim(Claim { caller, key: text }),
            PeerRequest::Close => Message::Close(Close { caller, key: text }),
            PeerRequest::Answer => Message::AnswerAsk(AnswerAsk { caller, key: text }),
        };
        let to = self.peer_of(key);
        out.push(Action::SendMessage { to, message });
    }

    /// Ends a request that the peer did not answer.
    ///
    /// An unanswered claim may have been granted, or the witness may run the request. The owner
    /// closes the key permanently, so that a grant that arrives later, or is read after a pause,
    /// dispatches nothing.
    pub(super) fn give_up_request(
        &mut self,
        key: &Key,
        record: &mut Record,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = record.pending.take() else {
            return;
        };
        match pending.request {
            PeerRequest::Claim if self.limits.faults.late_grant => {
                let waiter = record.waiters.first().copied();
                self.refuse_closed(key, record, out);
                record.waiters.extend(waiter);
            }
            PeerRequest::Claim => {
                record.state = State::Closed(PeerStatus::Unknown);
                self.resolve(key, record, out);
            }
            PeerRequest::Close | PeerRequest::Answer => self.refuse_timeout(record, out),
        }
    }

    pub(super) fn on_peer_gone(&mut self, incarnation: u64, out: &mut Vec<Action>) {
        let clock = self.clock;
        let peer = self.peers.entry(incarnation).or_default();
        peer.gone = true;
        peer.updated_at = clock;
        for key in self.keys_pending_on(incarnation) {
            if let Some(mut record) = self.table.take(&key) {
                self.give_up_request(&key, &mut record, out);
                self.put(key, record);
            }
        }
        if let Some(stop) = &mut self.stop {
            stop.remove_peer(incarnation);
        }
    }

    /// Returns the keys with a pending request to a peer.
    pub(super) fn keys_pending_on(&self, peer: u64) -> Vec<Key> {
        let keys = self.table.pending_keys();
        keys.filter(|key| self.peer_of(key) == peer)
            .cloned()
            .collect()
    }

    /// Returns the status of the key's epoch on this host.
    pub(super) fn epoch_status(&self, key: &Key) -> EpochStatus {
        debug_assert_ne!(self.role(key), Role::Neither);
        let epoch = self.table.epoch_of(key);
        if epoch > self.epoch(self.clock) {
            EpochStatus::Future
        } else if epoch < self.oldest_epoch() && !self.limits.faults.any_epoch {
            EpochStatus::Expired
        } else {
            EpochStatus::Active
        }
    }
}

/// Status of a key's epoch by this host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EpochStatus {
    Expired,
    Active,
    Future,
}
