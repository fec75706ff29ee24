//! What a host believes: the newest revision it has seen of each item of the store.
//!
//! Items come from the store or from other hosts, in any order and more than once. A later revision
//! replaces an earlier one and never the other way, so that a host that changes its source does not
//! go back: a target that left does not return, nor does an older configuration. Hosts are told of
//! items by revision, and of the configuration by its version ([`Versions`]).
//!
//! A removal that is held back is a change like any other: it is known, and told to others, under its
//! revision, together with the time that is left. A host that kept it to itself and yet said that
//! nothing is missing would leave hosts that got further elsewhere without it for good.

mod changes;
mod config_history;
mod deferred;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_node::wire::PackError;

use self::deferred::PendingRemoval;
pub use self::{
    changes::{Changes, FullKeySet},
    config_history::{ConfigHistory, ConfigUpdate, ConfigUpdateError},
    view::{KnownTarget, View},
};
use crate::model::{Config, Entry, Item, KeyIndex, RouteIndex, Target};

/// How far two words on the end of a target's cold time may differ and still say the same.
const COLD_TOLERANCE: Duration = Duration::from_millis(700);

/// An item and when it was heard.
#[derive(Clone, Debug)]
struct StoredItem {
    item: Item,
    received_at: Duration,
    /// Revision under which others are told of the last change that says something new.
    publish_revision: u64,
    /// A later removal that is held back.
    pending: Option<PendingRemoval>,
}

/// The newest items.
///
/// Invariants: the revision held of a key never falls; every change up to `reached` is contained, be it
/// as a removal that is held back.
#[derive(Debug, Default)]
pub struct Replica {
    items: BTreeMap<Arc<str>, StoredItem>,
    /// Number of the last change; grows with each.
    change_count: u64,
    /// Store's revision up to which nothing is missing.
    synced_revision: u64,
    /// Store's revision after which every removal is known.
    since: u64,
    /// Until when items that a reading did not name are believed in.
    defer_until: Duration,
    /// Highest revision under which something was said.
    publish_revision: u64,
    /// Keys of changes that came late, until `reached` grows.
    late_keys: BTreeSet<Arc<str>>,
    config: ConfigHistory,
}

impl Replica {
    /// Opens a world that knows nothing.
    pub fn open() -> Replica {
        Replica::default()
    }

    /// Number of the last change.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Store's revision up to which nothing is missing.
    pub fn synced_revision(&self) -> u64 {
        self.synced_revision
    }

    /// Highest revision under which [`World::after`] tells something.
    pub fn publish_revision(&self) -> u64 {
        self.publish_revision
    }

    /// Nothing up to a revision is missing any more.
    pub fn set_synced(&mut self, rev: u64) {
        if rev <= self.synced_revision {
            return;
        }
        self.synced_revision = rev;
        for key in std::mem::take(&mut self.late_keys) {
            if let Some(stored) = self.items.get_mut(&key) {
                stored.publish_revision = rev;
                stored
                    .pending
                    .iter_mut()
                    .for_each(|pending| pending.publish_revision = rev);
                self.publish_revision = self.publish_revision.max(rev);
            }
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.current()
    }

    /// Workspaces of the configuration in force, by their keys.
    pub fn keys(&self) -> &KeyIndex {
        self.config.keys()
    }

    /// Its routes by host name and prefix.
    pub fn routes(&self) -> &RouteIndex {
        self.config.routes()
    }

    /// Number of the configuration in force; 0 where none is known.
    pub fn version(&self) -> u64 {
        self.config.number()
    }

    /// What a host that holds a version of the configuration is to be told of later ones.
    ///
    /// # Errors
    ///
    /// When the version in force cannot be packed.
    pub fn update_since(&mut self, stored: u64) -> Result<Option<ConfigUpdate>, PackError> {
        self.config.update_since(stored)
    }

    /// Takes in what another host tells of the configuration.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or does not fit the version that is held.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<(), ConfigUpdateError> {
        let before = self.version();
        let applied = self.config.apply_update(update);
        self.change_count += u64::from(self.version() > before);
        applied
    }

    /// Takes an item in; tells whether it changes what is believed.
    pub fn apply_item(&mut self, item: Item, now: Duration) -> bool {
        if let Some(Entry::Config(config)) = &item.entry {
            let newer = self.config.replace_if_newer(config);
            self.change_count += u64::from(newer);
            return newer;
        }
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.item.rev >= item.rev) {
            return false;
        }
        let same = known.is_some_and(|known| known.repeats(&item, now));
        let before = known.map_or(0, |known| known.publish_revision);
        let pending = known.and_then(|known| known.pending);
        let publish_revision = if same {
            before
        } else {
            self.next_publish_revision(&item.key, item.rev)
        };
        let stored = StoredItem {
            received_at: now,
            publish_revision,
            pending: pending.filter(|pending| pending.rev > item.rev),
            item,
        };
        self.items.insert(Arc::clone(&stored.item.key), stored);
        self.change_count += u64::from(!same);
        !same
    }

    /// Revision under which others are told of a change. They have been told that nothing up to `reached`
    /// is missing, so that one which comes late is told as if it were newer; to those that have got
    /// further elsewhere, once this host has too.
    fn next_publish_revision(&mut self, key: &Arc<str>, rev: u64) -> u64 {
        let is_late = rev <= self.synced_revision;
        if is_late {
            self.late_keys.insert(Arc::clone(key));
        }
        let publish_revision = if is_late {
            self.synced_revision + 1
        } else {
            rev
        };
        self.publish_revision = self.publish_revision.max(publish_revision);
        publish_revision
    }

    /// Items that are there.
    pub fn present_items(&self) -> impl Iterator<Item = &Item> {
        let items = self.items.values().map(|stored| &stored.item);
        items.filter(|item| item.entry.is_some())
    }

    /// Items that said something new after a revision, those that are gone too.
    pub fn changed_since(&self, rev: u64, now: Duration) -> Vec<Item> {
        let newer = self
            .items
            .values()
            .filter(|stored| stored.publish_revision > rev);
        newer
            .map(|stored| self.with_remaining_cold(stored, now))
            .collect()
    }

    /// A follower counts a target's cold time from when it hears of it.
    fn with_remaining_cold(&self, stored: &StoredItem, now: Duration) -> Item {
        let mut item = stored.item.clone();
        if let Some(Entry::Target(target)) = &mut item.entry {
            let passed = now.saturating_sub(stored.received_at);
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

fn removal(key: Arc<str>, rev: u64) -> Item {
    Item {
        key,
        rev,
        created: 0,
        entry: None,
    }
}

impl StoredItem {
    /// Whether an item says nothing new: targets repeat themselves with every heartbeat. One that was
    /// created since is new, whatever it says: others may have heard of the removal in between; and of a
    /// second removal, of what was there in between.
    fn repeats(&self, item: &Item, now: Duration) -> bool {
        let is_removal = item.created == 0 && item.entry.is_none();
        if item.created > self.item.rev || is_removal {
            return false;
        }
        match (&self.item.entry, &item.entry) {
            (Some(Entry::Target(old)), Some(Entry::Target(new))) => {
                let (was, is) = (self.received_at + old.cold, now + new.cold);
                let still = new.cold.is_zero() && was <= now;
                let near = still || was.abs_diff(is) < COLD_TOLERANCE;
                near && Target {
                    cold: old.cold,
                    ..Target::clone(new)
                } == **old
            }
            (old, new) => old == new,
        }
    }
}
