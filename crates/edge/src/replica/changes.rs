//! What hosts tell each other of the store's items.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Replica;
use crate::model::{DeferredRemoval, Item};

/// Changes, and the store's revision up to which nothing is missing with them.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Changes {
    /// Items that say something new.
    pub items: Vec<Item>,
    /// Removals that are held back.
    pub endings: Vec<DeferredRemoval>,
    /// What there is, where removals may be missing.
    pub whole: Option<FullKeySet>,
    /// The revision; 0 where these changes tell nothing of it.
    pub reached: u64,
}

/// All keys that are there. Who reads the store anew does not hear of what came and went meanwhile, and
/// who starts not of what went before; a host that had heard of it elsewhere would keep it for good.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct FullKeySet {
    /// Store's revision after which every removal is known.
    pub since: u64,
    /// The keys; not told to a host that knows nothing and has nothing to remove.
    pub keys: Option<BTreeSet<Arc<str>>>,
    /// How much longer items under other keys are believed in.
    pub left: Duration,
}

impl Replica {
    /// Takes changes in; tells whether they change what is believed.
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

    /// Takes a whole reading in: what it does not name is gone, unless it is newer than the reading.
    pub fn replace(&mut self, revision: u64, items: Vec<Item>, now: Duration) -> bool {
        self.replace_deferring(revision, items, Duration::ZERO, now)
    }

    /// The same, where what the reading does not name is believed in for a while longer.
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

    /// Removes what is not among the keys that are there, unless it is newer.
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

    /// What a host that misses nothing up to a revision is to be told.
    pub fn changes(&self, rev: u64, now: Duration) -> Changes {
        let endings = self.items.values().filter_map(|stored| {
            // Told of an item, a host is told of its end as well.
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
