//! Runs one request in a pool that this host owns.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{Completion, Offer, Outcome, RefusalReason};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    Clients, probe,
    target::{self, AttemptResult},
};
use crate::{
    call::Call,
    duties::pools::{Event, EventSender, Input, PoolId},
    ring::Full,
    shared::Shared,
    view::PoolRoute,
    wire::{Answer, CallError, ProblemKind},
};

/// Retry hint when the host's own queues are full; they empty within milliseconds.
const FULL_QUEUE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Result of a request in a pool.
#[derive(Debug)]
pub enum PoolOutcome {
    /// Complete response of a target.
    Answer(Answer),
    /// The request has no response.
    Error(CallError),
    /// Another host owns the pool; the request has not run here.
    NotOwner,
}

/// Cancels a request in a pool when dropped while armed: the request leaves the queue and frees its
/// slots.
struct CancelGuard<'a> {
    shared: &'a Shared,
    pool: Arc<PoolId>,
    ticket: u64,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let (pool, ticket) = (Arc::clone(&self.pool), self.ticket);
            self.shared
                .pools
                .send_retrying(Input::Cancel { pool, ticket });
        }
    }
}

impl CancelGuard<'_> {
    fn finish(&self, target: &Arc<str>, ran: &AttemptResult) {
        self.shared.pools.send_retrying(Input::Finish {
            pool: Arc::clone(&self.pool),
            ticket: self.ticket,
            target: Arc::clone(target),
            outcome: ran.outcome,
            report: ran.report,
            backoff: ran.backoff,
        });
    }
}

type Attempts<'a> = FuturesUnordered<BoxFuture<'a, (Arc<str>, AttemptResult)>>;

/// Offers `call` to the pool and drives it to its end.
///
/// Dropping the future cancels the request: in the queue it has not run, and at a target its
/// connection is closed, which the target treats as cancellation.
pub async fn run_in_pool(
    shared: &Shared,
    clients: &Clients,
    route: &PoolRoute,
    call: &Call,
) -> PoolOutcome {
    let (events, mut receiver) = EventSender::channel();
    let ticket = shared.ticket();
    let offer = new_offer(shared, call, ticket);
    let pool = Arc::clone(&route.id);
    if let Err(Full(_)) = shared.pools.try_send(Input::Offer {
        pool,
        offer,
        events,
    }) {
        let error = CallError::not_run(
            ProblemKind::Overloaded,
            "the host has too many requests at once",
        );
        return PoolOutcome::Error(error.retry_after(FULL_QUEUE_RETRY_AFTER));
    }
    let pool = Arc::clone(&route.id);
    let mut guard = CancelGuard {
        shared,
        pool,
        ticket,
        armed: true,
    };
    let mut attempts: Attempts<'_> = FuturesUnordered::new();
    let mut running: Vec<Arc<str>> = Vec::new();
    let mut last: Option<AttemptResult> = None;
    let mut started = false;
    loop {
        tokio::select! {
            biased;
            Some((name, ran)) = attempts.next(), if !attempts.is_empty() => {
                if !running.contains(&name) {
                    continue; // aborted meanwhile
                }
                running.retain(|other| *other != name);
                guard.finish(&name, &ran);
                let local = call.region == shared.me.region;
                shared.traffic.record_run(&route.id.service, ran.time, local);
                if ran.outcome == Outcome::Ok && let Some(answer) = ran.answer {
                    guard.armed = false;
                    return PoolOutcome::Answer(answer);
                }
                last = Some(ran);
            }
            event = receiver.recv() => match event {
                Some(Event::Start(name)) => {
                    started = true;
                    running.push(Arc::clone(&name));
                    attempts.push(start_attempt(shared, clients, route, call, name));
                }
                Some(Event::Abort(name)) => running.retain(|other| *other != name),
                Some(Event::Ended(Completion::Final { ran })) => {
                    guard.armed = false;
                    return final_outcome(last, ran);
                }
                Some(Event::Ended(_)) => {}
                Some(Event::Refused { reason, retry_after, ran }) => {
                    guard.armed = false;
                    return PoolOutcome::Error(refused(reason, retry_after, ran));
                }
                Some(Event::NotOwner) => {
                    guard.armed = false;
                    return PoolOutcome::NotOwner;
                }
                None => {
                    guard.armed = false;
                    return final_outcome(last, started);
                }
            },
            () = sleep_until(call.deadline) => {
                let timeout = target::failed(Outcome::TimedOut, String::new());
                running.iter().for_each(|name| guard.finish(name, &timeout));
                return PoolOutcome::Error(deadline_passed(started));
            }
        }
    }
}

fn start_attempt<'a>(
    shared: &'a Shared,
    clients: &'a Clients,
    route: &PoolRoute,
    call: &'a Call,
    name: Arc<str>,
) -> BoxFuture<'a, (Arc<str>, AttemptResult)> {
    let address = route.targets.get(&name).copied();
    let since = Instant::now();
    async move {
        let mut ran = match address {
            Some(address) => {
                let witnesses = || probe::witnesses(&shared.view.load(), address);
                target::send(&clients.targets, call, address, witnesses).await
            }
            // The pools worker already has a newer configuration than this request's view.
            None => target::failed(
                Outcome::Refused,
                format!("target {name} is not in the configuration at hand"),
            ),
        };
        ran.time = since.elapsed();
        (name, ran)
    }
    .boxed()
}

fn new_offer(shared: &Shared, call: &Call, ticket: u64) -> Offer {
    Offer {
        ticket,
        caller: call.caller,
        key: call.topic,
        kind: call.kind,
        fingerprint: call.fingerprint,
        deadline: shared.clock.at(call.deadline),
        repeatable: call.repeatable,
        tried: Vec::new(),
    }
}

fn final_outcome(last: Option<AttemptResult>, ran: bool) -> PoolOutcome {
    let Some(last) = last else {
        return PoolOutcome::Error(CallError::unknown(
            ProblemKind::TargetFailed,
            "the run was broken off",
        ));
    };
    if let Some(answer) = last.answer {
        return PoolOutcome::Answer(answer);
    }
    if !ran {
        let error = CallError::not_run(ProblemKind::Unavailable, last.detail);
        return PoolOutcome::Error(error.retry_after(FULL_QUEUE_RETRY_AFTER));
    }
    let kind = match last.outcome {
        Outcome::TimedOut => ProblemKind::DeadlinePassed,
        _ => ProblemKind::TargetFailed,
    };
    PoolOutcome::Error(CallError::unknown(kind, last.detail))
}

fn refused(reason: RefusalReason, retry_after: Duration, ran: bool) -> CallError {
    let kind = match reason {
        RefusalReason::Quarantined => ProblemKind::Quarantined,
        RefusalReason::NoTarget => ProblemKind::Unavailable,
        _ => ProblemKind::Overloaded,
    };
    let error = match ran {
        true => CallError::unknown(kind, reason.to_string()),
        false => CallError::not_run(kind, reason.to_string()),
    };
    error.retry_after(retry_after)
}

fn deadline_passed(started: bool) -> CallError {
    match started {
        true => CallError::unknown(
            ProblemKind::DeadlinePassed,
            "no whole answer came before the deadline",
        ),
        false => CallError::not_run(
            ProblemKind::Overloaded,
            "no slot came free before the deadline",
        ),
    }
}
