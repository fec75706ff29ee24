//! What a host believes: the newest revision it has seen of each item of the store.
//!
//! Items come from the store or from other hosts, in any order and more than once. A later revision
//! replaces an earlier one and never the other way, so that a host that changes its source does not
//! go back: a target that left does not return, nor does an older configuration.

mod view;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

pub use self::view::{Known, View};
use crate::model::{Config, Entry, Item, Target};

/// Changes kept for hosts that follow this one. Beyond them a follower gets everything anew; a
/// fleet of 600 targets changes some hundred items in its worst second.
const JOURNAL: usize = 2048;

/// How far two words on the end of a target's cold time may differ and still say the same.
const COLD_SWING: Duration = Duration::from_millis(700);

/// An item and when it was heard.
#[derive(Clone, Debug)]
struct Held {
    item: Item,
    heard: Duration,
}

/// The newest items.
///
/// Invariant: the revision held of a key never falls.
#[derive(Debug, Default)]
pub struct World {
    held: BTreeMap<Arc<str>, Held>,
    /// Number of the last change; grows with each.
    last: u64,
    /// Keys of the last changes with their numbers, oldest first.
    journal: VecDeque<(u64, Arc<str>)>,
    config: Option<Arc<Config>>,
}

impl World {
    /// Opens a world that knows nothing.
    pub fn open() -> World {
        World::default()
    }

    /// Number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Takes an item in; tells whether it changes what is believed.
    pub fn apply(&mut self, item: Item, now: Duration) -> bool {
        let known = self.held.get(&item.key);
        if known.is_some_and(|known| known.item.rev >= item.rev) {
            return false;
        }
        let same = known.is_some_and(|known| known.says(&item, now));
        if let Some(Entry::Config(config)) = &item.entry {
            self.take_config(config);
        }
        let key = Arc::clone(&item.key);
        self.held
            .insert(Arc::clone(&key), Held { item, heard: now });
        if same {
            return false;
        }
        self.note(key);
        true
    }

    /// Takes a whole reading in: what it does not name is gone, unless it is newer than the reading.
    pub fn replace(&mut self, at: u64, items: Vec<Item>, now: Duration) -> bool {
        let mut gone: BTreeMap<Arc<str>, ()> =
            self.live().map(|i| (Arc::clone(&i.key), ())).collect();
        let mut changed = false;
        for item in items {
            gone.remove(&item.key);
            changed |= self.apply(item, now);
        }
        for (key, ()) in gone {
            let item = Item {
                key,
                rev: at,
                entry: None,
            };
            changed |= self.apply(item, now);
        }
        changed
    }

    /// Items that are there.
    pub fn live(&self) -> impl Iterator<Item = &Item> {
        let items = self.held.values().map(|held| &held.item);
        items.filter(|item| item.entry.is_some())
    }

    /// Items that changed after a number, or `None` where the journal does not go back so far.
    pub fn since(&self, number: u64, now: Duration) -> Option<Vec<Item>> {
        if number > self.last {
            return None;
        }
        let oldest = self.journal.front().map_or(self.last + 1, |(n, _)| *n);
        if number + 1 < oldest {
            return None;
        }
        let after = self.journal.iter().filter(|(n, _)| *n > number);
        let keys: std::collections::BTreeSet<_> = after.map(|(_, key)| key).collect();
        Some(
            keys.into_iter()
                .map(|key| self.aged(&self.held[key], now))
                .collect(),
        )
    }

    /// All items, those that are gone too: a follower must learn of them as well.
    pub fn all(&self, now: Duration) -> Vec<Item> {
        self.held
            .values()
            .map(|held| self.aged(held, now))
            .collect()
    }

    /// A follower counts a target's cold time from when it hears of it.
    fn aged(&self, held: &Held, now: Duration) -> Item {
        let mut item = held.item.clone();
        if let Some(Entry::Target(target)) = &mut item.entry {
            let passed = now.saturating_sub(held.heard);
            let cold = target.cold.saturating_sub(passed);
            if cold != target.cold {
                *target = Arc::new(Target {
                    cold,
                    ..Target::clone(target)
                });
            }
        }
        item
    }

    /// An older version never replaces a newer one, whatever revision it has.
    fn take_config(&mut self, config: &Arc<Config>) {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|held| config.version > held.version);
        if newer {
            self.config = Some(Arc::clone(config));
        }
    }

    fn note(&mut self, key: Arc<str>) {
        self.last += 1;
        self.journal.push_back((self.last, key));
        if self.journal.len() > JOURNAL {
            self.journal.pop_front();
        }
    }
}

impl Held {
    /// Whether an item says nothing new: targets repeat themselves with every heartbeat.
    fn says(&self, item: &Item, now: Duration) -> bool {
        match (&self.item.entry, &item.entry) {
            (Some(Entry::Target(old)), Some(Entry::Target(new))) => {
                let (was, is) = (self.heard + old.cold, now + new.cold);
                let still = new.cold.is_zero() && was <= now;
                let near = still || was.abs_diff(is) < COLD_SWING;
                near && Target {
                    cold: old.cold,
                    ..Target::clone(new)
                } == **old
            }
            (old, new) => old == new,
        }
    }
}
