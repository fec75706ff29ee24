//! Configuration of a pool and of its targets.

use std::{sync::Arc, time::Duration};

/// Settings of a pool. Each default was chosen by the sweep named in its module's documentation.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Maximum number of queued requests. When the queue is full, the request with the worst rank
    /// is evicted.
    pub max_queued: usize,
    /// Maximum time in a queue that a burst has caused, whatever the deadline; a request with a
    /// longer service time may wait for as long as that.
    pub max_wait: Duration,
    /// The same once waits have been long for `burst_time`: the overload is sustained, and a longer
    /// wait would add to each response time without adding one response.
    pub overload_wait: Duration,
    /// Maximum time that a burst and the queue it leaves may take.
    pub burst_time: Duration,
    /// Maximum expected service time of a short request; all others are long.
    pub short_max: Duration,
    /// Fraction of the slots, 0 to 1, that is guaranteed to short requests while they compete with
    /// long ones.
    pub short_share: f64,
    /// Slots kept free of long requests for each slot that short requests have recently needed.
    pub reserve: f64,
    /// Initial estimate of the service time of a kind of request that has not been seen yet.
    pub initial_estimate: Duration,
    /// Time in which a cold target's slots grow from one to all.
    pub ramp_time: Duration,
    /// Ratio of measured to expected service time above which a target is ejected.
    pub eject_ratio: f64,
    /// Time for which a slow target stays ejected before it is probed; doubles with each failed
    /// probe.
    pub eject_time: Duration,
    /// Retries and hedges allowed for each first attempt, 0 to 1.
    pub retry_ratio: f64,
    /// Time for which a load report may lower the number of slots that are used.
    pub report_ttl: Duration,
    /// Seed of the hashes of callers and keys.
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

/// A target as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name, unique in the pool.
    pub name: Arc<str>,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining: it gets no new requests.
    pub leaving: bool,
    /// Whether it starts with cold caches: its slots become usable step by step.
    pub cold: bool,
}
