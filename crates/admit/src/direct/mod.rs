//! Decisions of a host that sends straight to targets whose slots nobody owns.
//!
//! Each of them keeps a bound that holds for all hosts together. A host keeps its part of it alone,
//! so that no request waits for a message between hosts: a part is smaller than what a shared
//! counter could allow, and never adds up to more.

mod budget;
mod bytes;
mod cold;
mod connections;
mod forecast;
mod limit;
mod ranks;
mod set_aside;
mod sharers;

pub use self::{
    budget::{RetryBudget, RetryLimits},
    bytes::BodyBudget,
    cold::{ColdStartLimiter, ColdStartLimits},
    connections::{AcceptDecision, ConnectionLimits, OpenConnections},
    forecast::LatencyEstimator,
    limit::{LimitShare, RateLimitConfig, TokenBucket, TokenCache, TokenGrant},
    ranks::PriorityShedder,
    set_aside::{Ejection, Evidence, FailureRate},
    sharers::RecentHosts,
};
