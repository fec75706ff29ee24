//! Decisions of a host that sends straight to targets whose slots nobody owns.
//!
//! Each of them keeps a bound that holds for all hosts together. A host keeps its part of it alone,
//! so that no request waits for a message between hosts: a part is smaller than what a shared
//! counter could allow, and never adds up to more.

mod body_budget;
mod cold_start;
mod connections;
mod ejection;
mod latency;
mod limit;
mod ranks;
mod recent_hosts;
mod retry_budget;

pub use self::{
    body_budget::BodyBudget,
    cold_start::{ColdStartLimiter, ColdStartLimits},
    connections::{AcceptDecision, ConnectionLimits, OpenConnections},
    ejection::{Ejection, Evidence, FailureRate},
    latency::LatencyEstimator,
    limit::{LimitShare, RateLimitConfig, TokenBucket, TokenCache, TokenGrant},
    ranks::PriorityShedder,
    recent_hosts::RecentHosts,
    retry_budget::{RetryBudget, RetryLimits},
};
