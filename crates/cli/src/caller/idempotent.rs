//! Sends idempotent requests, which may run more than once, with retries on other hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_schema::api::{HostWeight, Run};
use tokio::time::Instant;

use super::{
    CallRequest, CallResult, Caller, Outcome, TargetResponse,
    connections::{AttemptHeaders, AttemptResult},
};

/// Tries one host after another until a target responds, the attempts or the deadline are used up,
/// or a host refuses the request without a time for a retry.
pub(super) async fn run(caller: &Caller, request: &CallRequest, deadline: Instant) -> CallResult {
    let mut result = CallResult {
        outcome: Outcome::NotRun("no host answered a look-up".into()),
        attempts: 0,
        not_run_keys: Vec::new(),
        key: None,
    };
    let mut tried = Vec::new();
    for _ in 0..caller.options.attempts {
        let Some(hosts) = caller.look_up(&request.service, deadline).await else {
            return result;
        };
        let Some(address) = choose(caller, &hosts.hosts, &tried) else {
            return result;
        };
        let headers = AttemptHeaders {
            caller: caller.name(),
            deadline,
            key: None,
        };
        let retry_after = match caller.connections.attempt(address, request, &headers).await {
            AttemptResult::Answer(status, body) => {
                result.attempts += 1;
                result.outcome = Outcome::Answered(TargetResponse {
                    status,
                    body,
                    host: address,
                    key: None,
                });
                return result;
            }
            AttemptResult::Problem(problem) => {
                result.attempts += 1;
                let retry_after = problem.retry_after_ms.map(Duration::from_millis);
                result.outcome = outcome(problem.run, &problem.detail);
                if problem.run == Run::No && retry_after.is_none() {
                    return result;
                }
                retry_after
            }
            AttemptResult::NotSent => {
                caller.invalidate(&request.service);
                result.outcome = Outcome::NotRun("no host could be reached".into());
                None
            }
            AttemptResult::Incomplete => {
                result.attempts += 1;
                caller.invalidate(&request.service);
                result.outcome = Outcome::Unknown("a host gave no whole answer".into());
                None
            }
        };
        tried.push(address);
        if !caller.backoff(retry_after, deadline).await {
            return result;
        }
    }
    result
}

/// Converts a host's problem response to the outcome of the request.
pub(super) fn outcome(run: Run, detail: &Arc<str>) -> Outcome {
    match run {
        Run::No => Outcome::NotRun(Arc::clone(detail)),
        Run::Unknown => Outcome::Unknown(Arc::clone(detail)),
        Run::Yes => Outcome::ResponseLost,
    }
}

/// Chooses a host at random by weight, preferring hosts that were not tried yet.
fn choose(caller: &Caller, hosts: &[HostWeight], tried: &[SocketAddr]) -> Option<SocketAddr> {
    let all = hosts.iter().filter_map(|host| {
        let address = host.address.parse::<SocketAddr>().ok()?;
        Some((address, host.weight))
    });
    let all: Vec<_> = all.collect();
    let untried = all.iter().filter(|(address, _)| !tried.contains(address));
    let untried: Vec<_> = untried.copied().collect();
    let candidates = if untried.is_empty() { all } else { untried };
    let total: u64 = candidates.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return candidates.first().map(|(address, _)| *address);
    }
    let mut offset = caller.draw(total);
    for (address, weight) in candidates {
        if offset < weight {
            return Some(address);
        }
        offset -= weight;
    }
    None
}
