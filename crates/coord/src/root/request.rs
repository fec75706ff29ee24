//! Request for an apply and the limits on its use of the store.

use std::{sync::Arc, time::Duration};

/// Who applies, with the id of the apply and the base revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyRequest {
    /// Unique id of the apply; the apply recognizes its own entry in the root by it.
    pub id: Arc<str>,
    /// Name of the operator.
    pub by: Arc<str>,
    /// Operator's wall clock in milliseconds since 1970; shown, never compared.
    pub at_ms: u64,
    /// Revision that the operator has seen and changes; `None` for the active one.
    pub base: Option<u64>,
}

/// Limits on the use of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Maximum number of concurrent operations. The first apply of 760,000 blocks writes 4,200
    /// pieces; one at a time, at 3 ms each, it would take 13 s, while the store takes several
    /// hundred a second.
    pub max_in_flight: usize,
    /// Delay after a failed operation; doubles with each consecutive failure.
    pub backoff: Duration,
    /// Maximum delay.
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

/// Fault to inject, to verify that a test detects it. Used only in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A swap whose reply was lost is reported as not applied.
    LostIsFailed,
    /// A swap whose reply was lost is reported as applied.
    LostIsDone,
    /// After a conflict the apply silently starts again on the active revision.
    Rebase,
    /// After a sweep, pieces written before it are assumed to still exist.
    TrustWritten,
}
