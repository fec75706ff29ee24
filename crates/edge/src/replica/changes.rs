//! Changes of the store's items, as hosts send them to each other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Replica;
use crate::model::{DeferredRemoval, Item};

/// Changes, and the store's revision that they are complete up to.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Changes {
    /// Items that changed.
    pub items: Vec<Item>,
    /// Deferred removals.
    pub endings: Vec<DeferredRemoval>,
    /// All existing keys, if removals may be missing.
    pub whole: Option<FullKeySet>,
    /// The revision; 0 if the changes are complete up to no revision.
    pub reached: u64,
}

/// All keys that exist. A host that makes a full read of the store misses what was created and
/// removed meanwhile, and a host that starts misses earlier removals; a follower that has such an
/// item from another source would keep it indefinitely.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct FullKeySet {
    /// Store's revision after which every removal is known.
    pub since: u64,
    /// The keys; left out for a host that has no items and so nothing to remove.
    pub keys: Option<BTreeSet<Arc<str>>>,
    /// How long the removal of items under other keys is deferred.
    pub left: Duration,
}

impl Replica {
    /// Applies changes; returns whether the replica changed.
    pub fn apply_changes(&mut self, changes: Changes, now: Duration) -> bool {
        let mut changed = false;
        for item in changes.items {
            changed |= self.apply_item(item, now);
        }
        for deferred in changes.endings {
            changed |= self.defer_removal(deferred, now);
        }
        if let Some(whole) = changes.whole {
            changed |= self.retain_keys(whole, now);
        }
        self.set_synced(changes.reached);
        changed
    }

    /// Applies a full read: items that are not in it are removed, unless they are newer.
    pub fn replace(&mut self, revision: u64, items: Vec<Item>, now: Duration) -> bool {
        self.replace_deferring(revision, items, Duration::ZERO, now)
    }

    /// Like [`Replica::replace`], but defers the removals by `left`.
    pub fn replace_deferring(
        &mut self,
        revision: u64,
        items: Vec<Item>,
        left: Duration,
        now: Duration,
    ) -> bool {
        let keys = items.iter().map(|item| Arc::clone(&item.key)).collect();
        let whole = FullKeySet {
            since: revision,
            keys: Some(keys),
            left,
        };
        let changes = Changes {
            items,
            whole: Some(whole),
            reached: revision,
            ..Changes::default()
        };
        self.apply_changes(changes, now)
    }

    /// Removes items whose keys are not in the set, unless they are newer.
    fn retain_keys(&mut self, whole: FullKeySet, now: Duration) -> bool {
        let FullKeySet { since, keys, left } = whole;
        if since > self.since {
            (self.since, self.defer_until) = (since, now + left);
        }
        let Some(keys) = keys else {
            return false;
        };
        let absent: Vec<_> = self
            .present_items()
            .map(|item| Arc::clone(&item.key))
            .filter(|key| !keys.contains(key))
            .collect();
        let mut changed = false;
        for key in absent {
            let deferred = DeferredRemoval {
                key,
                rev: since,
                left,
            };
            changed |= self.defer_removal(deferred, now);
        }
        changed
    }

    /// Returns the changes for a host that has all up to a revision.
    pub fn changes(&self, rev: u64, now: Duration) -> Changes {
        let endings = self.items.values().filter_map(|stored| {
            // A host that receives an item must receive its removal as well.
            let deferred = stored
                .pending
                .filter(|e| e.publish_revision.max(stored.publish_revision) > rev)?;
            Some(DeferredRemoval {
                key: Arc::clone(&stored.item.key),
                rev: deferred.rev,
                left: deferred.due_at.saturating_sub(now),
            })
        });
        Changes {
            items: self.changed_since(rev, now),
            endings: endings.collect(),
            whole: (rev < self.since).then(|| self.full_key_set(rev, now)),
            reached: self.synced_revision,
        }
    }

    fn full_key_set(&self, rev: u64, now: Duration) -> FullKeySet {
        let keys = || {
            self.present_items()
                .map(|item| Arc::clone(&item.key))
                .collect()
        };
        FullKeySet {
            since: self.since,
            keys: (rev > 0).then(keys),
            left: self.defer_until.saturating_sub(now),
        }
    }
}
