//! What a pool is told: its rules and its targets.

use std::{sync::Arc, time::Duration};

/// Settings of a pool. Each default is the one that the sweep named in its module's doc chose.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Most requests that wait at once. When it is full, the request with the worst rank leaves.
    pub max_queued: usize,
    /// Longest time that a request waits, whatever its deadline, in a queue that a burst has
    /// made; work that takes longer may wait for as long as it takes.
    pub max_wait: Duration,
    /// The same once waits have been long for `burst`: the overload lasts, and a longer wait would
    /// add to each answer without adding one answer.
    pub overload_wait: Duration,
    /// Longest time that a burst and the queue it leaves may take.
    pub burst_time: Duration,
    /// Work expected to take up to this long is short; the rest is long.
    pub short_max: Duration,
    /// Share of the slots, 0 to 1, that short work is sure of while it competes with long work.
    pub short_share: f64,
    /// Slots kept free of long work for each slot that short work has lately needed.
    pub reserve: f64,
    /// Guess of the service time of a kind of request that has not been seen yet.
    pub initial_estimate: Duration,
    /// Time in which a cold target's slots grow from one to all.
    pub ramp_time: Duration,
    /// A target this many times slower than expected is ejected.
    pub eject_ratio: f64,
    /// Time a slow target stays ejected before it is probed; doubles at each failed probe.
    pub eject_time: Duration,
    /// Reruns and hedges allowed for each first run, 0 to 1.
    pub retry_ratio: f64,
    /// Time for which a report may hold back what a target is given.
    pub report_ttl: Duration,
    /// Seed of the hashing that spreads callers and keys.
    pub seed: u64,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            max_queued: 512,
            max_wait: Duration::from_millis(250),
            overload_wait: Duration::from_millis(50),
            burst_time: Duration::from_millis(500),
            short_max: Duration::from_millis(100),
            short_share: 0.5,
            reserve: 1.0,
            initial_estimate: Duration::from_millis(20),
            ramp_time: Duration::from_secs(2),
            eject_ratio: 3.0,
            eject_time: Duration::from_secs(5),
            retry_ratio: 0.1,
            report_ttl: Duration::from_secs(1),
            seed: 1,
        }
    }
}

/// A target as the configuration names it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name, unique in the pool.
    pub name: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is to be given nothing new.
    pub leaving: bool,
    /// It starts with cold caches: it is given its slots bit by bit.
    pub cold: bool,
}
