//! What an apply is told at its start.

use std::{sync::Arc, time::Duration};

/// Who applies, and on what ground.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyRequest {
    /// Id of the apply; unique, as it is how the apply finds itself in the root.
    pub id: Arc<str>,
    /// Operator's name.
    pub by: Arc<str>,
    /// Operator's wall clock, in milliseconds since 1970; shown, never compared.
    pub at_ms: u64,
    /// Revision that the operator has seen and changes; `None` for whichever is in force.
    pub base: Option<u64>,
}

/// How hard the store is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Operations under way at once. The first apply of 760,000 blocks writes 4,200 pieces; at one
    /// at a time and 3 ms each it would take 13 s, while the store takes several hundred a second.
    pub max_in_flight: usize,
    /// Wait after a failed operation; doubles with each failure in a row.
    pub backoff: Duration,
    /// Longest such wait.
    pub max_backoff: Duration,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            max_in_flight: 16,
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// A fault to switch on, so that a check is seen to find it. Never used outside of checks.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// A move whose answer was lost is told as not applied.
    LostIsFailed,
    /// A move whose answer was lost is told as applied.
    LostIsDone,
    /// A conflict makes the apply start again on what is in force, without a word.
    Rebase,
    /// After a sweep the pieces written before it are trusted to be there still.
    TrustWritten,
}
