//! A host's replica of the store: the newest known revision of each item.
//!
//! Items come from the store or from other hosts, in any order and more than once. A later revision
//! replaces an earlier one and never the other way round, so a host that changes its source does
//! not go back: neither a target that left nor an older configuration returns. Followers receive
//! items by revision, and the configuration by its version ([`ConfigHistory`]).
//!
//! A store that has returned from an older copy gives out revisions again, in its next era, and
//! shows an earlier state for a while (module `returned`). Revisions are ordered by their eras first.
//!
//! A deferred change is a change like any other: it is stored and sent to followers under its
//! revision, with the remaining delay. If a host kept it to itself and yet claimed to be complete,
//! followers that got further elsewhere would never receive it.

mod changes;
mod config_history;
mod deferred;
mod returned;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_node::wire::CodecError;

pub use self::{
    changes::{Changes, FullKeySet},
    config_history::{ConfigHistory, ConfigUpdate, ConfigUpdateError},
    view::{KnownTarget, View},
};
use self::{deferred::PendingChange, returned::EraStart};
use crate::model::{Config, DeferredChange, Entry, Item, KeyIndex, Revision, RouteIndex, Target};

/// Tolerance between two reports of the end of a target's cold time that count as equal.
const COLD_TOLERANCE: Duration = Duration::from_millis(700);

/// An item, and when it was received.
#[derive(Clone, Debug)]
struct StoredItem {
    item: Item,
    received_at: Duration,
    /// Revision under which followers receive the last effective change of the item.
    publish_revision: Revision,
    /// A later change that is deferred.
    pending: Option<PendingChange>,
    /// What was removed, if the item is a removal.
    removed: Option<Box<Item>>,
}

/// The newest known items.
///
/// Invariants: the revision of a key never decreases; every change up to `synced_revision` is
/// contained, possibly as a deferred removal.
#[derive(Debug, Default)]
pub struct Replica {
    items: BTreeMap<Arc<str>, StoredItem>,
    /// Number of the last change; grows with each.
    change_count: u64,
    /// Store's revision up to which no change is missing.
    synced_revision: Revision,
    /// Store's revision after which every removal is known.
    since: Revision,
    /// Until when items that a full read did not contain are kept.
    defer_until: Duration,
    /// Highest revision under which a change was published.
    publish_revision: Revision,
    /// Keys of changes that came late, until `synced_revision` grows.
    late_keys: BTreeSet<Arc<str>>,
    config: ConfigHistory,
    era_start: EraStart,
}

impl Replica {
    /// Creates an empty replica.
    pub fn open() -> Replica {
        Replica::default()
    }

    /// Returns the number of the last change.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the store's revision up to which no change is missing.
    pub fn synced_revision(&self) -> Revision {
        self.synced_revision
    }

    /// Returns the highest revision that [`Replica::changed_since`] reports a change for.
    pub fn publish_revision(&self) -> Revision {
        self.publish_revision
    }

    /// Records that no change up to a revision is missing.
    pub fn set_synced(&mut self, rev: Revision) {
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

    /// Returns the active configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.current()
    }

    /// Returns the workspaces of the active configuration by their keys.
    pub fn keys(&self) -> &KeyIndex {
        self.config.keys()
    }

    /// Returns its routes by host name and prefix.
    pub fn routes(&self) -> &RouteIndex {
        self.config.routes()
    }

    /// Returns the version of the active configuration; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.config.number()
    }

    /// Returns the configuration update for a host with an older version.
    ///
    /// # Errors
    ///
    /// When the active version cannot be packed.
    pub fn update_since(&mut self, stored: u64) -> Result<Option<ConfigUpdate>, CodecError> {
        self.config.update_since(stored)
    }

    /// Applies a configuration update of another host.
    ///
    /// # Errors
    ///
    /// When the update cannot be read or does not fit the active version.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> Result<(), ConfigUpdateError> {
        let before = self.version();
        let applied = self.config.apply_update(update);
        self.change_count += u64::from(self.version() > before);
        applied
    }

    /// Applies an item, or defers it; returns whether the replica changed.
    pub fn apply_item(&mut self, item: Item, now: Duration) -> bool {
        self.note_era(item.rev, now);
        let left = self.hold_time(&item, now);
        match left.is_zero() {
            true => self.apply_now(item, now),
            false => self.defer(DeferredChange { item, left }, now),
        }
    }

    fn apply_now(&mut self, item: Item, now: Duration) -> bool {
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
        let before = known.map_or(Revision::NONE, |known| known.publish_revision);
        let pending = known.and_then(|known| known.pending.clone());
        let removed = known.and_then(|known| known.removed_by(&item));
        let publish_revision = if same {
            before
        } else {
            self.next_publish_revision(&item.key, item.rev)
        };
        let stored = StoredItem {
            received_at: now,
            publish_revision,
            pending: pending.filter(|pending| pending.item.rev > item.rev),
            removed,
            item,
        };
        self.items.insert(Arc::clone(&stored.item.key), stored);
        self.change_count += u64::from(!same);
        !same
    }

    /// Returns the revision under which followers receive a change. They were told that nothing up
    /// to `synced_revision` is missing, so a late change is published under a newer revision;
    /// followers that have got further elsewhere receive it once this host has too.
    fn next_publish_revision(&mut self, key: &Arc<str>, rev: Revision) -> Revision {
        let is_late = rev <= self.synced_revision;
        if is_late {
            self.late_keys.insert(Arc::clone(key));
        }
        let publish_revision = if is_late {
            self.synced_revision.next()
        } else {
            rev
        };
        self.publish_revision = self.publish_revision.max(publish_revision);
        publish_revision
    }

    /// Returns the items that exist.
    pub fn present_items(&self) -> impl Iterator<Item = &Item> {
        let items = self.items.values().map(|stored| &stored.item);
        items.filter(|item| item.entry.is_some())
    }

    /// Returns the items that exist or, once a deferred change is applied, will.
    fn existing_items(&self) -> impl Iterator<Item = &Item> {
        let has_entry = |stored: &&StoredItem| {
            let pending = stored.pending.as_ref().map(|pending| &pending.item);
            let mut both = std::iter::once(&stored.item).chain(pending);
            both.any(|item| item.entry.is_some())
        };
        let items = self.items.values().filter(has_entry);
        items.map(|stored| &stored.item)
    }

    /// Returns the items that changed after a revision, including removed ones.
    pub fn changed_since(&self, rev: Revision, now: Duration) -> Vec<Item> {
        let newer = self
            .items
            .values()
            .filter(|stored| stored.publish_revision > rev);
        newer
            .map(|stored| with_remaining_cold(&stored.item, stored.received_at, now))
            .collect()
    }
}

/// Returns the item with the remaining cold time: a follower counts it from when it receives
/// the target.
fn with_remaining_cold(item: &Item, received_at: Duration, now: Duration) -> Item {
    let mut item = item.clone();
    if let Some(Entry::Target(target)) = &mut item.entry {
        let passed = now.saturating_sub(received_at);
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

impl StoredItem {
    /// Returns what a later item removes.
    fn removed_by(&self, later: &Item) -> Option<Box<Item>> {
        match (&later.entry, &self.item.entry) {
            (Some(_), _) => None,
            (None, Some(_)) => Some(Box::new(self.item.clone())),
            (None, None) => self.removed.clone(),
        }
    }

    /// Whether an item is no effective change: targets repeat their entries with every heartbeat.
    /// An item that was created again since is a change, whatever it contains, since followers may
    /// have received the removal in between; so is a second removal, since they may have received
    /// what existed in between.
    fn repeats(&self, item: &Item, now: Duration) -> bool {
        let is_removal = item.created == Revision::NONE && item.entry.is_none();
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
