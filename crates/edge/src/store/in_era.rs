//! Sets the era of what an answer of the store contains.

use crate::model::{Announcement, Batch, Item, Lease, Revision, Snapshot};

/// A value whose revisions and leases are of the era of the answer that contains it.
pub(super) trait InEra {
    /// Returns the value with the era set.
    fn in_era(self, era: u64) -> Self;
}

impl InEra for () {
    fn in_era(self, _: u64) {}
}

impl InEra for Revision {
    fn in_era(self, era: u64) -> Revision {
        match self {
            Revision::NONE => self,
            Revision { number, .. } => Revision::new(era, number),
        }
    }
}

impl InEra for Announcement {
    fn in_era(self, era: u64) -> Announcement {
        Announcement {
            lease: Lease { era, ..self.lease },
            revision: self.revision.in_era(era),
        }
    }
}

impl InEra for Item {
    fn in_era(self, era: u64) -> Item {
        Item {
            rev: self.rev.in_era(era),
            created: self.created.in_era(era),
            ..self
        }
    }
}

impl InEra for Vec<Item> {
    fn in_era(self, era: u64) -> Vec<Item> {
        self.into_iter().map(|item| item.in_era(era)).collect()
    }
}

impl InEra for Snapshot {
    fn in_era(self, era: u64) -> Snapshot {
        Snapshot {
            revision: Revision::new(era, self.revision.number),
            items: self.items.in_era(era),
        }
    }
}

impl InEra for Batch {
    fn in_era(self, era: u64) -> Batch {
        Batch {
            revision: Revision::new(era, self.revision.number),
            items: self.items.in_era(era),
        }
    }
}
