//! Deferred removals: entries that vanished while the store was unavailable may only have expired.

use std::{sync::Arc, time::Duration};

use super::{Replica, StoredItem, removal};
use crate::model::DeferredRemoval;

/// A deferred removal of an item.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRemoval {
    pub(super) rev: u64,
    /// When it is applied.
    pub(super) due_at: Duration,
    /// As in [`StoredItem`].
    pub(super) publish_revision: u64,
}

impl Replica {
    /// Records a deferred removal; returns whether it is new.
    pub fn defer_removal(&mut self, deferred: DeferredRemoval, now: Duration) -> bool {
        let DeferredRemoval { key, rev, left } = deferred;
        let Some(known) = self.items.get(&key).filter(|h| h.item.entry.is_some()) else {
            return self.apply_item(removal(key, rev), now);
        };
        let pending = known.pending;
        if left.is_zero() {
            return self.apply_item(removal(key, rev), now);
        }
        if known.item.rev >= rev || pending.is_some_and(|pending| pending.rev >= rev) {
            return false;
        }
        let publish_revision = self.next_publish_revision(&key, rev);
        // A second deferral must not keep the item longer.
        let due_at = pending.map_or(now + left, |pending| pending.due_at.min(now + left));
        if let Some(stored) = self.items.get_mut(&key) {
            stored.pending = Some(PendingRemoval {
                rev,
                due_at,
                publish_revision,
            });
        }
        self.change_count += 1;
        true
    }

    /// Returns when the next deferred removal is due.
    pub fn next_deferred(&self) -> Option<Duration> {
        let pending = self.items.values().filter_map(|stored| stored.pending);
        pending.map(|pending| pending.due_at).min()
    }

    /// Applies removals that are due; returns whether there were any. Followers received them as
    /// deferred removals before, and apply them themselves.
    pub fn apply_deferred(&mut self, now: Duration) -> bool {
        let mut changed = false;
        for stored in self.items.values_mut() {
            let Some(pending) = stored.pending.filter(|pending| pending.due_at <= now) else {
                continue;
            };
            *stored = StoredItem {
                item: removal(Arc::clone(&stored.item.key), pending.rev),
                received_at: now,
                publish_revision: pending.publish_revision,
                pending: None,
            };
            changed = true;
        }
        self.change_count += u64::from(changed);
        changed
    }
}
