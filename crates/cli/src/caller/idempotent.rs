//! Requests that may be repeated.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_schema::api::{HostWeight, Run};
use tokio::time::Instant;

use super::{
    Answered, Ask, Caller, Done, Outcome,
    connections::{Attempt, Tried},
};

/// Tries one host after another until one answers.
pub(super) async fn run(caller: &Caller, ask: &Ask, deadline: Instant) -> Done {
    let mut done = Done {
        outcome: Outcome::NotRun("no host answered a look-up".into()),
        attempts: 0,
        refused: Vec::new(),
        key: None,
    };
    let mut tried = Vec::new();
    for _ in 0..caller.rules.attempts {
        let Some(hosts) = caller.look_up(&ask.service, deadline).await else {
            return done;
        };
        let Some(at) = choose(caller, &hosts.hosts, &tried) else {
            return done;
        };
        let head = Attempt {
            caller: caller.name(),
            deadline,
            key: None,
        };
        let wait = match caller.link.attempt(at, ask, &head).await {
            Tried::Answer(status, body) => {
                done.attempts += 1;
                done.outcome = Outcome::Answered(Answered {
                    status,
                    body,
                    host: at,
                    key: None,
                });
                return done;
            }
            Tried::Problem(problem) => {
                done.attempts += 1;
                let wait = problem.retry_after_ms.map(Duration::from_millis);
                done.outcome = outcome(problem.run, &problem.detail);
                if problem.run == Run::No && wait.is_none() {
                    return done;
                }
                wait
            }
            Tried::Unsent => {
                caller.forget(&ask.service);
                done.outcome = Outcome::NotRun("no host could be reached".into());
                None
            }
            Tried::Lost => {
                done.attempts += 1;
                caller.forget(&ask.service);
                done.outcome = Outcome::Unknown("a host gave no whole answer".into());
                None
            }
        };
        tried.push(at);
        if !caller.pause(wait, deadline).await {
            return done;
        }
    }
    done
}

pub(super) fn outcome(run: Run, detail: &Arc<str>) -> Outcome {
    match run {
        Run::No => Outcome::NotRun(Arc::clone(detail)),
        Run::Unknown => Outcome::Unknown(Arc::clone(detail)),
        Run::Yes => Outcome::Ran,
    }
}

/// Chooses a host by weight, one that was not tried yet where there is one.
fn choose(caller: &Caller, hosts: &[HostWeight], tried: &[SocketAddr]) -> Option<SocketAddr> {
    let all = hosts.iter().filter_map(|host| {
        let address = host.address.parse::<SocketAddr>().ok()?;
        Some((address, host.weight))
    });
    let all: Vec<_> = all.collect();
    let fresh = all.iter().filter(|(at, _)| !tried.contains(at));
    let fresh: Vec<_> = fresh.copied().collect();
    let from = if fresh.is_empty() { all } else { fresh };
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
