//! Rules of a target.

use std::{sync::Arc, time::Duration};

/// How long work takes: a median, a spread, and now and then long work.
#[derive(Clone, Debug)]
pub struct Work {
    /// Median time.
    pub median: Duration,
    /// Standard deviation of the logarithm of the time; 0 makes all work take the median.
    pub sigma: f64,
    /// Part of the requests whose work is long, of 1.
    pub long_share: f64,
    /// Times the median that long work takes.
    pub long_factor: f64,
}

/// How a target behaves.
#[derive(Clone, Debug)]
pub struct TargetRules {
    /// Requests run at once.
    pub slots: u32,
    /// Requests that wait for a slot; more are shed.
    pub backlog: u32,
    /// Connections served at once; more are closed.
    pub connections: usize,
    /// Time of the work of a request.
    pub work: Work,
    /// Times the work takes on a cold cache; falls to 1 while it warms.
    pub cold_factor: f64,
    /// Requests after which the cache is warm; 0 starts it warm.
    pub warm_after: u64,
    /// Age of the load that it reports.
    pub lag: Duration,
    /// Bytes of filling in each answer.
    pub answer_bytes: usize,
    /// Time it stays down after a request that kills it.
    pub down: Duration,
    /// Seed of the times of work.
    pub seed: u64,
}

impl Default for TargetRules {
    /// A warm worker of 3 slots with work of about 5 ms and reports half a second old.
    fn default() -> Self {
        Self {
            slots: 3,
            backlog: 2,
            connections: 330,
            work: Work {
                median: Duration::from_millis(5),
                sigma: 0.4,
                long_share: 0.0,
                long_factor: 20.0,
            },
            cold_factor: 3.0,
            warm_after: 0,
            lag: Duration::from_millis(500),
            answer_bytes: 256,
            down: Duration::from_secs(2),
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
    pub rules: TargetRules,
}
