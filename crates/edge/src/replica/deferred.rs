//! Removals that are held back: entries that vanished while the store was away may only have lapsed.

use std::{sync::Arc, time::Duration};

use super::{Held, Replica, removal};
use crate::model::DeferredRemoval;

/// A removal that is held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub(super) rev: u64,
    /// When it counts.
    pub(super) due: Duration,
    /// As in [`Held`].
    pub(super) said: u64,
}

impl Replica {
    /// Takes in a removal that is held back; tells whether it is new.
    pub fn defer_removal(&mut self, ending: DeferredRemoval, now: Duration) -> bool {
        let DeferredRemoval { key, rev, left } = ending;
        let Some(known) = self.held.get(&key).filter(|h| h.item.entry.is_some()) else {
            return self.apply_item(removal(key, rev), now);
        };
        let pending = known.ending;
        if left.is_zero() {
            return self.apply_item(removal(key, rev), now);
        }
        if known.item.rev >= rev || pending.is_some_and(|pending| pending.rev >= rev) {
            return false;
        }
        let said = self.number(&key, rev);
        // Held back twice, an item is not believed in for longer.
        let due = pending.map_or(now + left, |pending| pending.due.min(now + left));
        if let Some(held) = self.held.get_mut(&key) {
            held.ending = Some(Pending { rev, due, said });
        }
        self.last += 1;
        true
    }

    /// When the next removal that is held back counts.
    pub fn next_deferred(&self) -> Option<Duration> {
        let endings = self.held.values().filter_map(|held| held.ending);
        endings.map(|ending| ending.due).min()
    }

    /// Removes what was held back for long enough; tells whether there was something. Others were told
    /// of it before, and remove it themselves.
    pub fn apply_deferred(&mut self, now: Duration) -> bool {
        let mut changed = false;
        for held in self.held.values_mut() {
            let Some(ending) = held.ending.filter(|ending| ending.due <= now) else {
                continue;
            };
            *held = Held {
                item: removal(Arc::clone(&held.item.key), ending.rev),
                heard: now,
                said: ending.said,
                ending: None,
            };
            changed = true;
        }
        self.last += u64::from(changed);
        changed
    }
}
