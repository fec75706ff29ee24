//! Changes of the store's items, as hosts send them to each other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Replica, with_remaining_cold};
use crate::model::{DeferredChange, Item, Revision};

/// Changes, and the store's revision that they are complete up to.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Changes {
    /// Items that changed.
    pub items: Vec<Item>,
    /// Deferred changes.
    pub deferred: Vec<DeferredChange>,
    /// All existing keys, if removals may be missing.
    pub whole: Option<FullKeySet>,
    /// The revision; [`Revision::NONE`] if the changes are complete up to no revision.
    pub reached: Revision,
    /// Time since the era of that revision began, as far as the sender knows.
    pub era_age: Duration,
}

/// All keys that exist. A host that makes a full read of the store misses what was created and
/// removed meanwhile, and a host that starts misses earlier removals; a follower that has such an
/// item from another source would keep it indefinitely.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct FullKeySet {
    /// Store's revision after which every removal is known.
    pub since: Revision,
    /// The keys; left out for a host that has no items and so nothing to remove.
    pub keys: Option<BTreeSet<Arc<str>>>,
    /// How long the removal of items under other keys is deferred.
    pub left: Duration,
}

impl Replica {
    /// Applies changes; returns whether the replica changed.
    pub fn apply_changes(&mut self, changes: Changes, now: Duration) -> bool {
        self.note_era(changes.reached, now.saturating_sub(changes.era_age));
        let mut changed = false;
        for item in changes.items {
            changed |= self.apply_item(item, now);
        }
        for deferred in changes.deferred {
            changed |= self.defer(deferred, now);
        }
        if let Some(whole) = changes.whole {
            changed |= self.retain_keys(whole, now);
        }
        self.set_synced(changes.reached);
        changed
    }

    /// Applies a full read: items that are not in it are removed, unless they are newer.
    pub fn replace(&mut self, revision: Revision, items: Vec<Item>, now: Duration) -> bool {
        self.replace_deferring(revision, items, Duration::ZERO, now)
    }

    /// Like [`Replica::replace`], but defers the removals by `left`.
    pub fn replace_deferring(
        &mut self,
        revision: Revision,
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
        let absent = self.existing_items().filter(|i| !keys.contains(&i.key));
        let removals: Vec<_> = absent
            .map(|item| DeferredChange {
                item: Item::removal(Arc::clone(&item.key), since),
                left: left.max(self.rewrite_time(item, since, now)),
            })
            .collect();
        let mut changed = false;
        for removal in removals {
            changed |= self.defer(removal, now);
        }
        changed
    }

    /// Returns the changes for a host that has all up to a revision.
    pub fn changes(&self, rev: Revision, now: Duration) -> Changes {
        let deferred = self.items.values().filter_map(|stored| {
            // A host that receives an item must receive its deferred change as well.
            let pending = stored.pending.as_ref();
            let pending =
                pending.filter(|p| p.publish_revision.max(stored.publish_revision) > rev)?;
            Some(DeferredChange {
                item: with_remaining_cold(&pending.item, pending.received_at, now),
                left: pending.due_at.saturating_sub(now),
            })
        });
        Changes {
            items: self.changed_since(rev, now),
            deferred: deferred.collect(),
            whole: (rev < self.since).then(|| self.full_key_set(rev, now)),
            reached: self.synced_revision,
            era_age: self.era_age(now),
        }
    }

    fn full_key_set(&self, rev: Revision, now: Duration) -> FullKeySet {
        let keys = || {
            self.existing_items()
                .map(|item| Arc::clone(&item.key))
                .collect()
        };
        FullKeySet {
            since: self.since,
            keys: (rev > Revision::NONE).then(keys),
            left: self.defer_until.saturating_sub(now),
        }
    }
}
