//! Carries one request through a pool that this host owns.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{Completion, LoadReport, Offer, Outcome, RefusalReason};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    Links,
    target::{self, Ran},
};
use crate::{
    call::Call,
    duties::pools::{Event, Events, Input, PoolId},
    ring::Full,
    shared::Shared,
    view::PoolRoute,
    wire::{Answer, Kind, Trouble},
};

/// Retry hint for a host whose own rings are full: they empty in milliseconds.
const RING_PAUSE: Duration = Duration::from_millis(50);

/// What became of a request in a pool.
#[derive(Debug)]
pub enum Held {
    /// A target's whole answer.
    Answer(Answer),
    /// It has no answer.
    Trouble(Trouble),
    /// Another host owns the pool; the request has not run.
    NotOwner,
}

/// A request in a pool. Dropped before its end, it leaves the queue and frees its slots.
struct Ticket<'a> {
    shared: &'a Shared,
    pool: Arc<PoolId>,
    number: u64,
    open: bool,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if self.open {
            let (pool, ticket) = (Arc::clone(&self.pool), self.number);
            self.shared.pools.deliver(Input::Cancel { pool, ticket });
        }
    }
}

impl Ticket<'_> {
    fn finish(&self, target: &Arc<str>, outcome: Outcome, report: Option<LoadReport>) {
        self.shared.pools.deliver(Input::Finish {
            pool: Arc::clone(&self.pool),
            ticket: self.number,
            target: Arc::clone(target),
            outcome,
            report,
        });
    }
}

type Runs<'a> = FuturesUnordered<BoxFuture<'a, (Arc<str>, Ran)>>;

/// Offers `call` to the pool and carries it to its end.
///
/// Dropping the future cancels the request: in the queue it has not run, at a target its connection
/// is closed, which the target takes as cancellation.
pub async fn hold(shared: &Shared, links: &Links, route: &PoolRoute, call: &Call) -> Held {
    let (events, mut ear) = Events::open();
    let number = shared.ticket();
    let offer = offer(shared, call, number);
    let pool = Arc::clone(&route.id);
    if let Err(Full(_)) = shared.pools.push(Input::Offer {
        pool,
        offer,
        events,
    }) {
        let trouble = Trouble::not_run(Kind::Overloaded, "the host has too many requests at once");
        return Held::Trouble(trouble.retry_after(RING_PAUSE));
    }
    let pool = Arc::clone(&route.id);
    let mut ticket = Ticket {
        shared,
        pool,
        number,
        open: true,
    };
    let mut runs: Runs<'_> = FuturesUnordered::new();
    let mut running: Vec<Arc<str>> = Vec::new();
    let mut last: Option<Ran> = None;
    let mut started = false;
    loop {
        tokio::select! {
            biased;
            Some((name, ran)) = runs.next(), if !runs.is_empty() => {
                if !running.contains(&name) {
                    continue; // aborted meanwhile
                }
                running.retain(|other| *other != name);
                ticket.finish(&name, ran.outcome, ran.report);
                let home = call.region == shared.me.region;
                shared.meters.ran(&route.id.service, ran.time, home);
                if ran.outcome == Outcome::Ok && let Some(answer) = ran.answer {
                    ticket.open = false;
                    return Held::Answer(answer);
                }
                last = Some(ran);
            }
            event = ear.recv() => match event {
                Some(Event::Start(name)) => {
                    started = true;
                    running.push(Arc::clone(&name));
                    runs.push(start(links, route, call, name));
                }
                Some(Event::Abort(name)) => running.retain(|other| *other != name),
                Some(Event::Ended(Completion::Final { ran })) => {
                    ticket.open = false;
                    return ended(last, ran);
                }
                Some(Event::Ended(_)) => {}
                Some(Event::Refused { reason, retry_after, ran }) => {
                    ticket.open = false;
                    return Held::Trouble(refused(reason, retry_after, ran));
                }
                Some(Event::NotOwner) => {
                    ticket.open = false;
                    return Held::NotOwner;
                }
                None => {
                    ticket.open = false;
                    return ended(last, started);
                }
            },
            () = sleep_until(call.deadline) => {
                for name in &running {
                    ticket.finish(name, Outcome::TimedOut, None);
                }
                return Held::Trouble(late(started));
            }
        }
    }
}

fn start<'a>(
    links: &'a Links,
    route: &PoolRoute,
    call: &'a Call,
    name: Arc<str>,
) -> BoxFuture<'a, (Arc<str>, Ran)> {
    let address = route.targets.get(&name).copied();
    let since = Instant::now();
    async move {
        let mut ran = match address {
            Some(address) => target::send(&links.targets, call, address).await,
            // The pool duty is ahead of this request's view by one configuration.
            None => Ran {
                outcome: Outcome::Refused,
                answer: None,
                detail: format!("target {name} is not in the configuration at hand"),
                report: None,
                time: Duration::ZERO,
            },
        };
        ran.time = since.elapsed();
        (name, ran)
    }
    .boxed()
}

fn offer(shared: &Shared, call: &Call, ticket: u64) -> Offer {
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

fn ended(last: Option<Ran>, ran: bool) -> Held {
    let Some(last) = last else {
        return Held::Trouble(Trouble::unknown(
            Kind::TargetFailed,
            "the run was broken off",
        ));
    };
    if let Some(answer) = last.answer {
        return Held::Answer(answer);
    }
    if !ran {
        let trouble = Trouble::not_run(Kind::Unavailable, last.detail);
        return Held::Trouble(trouble.retry_after(RING_PAUSE));
    }
    let kind = match last.outcome {
        Outcome::TimedOut => Kind::DeadlinePassed,
        _ => Kind::TargetFailed,
    };
    Held::Trouble(Trouble::unknown(kind, last.detail))
}

fn refused(reason: RefusalReason, retry_after: Duration, ran: bool) -> Trouble {
    let kind = match reason {
        RefusalReason::Quarantined => Kind::Quarantined,
        RefusalReason::NoTarget => Kind::Unavailable,
        _ => Kind::Overloaded,
    };
    let trouble = match ran {
        true => Trouble::unknown(kind, reason.to_string()),
        false => Trouble::not_run(kind, reason.to_string()),
    };
    trouble.retry_after(retry_after)
}

fn late(started: bool) -> Trouble {
    match started {
        true => Trouble::unknown(
            Kind::DeadlinePassed,
            "no whole answer came before the deadline",
        ),
        false => Trouble::not_run(Kind::Overloaded, "no slot came free before the deadline"),
    }
}
