//! Simulation of loads against a policy in virtual time.
//!
//! The example `loads`, the tests of the limits and the sweeps run on it: arrivals, service times,
//! lagging reports and a few faults, as events in a priority queue. It is not a model of a cluster:
//! hosts neither fail nor communicate here, apart from the delay of a hand-over and the age of the
//! summaries by which a pool is chosen.

mod baselines;
mod event_queue;
mod pools;
mod results;
mod scenario;
mod target;

pub use self::{
    results::{Group, Results},
    scenario::{DEPLOYMENTS, Deployment, Fault, LOADS, RequestKind, Scenario, load},
};

use crate::PoolConfig;

/// Policy by which requests are assigned to targets.
#[derive(Clone, Debug)]
pub enum Policy {
    /// [`Pool`](crate::Pool)s, one for each failure domain, chosen by
    /// [`choose_pool`](crate::choose_pool).
    Pools(PoolConfig),
    /// A random target of the region with an unbounded first-in-first-out queue.
    Random,
    /// Many hosts that each use the less busy of two targets by lagging reports; a full target
    /// sheds.
    TwoChoices {
        /// Hosts in a region.
        hosts: usize,
        /// Attempts before the request is refused.
        attempts: u32,
    },
}

/// Simulates a scenario under a policy.
pub fn simulate(scenario: &Scenario, policy: &Policy) -> Results {
    match policy {
        Policy::Pools(config) => pools::simulate(scenario, config),
        Policy::Random => baselines::simulate(scenario, None),
        Policy::TwoChoices { hosts, attempts } => {
            baselines::simulate(scenario, Some((*hosts, *attempts)))
        }
    }
}
