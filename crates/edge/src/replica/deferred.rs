//! Deferred changes: entries that vanished while the store was unavailable may only have expired,
//! and a store that has returned from an older copy shows earlier states.

use std::time::Duration;

use super::{Replica, StoredItem};
use crate::model::{DeferredChange, Item, Revision};

/// A deferred change of an item.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub(super) item: Item,
    pub(super) received_at: Duration,
    /// When it is applied.
    pub(super) due_at: Duration,
    /// As in [`StoredItem`].
    pub(super) publish_revision: Revision,
}

impl Replica {
    /// Records a deferred change; returns whether it is new.
    pub fn defer(&mut self, deferred: DeferredChange, now: Duration) -> bool {
        let DeferredChange { item, left } = deferred;
        let has_entry = item.entry.is_some();
        let known = self.items.get(&item.key);
        let Some(known) = known.filter(|h| has_entry || h.item.entry.is_some()) else {
            return self.apply_now(item, now);
        };
        if left.is_zero() {
            return self.apply_now(item, now);
        }
        let pending = known.pending.as_ref();
        if known.item.rev >= item.rev || pending.is_some_and(|p| p.item.rev >= item.rev) {
            return false;
        }
        // A second deferral must not keep the item longer.
        let due_at = pending.map_or(now + left, |pending| pending.due_at.min(now + left));
        let publish_revision = self.next_publish_revision(&item.key, item.rev);
        if let Some(stored) = self.items.get_mut(&item.key) {
            stored.pending = Some(PendingChange {
                item,
                received_at: now,
                due_at,
                publish_revision,
            });
        }
        self.change_count += 1;
        true
    }

    /// Returns when the next deferred change is due.
    pub fn next_deferred(&self) -> Option<Duration> {
        let pending = self.items.values().filter_map(|s| s.pending.as_ref());
        pending.map(|pending| pending.due_at).min()
    }

    /// Applies changes that are due; returns whether there were any. Followers received them as
    /// deferred changes before, and apply them themselves.
    pub fn apply_deferred(&mut self, now: Duration) -> bool {
        let mut changed = false;
        for stored in self.items.values_mut() {
            let Some(pending) = stored.pending.take_if(|pending| pending.due_at <= now) else {
                continue;
            };
            *stored = StoredItem {
                removed: stored.removed_by(&pending.item),
                item: pending.item,
                received_at: pending.received_at,
                publish_revision: pending.publish_revision,
                pending: None,
            };
            changed = true;
        }
        self.change_count += u64::from(changed);
        changed
    }
}
