//! Revisions of the store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision of the store: the number of a change, and the era in which it was given out.
///
/// A store that returns from an older copy has lost its last changes and gives out their numbers
/// again, in the next era. So revisions are ordered by their eras first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct Revision {
    /// Era; 0 if the store tells none.
    pub era: u64,
    /// Number within the era; the first is 1.
    pub number: u64,
}

impl Revision {
    /// Precedes all revisions.
    pub const NONE: Revision = Revision::new(0, 0);

    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns the revision that follows in the same era.
    #[must_use]
    pub const fn next(self) -> Revision {
        Revision::new(self.era, self.number + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
