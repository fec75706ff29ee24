//! Requests that are idempotent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_schema::api::{HostWeight, Run};
use tokio::time::Instant;

use super::{
    CallRequest, CallResult, Caller, Outcome, TargetResponse,
    connections::{AttemptHeaders, AttemptResult},
};

/// Tries one host after another until a target responds.
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
        let Some(at) = choose(caller, &hosts.hosts, &tried) else {
            return result;
        };
        let head = AttemptHeaders {
            caller: caller.name(),
            deadline,
            key: None,
        };
        let wait = match caller.connections.attempt(at, request, &head).await {
            AttemptResult::Answer(status, body) => {
                result.attempts += 1;
                result.outcome = Outcome::Answered(TargetResponse {
                    status,
                    body,
                    host: at,
                    key: None,
                });
                return result;
            }
            AttemptResult::Problem(problem) => {
                result.attempts += 1;
                let wait = problem.retry_after_ms.map(Duration::from_millis);
                result.outcome = outcome(problem.run, &problem.detail);
                if problem.run == Run::No && wait.is_none() {
                    return result;
                }
                wait
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
        tried.push(at);
        if !caller.backoff(wait, deadline).await {
            return result;
        }
    }
    result
}

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
    let untried = all.iter().filter(|(at, _)| !tried.contains(at));
    let untried: Vec<_> = untried.copied().collect();
    let from = if untried.is_empty() { all } else { untried };
    let sum: u64 = from.iter().map(|(_, weight)| weight).sum();
    if sum == 0 {
        return from.first().map(|(at, _)| *at);
    }
    let mut point = caller.draw(sum);
    for (at, weight) in from {
        if point < weight {
            return Some(at);
        }
        point -= weight;
    }
    None
}
