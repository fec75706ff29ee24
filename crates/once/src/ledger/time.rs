//! Time: epochs that end, talks that are sent again or given up.

use std::time::Duration;

use dunlinrock_schema::once::{AnswerAsk, Claim, Close, Message};

use super::{Ledger, Role};
use crate::{
    Action, Key,
    record::{Other, Pending, Record, State, Talk},
};

impl Ledger {
    /// Brings the ledger to `now`: drops epochs that ended, then fires what is due.
    pub(super) fn advance(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.clock = self.clock.max(now);
        let oldest = self.oldest();
        if oldest > self.swept {
            self.swept = oldest;
            self.table.end_epochs(oldest);
            self.forget_peers();
        }
        while let Some((due, key)) = self.table.first_timer() {
            if *due > self.clock {
                break;
            }
            let key = key.clone();
            self.fire(key, out);
        }
    }

    /// Oldest epoch held.
    pub(super) fn oldest(&self) -> u64 {
        let before = self.limits.retained_epochs.saturating_sub(1);
        self.epoch(self.clock).saturating_sub(before)
    }

    /// Forgets peers that no key of an epoch still held can name. To forget one is safe: its keys
    /// are asked for again, and closed when no answer comes.
    fn forget_peers(&mut self) {
        let epochs = u32::try_from(self.limits.retained_epochs).unwrap_or(u32::MAX);
        let keep = self
            .limits
            .epoch_length
            .saturating_mul(epochs.saturating_add(1));
        let clock = self.clock;
        self.peers
            .retain(|_, peer| peer.seen.saturating_add(keep) > clock);
    }

    fn fire(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.take(&key) else {
            return;
        };
        match record.pending.as_deref().copied() {
            Some(pending) if pending.until <= self.clock => {
                self.give_up(&key, &mut record, out);
            }
            Some(pending) => self.talk_again(&key, &mut record, pending, out),
            None => {}
        }
        self.put(key, record);
    }

    fn talk_again(
        &mut self,
        key: &Key,
        record: &mut Record,
        pending: Pending,
        out: &mut Vec<Action>,
    ) {
        let interval = pending.interval.saturating_mul(2);
        record.pending = Some(Box::new(Pending {
            again: self.clock + interval,
            interval,
            ..pending
        }));
        self.tell_talk(key, record.fingerprint, pending.talk, out);
    }

    /// Starts a talk with the other side.
    pub(super) fn talk(
        &mut self,
        key: &Key,
        record: &mut Record,
        talk: Talk,
        out: &mut Vec<Action>,
    ) {
        let timeout = match talk {
            Talk::Claim => self.limits.claim_timeout,
            Talk::Close | Talk::Ask => self.limits.answer_timeout,
        };
        record.pending = Some(Box::new(Pending {
            talk,
            until: self.clock + timeout,
            again: self.clock + self.limits.nonzero_resend_interval(),
            interval: self.limits.nonzero_resend_interval(),
        }));
        self.tell_talk(key, record.fingerprint, talk, out);
    }

    fn tell_talk(&self, key: &Key, caller: u64, talk: Talk, out: &mut Vec<Action>) {
        let text = key.to_string().into();
        let message = match talk {
            Talk::Claim => Message::Claim(Claim { caller, key: text }),
            Talk::Close => Message::Close(Close { caller, key: text }),
            Talk::Ask => Message::AnswerAsk(AnswerAsk { caller, key: text }),
        };
        let to = self.other(key);
        out.push(Action::SendMessage { to, message });
    }

    /// Ends a talk without the other side's word.
    ///
    /// A claim without a word may have been granted or taken; the owner closes the key for good, so
    /// that a grant which comes later, or is found after a pause, sends nothing.
    pub(super) fn give_up(&mut self, key: &Key, record: &mut Record, out: &mut Vec<Action>) {
        let Some(pending) = record.pending.take() else {
            return;
        };
        match pending.talk {
            Talk::Claim if self.limits.faults.late_grant => {
                let waiter = record.waiters.first().copied();
                self.refuse_closed(key, record, out);
                record.waiters.extend(waiter);
            }
            Talk::Claim => {
                record.state = State::Closed(Other::Unsure);
                self.settle(key, record, out);
            }
            Talk::Close | Talk::Ask => self.refuse_silent(record, out),
        }
    }

    pub(super) fn on_gone(&mut self, incarnation: u64, out: &mut Vec<Action>) {
        let clock = self.clock;
        let peer = self.peers.entry(incarnation).or_default();
        peer.gone = true;
        peer.seen = clock;
        for key in self.talking_to(incarnation) {
            if let Some(mut record) = self.table.take(&key) {
                self.give_up(&key, &mut record, out);
                self.put(key, record);
            }
        }
        if let Some(stop) = &mut self.stop {
            stop.drop_peer(incarnation);
        }
    }

    /// Keys with a talk under way with a peer.
    pub(super) fn talking_to(&self, peer: u64) -> Vec<Key> {
        let keys = self.table.talking();
        keys.filter(|key| self.other(key) == peer)
            .cloned()
            .collect()
    }

    /// Whether a key's epoch on this side is held; otherwise whether it is still to come.
    pub(super) fn epoch_standing(&self, key: &Key) -> EpochStanding {
        debug_assert_ne!(self.role(key), Role::Stranger);
        let epoch = self.table.epoch_of(key);
        if epoch > self.epoch(self.clock) {
            EpochStanding::Ahead
        } else if epoch < self.oldest() && !self.limits.faults.any_epoch {
            EpochStanding::Ended
        } else {
            EpochStanding::Held
        }
    }
}

/// Where a key's epoch stands on this side's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EpochStanding {
    Ended,
    Held,
    Ahead,
}
