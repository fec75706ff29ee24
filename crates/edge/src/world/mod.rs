//! What a host believes: the newest revision it has seen of each item of the store.
//!
//! Items come from the store or from other hosts, in any order and more than once. A later revision
//! replaces an earlier one and never the other way, so that a host that changes its source does not
//! go back: a target that left does not return, nor does an older configuration. Hosts are told of
//! items by revision, and of the configuration by its version ([`Versions`]).

mod versions;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub use self::{
    versions::{News, NewsError, Versions},
    view::{Known, View},
};
use crate::model::{Config, Entry, Item, PackError, Target};

/// How far two words on the end of a target's cold time may differ and still say the same.
const COLD_SWING: Duration = Duration::from_millis(700);

/// An item and when it was heard.
#[derive(Clone, Debug)]
struct Held {
    item: Item,
    heard: Duration,
    /// Revision under which others are told of the last change that says something new.
    said: u64,
}

/// The newest items.
///
/// Invariants: the revision held of a key never falls; every change up to `reached` is contained.
#[derive(Debug, Default)]
pub struct World {
    held: BTreeMap<Arc<str>, Held>,
    /// Number of the last change; grows with each.
    last: u64,
    /// Store's revision up to which nothing is missing.
    reached: u64,
    /// Highest revision under which something was said.
    said: u64,
    versions: Versions,
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

    /// Store's revision up to which nothing is missing.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Highest revision under which [`World::after`] tells something.
    pub fn said(&self) -> u64 {
        self.said
    }

    /// Nothing up to a revision is missing any more.
    pub fn reach(&mut self, rev: u64) {
        self.reached = self.reached.max(rev);
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.versions.now()
    }

    /// Number of the configuration in force; 0 where none is known.
    pub fn version(&self) -> u64 {
        self.versions.number()
    }

    /// What a host that holds a version of the configuration is to be told of later ones.
    ///
    /// # Errors
    ///
    /// When the version in force cannot be packed.
    pub fn news(&mut self, held: u64) -> Result<Option<News>, PackError> {
        self.versions.news(held)
    }

    /// Takes in what another host tells of the configuration.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or does not fit the version that is held.
    pub fn learn(&mut self, news: &News) -> Result<(), NewsError> {
        let before = self.version();
        let learned = self.versions.learn(news);
        self.last += u64::from(self.version() > before);
        learned
    }

    /// Takes an item in; tells whether it changes what is believed.
    pub fn apply(&mut self, item: Item, now: Duration) -> bool {
        if let Some(Entry::Config(config)) = &item.entry {
            let newer = self.versions.take(config);
            self.last += u64::from(newer);
            return newer;
        }
        let known = self.held.get(&item.key);
        if known.is_some_and(|known| known.item.rev >= item.rev) {
            return false;
        }
        let same = known.is_some_and(|known| known.says(&item, now));
        let before = known.map_or(0, |known| known.said);
        // Others have been told that nothing up to `reached` is missing. What is taken in late, such
        // as a removal that was held back, is told to them as if it were newer.
        let said = if same {
            before
        } else {
            item.rev.max(self.reached + 1)
        };
        let (key, heard) = (Arc::clone(&item.key), now);
        self.held.insert(key, Held { item, heard, said });
        if same {
            return false;
        }
        self.said = self.said.max(said);
        self.last += 1;
        true
    }

    /// Takes a whole reading in: what it does not name is gone, unless it is newer than the reading.
    pub fn replace(&mut self, at: u64, items: Vec<Item>, now: Duration) -> bool {
        let mut gone: BTreeSet<Arc<str>> = self.live().map(|i| Arc::clone(&i.key)).collect();
        let mut changed = false;
        for item in items {
            gone.remove(&item.key);
            changed |= self.apply(item, now);
        }
        for key in gone {
            let item = Item {
                key,
                rev: at,
                entry: None,
            };
            changed |= self.apply(item, now);
        }
        self.reach(at);
        changed
    }

    /// Items that are there.
    pub fn live(&self) -> impl Iterator<Item = &Item> {
        let items = self.held.values().map(|held| &held.item);
        items.filter(|item| item.entry.is_some())
    }

    /// Items that said something new after a revision, those that are gone too.
    pub fn after(&self, rev: u64, now: Duration) -> Vec<Item> {
        let newer = self.held.values().filter(|held| held.said > rev);
        newer.map(|held| self.aged(held, now)).collect()
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
