//! What stays known although a store that has returned from an older copy shows an earlier state.
//!
//! Targets, hosts and operators write again what the store has lost. Until they can have done so,
//! an entry that the copy lacks is kept, and a target that was leaving or removed stays so: the
//! copy's state is a deferred change.

use std::time::Duration;

use super::{Replica, StoredItem};
use crate::model::{Entry, Item, Revision};

/// Time in which a target writes its entry again: it does so with each heartbeat.
const TARGET_REWRITE_TIME: Duration = Duration::from_secs(2);

/// The same for a host, which announces itself again once it knows of the return. As long as the
/// lease that the store has lost: without the loss, a killed host would be listed for as long.
const HOST_REWRITE_TIME: Duration = Duration::from_secs(4);

/// The same for what operators write.
const OPERATOR_REWRITE_TIME: Duration = Duration::from_secs(4);

/// The same for requests in quarantine, whose announcement hosts retry for as long.
const QUARANTINE_REWRITE_TIME: Duration = Duration::from_secs(10);

/// How long a target that was leaving or removed stays so. It exits within that time, or its entry
/// is written again under another state.
const TARGET_RETURN_DELAY: Duration = Duration::from_secs(10);

/// The current era, and when it began at the earliest that is known.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraStart {
    era: u64,
    at: Duration,
}

impl Replica {
    /// Records that the era of a revision began at this moment at the latest.
    pub(super) fn note_era(&mut self, revision: Revision, at: Duration) {
        let known = &mut self.era_start;
        if revision.era > known.era {
            *known = EraStart {
                era: revision.era,
                at,
            };
        } else if revision.era == known.era {
            known.at = known.at.min(at);
        }
    }

    /// Returns how long ago the current era began.
    pub(super) fn era_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.era_start.at)
    }

    /// Returns how long an item stays as it is known although a later era shows `item`; zero if
    /// that is in effect at once.
    pub(super) fn hold_time(&self, item: &Item, now: Duration) -> Duration {
        let known = self.items.get(&item.key);
        let delay = known
            .filter(|known| known.item.rev.era < item.rev.era)
            .and_then(|known| return_delay(known, item));
        delay.unwrap_or_default().saturating_sub(self.era_age(now))
    }

    /// Returns how long an item is kept that a full read as of `revision` lacks, apart from
    /// outages.
    pub(super) fn rewrite_time(&self, item: &Item, revision: Revision, now: Duration) -> Duration {
        if item.rev.era >= revision.era {
            return Duration::ZERO;
        }
        let time = match &item.entry {
            Some(Entry::Target(_)) => TARGET_REWRITE_TIME,
            Some(Entry::Host(_)) => HOST_REWRITE_TIME,
            Some(Entry::Evacuated(_)) => OPERATOR_REWRITE_TIME,
            Some(Entry::Quarantined(_)) => QUARANTINE_REWRITE_TIME,
            Some(Entry::Config(_)) | None => Duration::ZERO,
        };
        time.saturating_sub(self.era_age(now))
    }
}

/// Returns how long an item of a later era is deferred; `None` if it undoes nothing.
fn return_delay(known: &StoredItem, item: &Item) -> Option<Duration> {
    match (&known.item.entry, &item.entry) {
        (Some(Entry::Target(old)), Some(Entry::Target(new))) => {
            let undoes = old.leaving && !new.leaving && old.born == new.born;
            undoes.then_some(TARGET_RETURN_DELAY)
        }
        (None, Some(new)) => {
            let removed = known.removed.as_ref()?;
            let is_same = removed.created.number == item.created.number;
            match (&removed.entry, new) {
                (Some(Entry::Target(old)), Entry::Target(new)) => {
                    (is_same && old.born == new.born).then_some(TARGET_RETURN_DELAY)
                }
                (Some(Entry::Evacuated(_)), Entry::Evacuated(_)) => {
                    is_same.then_some(OPERATOR_REWRITE_TIME)
                }
                _ => None,
            }
        }
        _ => None,
    }
}
