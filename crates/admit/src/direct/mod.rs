//! Limits that each host enforces by itself when it sends directly to targets whose slots have no
//! owner.
//!
//! Each limit holds for all hosts together. A host enforces its share of it alone, so no request
//! waits for a message between hosts: the shares are smaller than what a shared counter could
//! allow, and never add up to more than the limit.

mod body_budget;
mod cold_start;
mod connections;
mod ejection;
mod entry;
mod idle_limit;
mod latency;
mod limit;
mod link;
mod notices;
mod own_share;
mod recent_hosts;
mod retry_budget;
mod returns;
mod run_times;
mod second_send;
mod shared_load;
mod start_pace;
mod start_paces;
mod target_rate;

pub use self::{
    body_budget::BodyBudget,
    cold_start::{ColdStartLimiter, ColdStartLimits},
    connections::{AcceptDecision, ConnectionLimits, OpenConnections},
    ejection::{Ejection, Evidence, FailureRate},
    entry::{EntryGate, FairShares, Place, Urgency},
    idle_limit::{IdleLimitChange, IdleLimits},
    latency::LatencyEstimator,
    limit::{LimitShare, RateLimitConfig, TokenBucket, TokenCache, TokenGrant},
    link::{Link, LinkCheck, LinkStatus},
    notices::{Admission, Notices, Process},
    own_share::{HostShare, OwnShare},
    recent_hosts::RecentHosts,
    retry_budget::{RetryBudget, RetryDecision, RetryLimits},
    returns::{Refusal, Return, ReturnBook},
    run_times::RunTimes,
    second_send::{LostSends, SecondTarget},
    shared_load::{LoadCollector, LoadFigure, Reporter, SaidLoad, TargetLoad, ToldLoad},
    start_pace::{Start, StartPace, StartResult, least_chance, place},
    start_paces::{BegunRamp, ListedTarget, StartEvidence, StartPaces},
    target_rate::{RateHosts, TargetRate},
};
