//! Options of a target.

use std::{sync::Arc, time::Duration};

/// Distribution of run times: log-normal, with a fraction of slow requests.
#[derive(Clone, Debug)]
pub struct WorkTime {
    /// Median run time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the run time; with 0, all runs take the median.
    pub sigma: f64,
    /// Fraction of slow requests, from 0 to 1.
    pub slow_fraction: f64,
    /// Factor by which slow requests take longer.
    pub slow_factor: f64,
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; others are shed.
    pub backlog: u32,
    /// Maximum number of connections served at once; others are closed.
    pub connections: usize,
    /// Run time of a request.
    pub work: WorkTime,
    /// Factor of the run time on a cold cache; falls to 1 while the cache warms up.
    pub cold_factor: f64,
    /// Number of requests after which the cache is warm; with 0 it starts warm.
    pub warmup_requests: u64,
    /// Age of the load that the target reports.
    pub report_delay: Duration,
    /// Number of bytes of padding in each response.
    pub padding_bytes: usize,
    /// Time that the target stays down after a request crashed it.
    pub restart_delay: Duration,
    /// Seed of the random run times.
    pub seed: u64,
}

impl Default for TargetOptions {
    /// A warm target with 3 slots, run times of about 5 ms and load reports that are 0.5 s old.
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
    /// Name, unique among the targets that are bound together.
    pub name: Arc<str>,
    /// Address as `IP:PORT`; port 0 selects a free port.
    pub addr: Arc<str>,
    /// Options of the target.
    pub options: TargetOptions,
}
