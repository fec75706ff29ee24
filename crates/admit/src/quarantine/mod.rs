//! Quarantine of requests that kill the targets which run them.

use std::time::Duration;

/// How sure the evidence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// It ran on a target that died. It runs alone until it has succeeded once.
    Suspect,
    /// Two targets died under it, the second while it ran alone. It is refused.
    Convict,
}

/// What hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Word {
    /// Hash of the request.
    pub fingerprint: u64,
    /// How sure the evidence is.
    pub grade: Grade,
    /// Time for which the word holds, from its receipt.
    pub life: Duration,
}

/// Records of requests that ran on targets which died. Bounded in memory.
#[derive(Debug)]
pub struct Quarantine {}
