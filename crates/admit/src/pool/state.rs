//! Snapshots of a pool for dumps and for other hosts.

use std::{sync::Arc, time::Duration};

use crate::target::Target;

/// Short summary of a pool's load, for the hosts that hand requests over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Slots in use.
    pub busy: u32,
    /// Slots that may be used now.
    pub slots: u32,
    /// Estimate of the wait of a request that came now.
    pub queue_delay: Duration,
    /// Estimate of the time between two free slots while all are in use.
    pub slot_interval: Duration,
}

/// Everything worth a look in a dump.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolState {
    /// Summary.
    pub load: Load,
    /// Runs of short work.
    pub short_busy: u32,
    /// Runs of long work.
    pub long_busy: u32,
    /// Slots held free for short work.
    pub reserve: u32,
    /// Reruns and hedges that the budget allows now.
    pub budget: f64,
    /// Requests suspected of killing targets.
    pub suspects: u32,
    /// Requests that are refused because they killed targets.
    pub quarantined: u32,
    /// Kinds of work whose service time is known.
    pub kinds: u32,
    /// What the pool has done since it was opened.
    pub counts: Counts,
    /// The targets, by name.
    pub targets: Vec<TargetState>,
}

/// What a pool has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests started, without reruns and hedges.
    pub started: u64,
    /// Requests turned away.
    pub refused: u64,
    /// Reruns and hedges.
    pub retries: u64,
}

/// One target in a dump.
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
    /// Its service time as a ratio to what is expected of the kind.
    pub latency_ratio: f64,
    /// It gets nothing new: it is leaving, or no longer configured.
    pub leaving: bool,
    /// It was ejected for being slow.
    pub ejected: bool,
    /// It died or failed and is left alone for a while.
    pub down: bool,
    /// Nothing new starts on it, so that a suspect can run alone.
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
