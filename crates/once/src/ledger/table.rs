//! Records of a ledger, with indexes for limits and timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    Key,
    record::{Record, State},
};

/// Records by this host's epoch and key.
///
/// A record is changed by [`Table::take`] and [`Table::put`], so that only these two update the
/// indexes of open records and timers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Table {
    incarnation: u64,
    epochs: BTreeMap<u64, BTreeMap<Key, Record>>,
    /// Number of records in `epochs`.
    records: usize,
    /// Number of open records in `epochs`.
    open: usize,
    /// Time at which each pending request to a peer is due, with its key.
    timers: BTreeSet<(Duration, Key)>,
    /// Key of each waiting attempt, by attempt id.
    attempts: BTreeMap<u64, Key>,
    /// Keys with a cached answer, in the order in which the answers were added.
    answers: BTreeMap<u64, Key>,
    /// Total size of the cached answers in bytes.
    answer_bytes: usize,
    /// Position of the next answer in `answers`.
    next_order: u64,
}

impl Table {
    pub(crate) fn open(incarnation: u64) -> Table {
        Table {
            incarnation,
            ..Table::default()
        }
    }

    /// Returns this host's epoch in a key that names this host.
    pub(crate) fn epoch_of(&self, key: &Key) -> u64 {
        if key.owner.incarnation == self.incarnation {
            key.owner.epoch
        } else {
            key.witness.epoch
        }
    }

    pub(crate) fn get(&self, key: &Key) -> Option<&Record> {
        self.epochs.get(&self.epoch_of(key))?.get(key)
    }

    /// Removes and returns a record, to be changed and put back.
    pub(crate) fn take(&mut self, key: &Key) -> Option<Record> {
        let epoch = self.epoch_of(key);
        let record = self.epochs.get_mut(&epoch)?.remove(key)?;
        self.records -= 1;
        self.open -= usize::from(record.is_open());
        if let Some(pending) = &record.pending {
            self.timers.remove(&(pending.due(), key.clone()));
        }
        Some(record)
    }

    /// Inserts a record for a key that has none.
    pub(crate) fn put(&mut self, key: Key, record: Record) {
        self.records += 1;
        self.open += usize::from(record.is_open());
        if let Some(pending) = &record.pending {
            self.timers.insert((pending.due(), key.clone()));
        }
        let epoch = self.epoch_of(&key);
        self.epochs.entry(epoch).or_default().insert(key, record);
    }

    /// Removes the cached answer of a record that was taken out and is not put back.
    pub(crate) fn release_answer(&mut self, record: &Record) {
        if let State::Answered { order, answer } = &record.state {
            self.answer_bytes -= answer.len();
            self.answers.remove(order);
        }
    }

    /// Caches the answer of a record that was taken out, and evicts the oldest answers beyond
    /// `capacity` bytes. The answer itself must not exceed `capacity`.
    pub(crate) fn cache_answer(&mut self, key: &Key, answer: Arc<[u8]>, capacity: usize) -> State {
        self.answer_bytes += answer.len();
        while self.answer_bytes > capacity {
            let Some((_, oldest)) = self.answers.pop_first() else {
                break;
            };
            self.drop_answer(&oldest);
        }
        let order = self.next_order;
        self.next_order += 1;
        self.answers.insert(order, key.clone());
        State::Answered { order, answer }
    }

    fn drop_answer(&mut self, key: &Key) {
        let epoch = self.epoch_of(key);
        let Some(records) = self.epochs.get_mut(&epoch) else {
            return;
        };
        let Some(record) = records.get_mut(key) else {
            return;
        };
        if let State::Answered { answer, .. } = &record.state {
            self.answer_bytes -= answer.len();
            record.state = State::Evicted;
        }
    }

    /// Drops the idle records of epochs before `oldest`. The others are dropped when their requests
    /// end.
    pub(crate) fn drop_epochs_before(&mut self, oldest: u64) {
        let later = self.epochs.split_off(&oldest);
        let ended = std::mem::replace(&mut self.epochs, later);
        for (epoch, mut records) in ended {
            records.retain(|_, record| {
                let keep = !record.is_idle();
                if !keep {
                    self.records -= 1;
                    if let State::Answered { order, answer } = &record.state {
                        self.answer_bytes -= answer.len();
                        self.answers.remove(order);
                    }
                }
                keep
            });
            if !records.is_empty() {
                self.epochs.insert(epoch, records);
            }
        }
    }

    /// Removes the map of an expired epoch if it is empty.
    pub(crate) fn remove_empty_epoch(&mut self, epoch: u64) {
        if self.epochs.get(&epoch).is_some_and(BTreeMap::is_empty) {
            self.epochs.remove(&epoch);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.epochs.values().flatten()
    }

    /// Returns the earliest timer.
    pub(crate) fn first_timer(&self) -> Option<&(Duration, Key)> {
        self.timers.first()
    }

    /// Returns the keys with a pending request to the peer.
    pub(crate) fn pending_keys(&self) -> impl Iterator<Item = &Key> {
        self.timers.iter().map(|(_, key)| key)
    }

    pub(crate) fn add_attempt(&mut self, attempt_id: u64, key: Key) {
        self.attempts.insert(attempt_id, key);
    }

    pub(crate) fn remove_attempt(&mut self, attempt_id: u64) -> Option<Key> {
        self.attempts.remove(&attempt_id)
    }

    pub(crate) fn records(&self) -> usize {
        self.records
    }

    pub(crate) fn open_records(&self) -> usize {
        self.open
    }

    pub(crate) fn waiting(&self) -> usize {
        self.attempts.len()
    }

    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }
}
