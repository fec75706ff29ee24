//! Rules of a target.

use std::{sync::Arc, time::Duration};

/// How long work takes: a median, a spread, and now and then long work.
#[derive(Clone, Debug)]
pub struct WorkTime {
    /// Median time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the time; 0 makes all work take the median.
    pub sigma: f64,
    /// Part of the requests whose work is long, of 1.
    pub slow_fraction: f64,
    /// Times the median that long work takes.
    pub slow_factor: f64,
}

/// How a target behaves.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Requests run at once.
    pub slots: u32,
    /// Requests that wait for a slot; more are shed.
    pub backlog: u32,
    /// Connections served at once; more are closed.
    pub connections: usize,
    /// Time of the work of a request.
    pub work: WorkTime,
    /// Times the work takes on a cold cache; falls to 1 while it warms.
    pub cold_factor: f64,
    /// Requests after which the cache is warm; 0 starts it warm.
    pub warmup_requests: u64,
    /// Age of the load that it reports.
    pub report_delay: Duration,
    /// Bytes of filling in each answer.
    pub padding_bytes: usize,
    /// Time it stays down after a request that kills it.
    pub restart_delay: Duration,
    /// Seed of the times of work.
    pub seed: u64,
}

impl Default for TargetOptions {
    /// A warm worker of 3 slots with work of about 5 ms and reports half a second old.
    fn default() -> Self {
        Self {
            slots: 3,
            backlog: 2,
            connections: 330,
            work: WorkTime {
                median: Duration::from_millis(5),
                sigma: 0.4,
                slow_fraction: 0.0,
                slow_factor: 20.0,
            },
            cold_factor: 3.0,
            warmup_requests: 0,
            report_delay: Duration::from_millis(500),
            padding_bytes: 256,
            restart_delay: Duration::from_secs(2),
            seed: 1,
        }
    }
}

/// A target to bind.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name, unique among the targets bound together.
    pub name: Arc<str>,
    /// Address as `IP:PORT`; port 0 takes a free one.
    pub addr: Arc<str>,
    /// Behaviour.
    pub options: TargetOptions,
}
