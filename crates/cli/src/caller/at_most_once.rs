//! Requests that must run at most once, under an idempotency key.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_coord::once::PriorAttempts;
use dunlinrock_schema::api::{Binding, Problem, Run};
use tokio::time::Instant;

use super::{
    CallRequest, CallResult, Caller, Outcome, TargetResponse,
    connections::{AttemptHeaders, AttemptResult},
    idempotent::outcome,
};

/// An idempotency key and the record of its attempts.
struct Key {
    text: Arc<str>,
    owner: SocketAddr,
    witness: SocketAddr,
    /// Attempts that a host may have received. Each attempt states them, because a host may answer
    /// `run: no` only if it knows whether another host may have received the key.
    sent: PriorAttempts,
    /// Whether the next attempt goes to the witness rather than the owner.
    at_witness: bool,
}

impl Key {
    fn open(binding: &Binding, nonce: &str) -> Option<Self> {
        Some(Self {
            text: format!("{}.{nonce}", binding.prefix).into(),
            owner: binding.owner.parse().ok()?,
            witness: binding.witness.parse().ok()?,
            sent: PriorAttempts::NONE,
            at_witness: false,
        })
    }

    fn at(&self) -> SocketAddr {
        if self.at_witness {
            self.witness
        } else {
            self.owner
        }
    }

    /// Counts an attempt that the current host may have received.
    fn count_attempt(&mut self) {
        match self.at_witness {
            true => self.sent.witness += 1,
            false => self.sent.owner += 1,
        }
    }

    fn is_sent(&self) -> bool {
        self.sent.owner + self.sent.witness > 0
    }

    /// Switches between owner and witness; has no effect if they are the same host.
    fn switch_host(&mut self) {
        self.at_witness = !self.at_witness && self.owner != self.witness;
    }
}

/// The step after an attempt.
enum Next {
    /// The request has ended.
    End,
    /// Retry with the same key at its other host, after an optional delay.
    SameKey(Option<Duration>),
    /// The key will never run; retry with a new one, after an optional delay.
    NewKey(Option<Duration>),
}

/// Runs a request, with a new key only after the previous key is known never to run.
pub(super) async fn run(caller: &Caller, request: &CallRequest, deadline: Instant) -> CallResult {
    let mut result = CallResult {
        outcome: Outcome::NotRun("no host answered a look-up".into()),
        attempts: 0,
        not_run_keys: Vec::new(),
        key: None,
    };
    let mut remaining = caller.options.attempts;
    while remaining > 0 {
        let Some(mut key) = bind(caller, request, deadline).await else {
            return result;
        };
        result.key = Some(Arc::clone(&key.text));
        loop {
            remaining -= 1;
            let wait = match attempt(caller, request, deadline, &mut key, &mut result).await {
                Next::End => return result,
                Next::SameKey(wait) => {
                    key.switch_host();
                    wait
                }
                Next::NewKey(wait) => {
                    caller.invalidate(&request.service);
                    if remaining == 0 || !caller.backoff(wait, deadline).await {
                        return result;
                    }
                    break;
                }
            };
            if remaining == 0 || !caller.backoff(wait, deadline).await {
                return result;
            }
        }
    }
    result
}

async fn bind(caller: &Caller, request: &CallRequest, deadline: Instant) -> Option<Key> {
    let hosts = caller.look_up(&request.service, deadline).await?;
    Key::open(hosts.binding.as_ref()?, &Caller::nonce())
}

async fn attempt(
    caller: &Caller,
    request: &CallRequest,
    deadline: Instant,
    key: &mut Key,
    result: &mut CallResult,
) -> Next {
    let at = key.at();
    let head = AttemptHeaders {
        caller: caller.name(),
        deadline,
        key: Some((&key.text, key.sent.to_string())),
    };
    let tried = caller.connections.attempt(at, request, &head).await;
    if !matches!(tried, AttemptResult::NotSent) {
        key.count_attempt();
        result.attempts += 1;
    }
    match tried {
        AttemptResult::Answer(status, body) => {
            result.outcome = Outcome::Answered(TargetResponse {
                status,
                body,
                host: at,
                key: Some(Arc::clone(&key.text)),
            });
            Next::End
        }
        AttemptResult::Problem(problem) => handle_problem(&problem, key, result),
        // Neither owner nor witness received the key, so it cannot run, and a new key is safe.
        AttemptResult::NotSent
            if !key.is_sent() && (key.at_witness || key.owner == key.witness) =>
        {
            result.outcome = Outcome::NotRun("no host could be reached".into());
            Next::NewKey(None)
        }
        AttemptResult::NotSent => Next::SameKey(None),
        AttemptResult::Incomplete => {
            result.outcome = Outcome::Unknown("a host gave no whole answer".into());
            Next::SameKey(None)
        }
    }
}

fn handle_problem(problem: &Problem, key: &Key, result: &mut CallResult) -> Next {
    let wait = problem.retry_after_ms.map(Duration::from_millis);
    result.outcome = outcome(problem.run, &problem.detail);
    match problem.run {
        Run::Yes => Next::End,
        Run::Unknown => Next::SameKey(wait),
        Run::No => {
            result.not_run_keys.push(Arc::clone(&key.text));
            match wait {
                Some(_) => Next::NewKey(wait),
                None => Next::End,
            }
        }
    }
}
