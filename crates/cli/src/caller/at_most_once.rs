//! Requests that must run at most once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_coord::once::PriorAttempts;
use dunlinrock_schema::api::{Binding, Problem, Run};
use tokio::time::Instant;

use super::{
    Answered, Ask, Caller, Done, Outcome,
    connections::{Attempt, Tried},
    idempotent::outcome,
};

/// A key with the record of its attempts.
struct Key {
    text: Arc<str>,
    owner: SocketAddr,
    witness: SocketAddr,
    /// Attempts that a host may have seen. Stated with each attempt: a host that says `run: no`
    /// relies on knowing whether another host may have seen the key.
    sent: PriorAttempts,
    /// Whether the next attempt goes to the witness.
    turn: bool,
}

impl Key {
    fn open(binding: &Binding, nonce: &str) -> Option<Self> {
        Some(Self {
            text: format!("{}.{nonce}", binding.prefix).into(),
            owner: binding.owner.parse().ok()?,
            witness: binding.witness.parse().ok()?,
            sent: PriorAttempts::NONE,
            turn: false,
        })
    }

    fn at(&self) -> SocketAddr {
        if self.turn { self.witness } else { self.owner }
    }

    /// Notes an attempt that a host may have seen.
    fn note(&mut self) {
        match self.turn {
            true => self.sent.witness += 1,
            false => self.sent.owner += 1,
        }
    }

    fn is_sent(&self) -> bool {
        self.sent.owner + self.sent.witness > 0
    }

    /// Turns to the other host; a key of one host alone stays with it.
    fn turn(&mut self) {
        self.turn = !self.turn && self.owner != self.witness;
    }
}

/// What follows an attempt.
enum Next {
    /// The request has ended.
    End,
    /// The same key goes to its other host, after a time.
    Other(Option<Duration>),
    /// This key is closed for good; a new one may be tried, after a time.
    Anew(Option<Duration>),
}

/// Runs a request under one key after another; a new key only where the last one will never run.
pub(super) async fn run(caller: &Caller, ask: &Ask, deadline: Instant) -> Done {
    let mut done = Done {
        outcome: Outcome::NotRun("no host answered a look-up".into()),
        attempts: 0,
        refused: Vec::new(),
        key: None,
    };
    let mut left = caller.rules.attempts;
    while left > 0 {
        let Some(mut key) = bind(caller, ask, deadline).await else {
            return done;
        };
        done.key = Some(Arc::clone(&key.text));
        loop {
            left -= 1;
            let wait = match attempt(caller, ask, deadline, &mut key, &mut done).await {
                Next::End => return done,
                Next::Other(wait) => {
                    key.turn();
                    wait
                }
                Next::Anew(wait) => {
                    caller.forget(&ask.service);
                    if left == 0 || !caller.pause(wait, deadline).await {
                        return done;
                    }
                    break;
                }
            };
            if left == 0 || !caller.pause(wait, deadline).await {
                return done;
            }
        }
    }
    done
}

async fn bind(caller: &Caller, ask: &Ask, deadline: Instant) -> Option<Key> {
    let hosts = caller.look_up(&ask.service, deadline).await?;
    Key::open(hosts.binding.as_ref()?, &Caller::nonce())
}

async fn attempt(
    caller: &Caller,
    ask: &Ask,
    deadline: Instant,
    key: &mut Key,
    done: &mut Done,
) -> Next {
    let at = key.at();
    let head = Attempt {
        caller: caller.name(),
        deadline,
        key: Some((&key.text, key.sent.to_string())),
    };
    let tried = caller.link.attempt(at, ask, &head).await;
    if !matches!(tried, Tried::Unsent) {
        key.note();
        done.attempts += 1;
    }
    match tried {
        Tried::Answer(status, body) => {
            done.outcome = Outcome::Answered(Answered {
                status,
                body,
                host: at,
                key: Some(Arc::clone(&key.text)),
            });
            Next::End
        }
        Tried::Problem(problem) => answered(&problem, key, done),
        // Neither side has seen the key: nobody can run it, so it may be given up for a new one.
        Tried::Unsent if !key.is_sent() && (key.turn || key.owner == key.witness) => {
            done.outcome = Outcome::NotRun("no host could be reached".into());
            Next::Anew(None)
        }
        Tried::Unsent => Next::Other(None),
        Tried::Lost => {
            done.outcome = Outcome::Unknown("a host gave no whole answer".into());
            Next::Other(None)
        }
    }
}

fn answered(problem: &Problem, key: &Key, done: &mut Done) -> Next {
    let wait = problem.retry_after_ms.map(Duration::from_millis);
    done.outcome = outcome(problem.run, &problem.detail);
    match problem.run {
        Run::Yes => Next::End,
        Run::Unknown => Next::Other(wait),
        Run::No => {
            done.refused.push(Arc::clone(&key.text));
            match wait {
                Some(_) => Next::Anew(wait),
                None => Next::End,
            }
        }
    }
}
