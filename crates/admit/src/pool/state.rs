//! Snapshots of a pool for dumps and for other hosts.

use std::{sync::Arc, time::Duration};

use crate::target::Target;

/// Summary of a pool's load, for the hosts that hand requests over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Slots in use.
    pub busy: u32,
    /// Slots that may be used now.
    pub slots: u32,
    /// Estimated time in the queue of a request that arrives now.
    pub queue_delay: Duration,
    /// Estimated time between two slots becoming free while all are in use.
    pub slot_interval: Duration,
}

/// Snapshot of a pool for a dump.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolState {
    /// Summary.
    pub load: Load,
    /// Running short requests.
    pub short_busy: u32,
    /// Running long requests.
    pub long_busy: u32,
    /// Slots kept free for short requests.
    pub reserve: u32,
    /// Retries and hedges that the budget allows now.
    pub budget: f64,
    /// Requests suspected of crashing targets.
    pub suspects: u32,
    /// Requests that are refused because they crashed targets.
    pub quarantined: u32,
    /// Kinds of request whose service time is known.
    pub kinds: u32,
    /// Counts since the pool was opened.
    pub counts: Counts,
    /// The targets, by name.
    pub targets: Vec<TargetState>,
}

/// Counts since a pool was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests started, without retries and hedges.
    pub started: u64,
    /// Requests refused.
    pub refused: u64,
    /// Retries and hedges.
    pub retries: u64,
}

/// Snapshot of a target for a dump.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetState {
    /// Name.
    pub name: Arc<str>,
    /// Requests that run on it.
    pub busy: u32,
    /// Slots by configuration.
    pub slots: u32,
    /// Slots that may be used now.
    pub limit: u32,
    /// Ratio of its measured service time to the one expected of the kind.
    pub latency_ratio: f64,
    /// Whether it gets no new requests: it is draining, or no longer configured.
    pub leaving: bool,
    /// Whether it is ejected because it was slow.
    pub ejected: bool,
    /// Whether it gets no requests for a while, after a crash or a failure.
    pub down: bool,
    /// Whether no new requests start on it, so that a suspect can run alone.
    pub isolated: bool,
}

impl TargetState {
    pub(super) fn read(target: &Target, now: Duration) -> Self {
        Self {
            name: Arc::clone(&target.name),
            busy: target.busy(),
            slots: target.slots,
            limit: target.limit,
            latency_ratio: target.health.ratio,
            leaving: !target.usable(now),
            ejected: target.health.ejected(),
            down: target.health.is_down(now),
            isolated: target.isolated,
        }
    }
}
