//! Chooses the region and the pool for a request and has it run there.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use dunlinrock_decide::{
    admit::{PoolCandidate, choose_pool},
    steer::{NoCapacity, Refusal, UnservableReason, spill::is_local},
};
use dunlinrock_schema::api::Run;
use tokio::time::Instant;

use super::{
    Clients, forward,
    in_pool::{PoolOutcome, run_in_pool},
};
use crate::{
    call::Call,
    duties::pools::PoolId,
    shared::Shared,
    view::{PoolRoute, View},
    wire::{Answer, CallError, ProblemKind},
};

/// Pools that a request is offered to at the most. The second helps when the load of the first was
/// heard too long ago, or its owner just died. More would multiply the offers of a region that is
/// full, where each of its pools refuses.
const MAX_POOLS: usize = 2;

/// Hand-overs between hosts at the most: one to the owner, one more where the owner changed since.
pub const MAX_HOPS: u8 = 2;

/// Bytes of a request's head, for the use of a link.
const ASSUMED_HEAD_BYTES: f64 = 500.0;
/// Bytes of an answer, for the use of a link, before its size is known.
const ASSUMED_ANSWER_BYTES: f64 = 2_000.0;

/// Least time at an owner for a hand-over to be worth it.
const MIN_FORWARD_TIME: Duration = Duration::from_millis(2);

/// Pause before a new view is looked for when the owner of a pool has changed under a request.
const VIEW_WAIT: Duration = Duration::from_millis(20);

/// Runs `call` in the region that its service's shares give it.
pub async fn dispatch(
    shared: &Shared,
    clients: &Clients,
    call: &Call,
) -> Result<Answer, CallError> {
    let view = shared.view.load_full();
    let region = select_region(shared, &view, call).await?;
    let mut tried: Vec<Arc<PoolId>> = Vec::new();
    let mut last = None;
    while tried.len() < MAX_POOLS {
        let view = shared.view.load_full();
        let Some(route) = select_pool(shared, &view, call, &region, &tried) else {
            break;
        };
        tried.push(Arc::clone(&route.id));
        match run_at_pool(shared, clients, &route, call).await {
            Ok(answer) => {
                record_answer(shared, call, &region, &answer);
                return Ok(answer);
            }
            Err(error) if may_try_next(&error, call) => last = Some(error),
            Err(error) => return Err(error),
        }
    }
    Err(last.unwrap_or_else(|| {
        let detail = format!(
            "no host has targets of {} in {region} to offer",
            call.service
        );
        CallError::not_run(ProblemKind::Unavailable, detail).retry_after(Duration::from_millis(250))
    }))
}

/// Runs `call` at one pool, wherever its owner is.
pub(crate) async fn run_at_pool(
    shared: &Shared,
    clients: &Clients,
    route: &PoolRoute,
    call: &Call,
) -> Result<Answer, CallError> {
    let Some(owner) = &route.owner else {
        return Err(owner_changing(&route.id));
    };
    if owner.incarnation != shared.me.incarnation {
        if call.hops >= MAX_HOPS {
            return Err(owner_changing(&route.id));
        }
        // With less time than the way there and back the owner's `run: no` could not arrive, and
        // the caller would be told that nobody knows.
        if call.deadline.saturating_duration_since(Instant::now())
            < 2 * route.delay + MIN_FORWARD_TIME
        {
            return Err(CallError::not_run(
                ProblemKind::Overloaded,
                "no time is left to hand it over",
            ));
        }
        route.record_sent();
        return forward::forward(shared, clients, route, owner, call).await;
    }
    match run_in_pool(shared, clients, route, call).await {
        PoolOutcome::Answer(answer) => Ok(answer),
        PoolOutcome::Error(error) => Err(error),
        PoolOutcome::NotOwner => {
            tokio::time::sleep(VIEW_WAIT).await;
            Err(owner_changing(&route.id))
        }
    }
}

fn owner_changing(pool: &PoolId) -> CallError {
    let detail = format!(
        "the owner of {}'s targets in {} is changing",
        pool.service, pool.domain
    );
    CallError::not_run(ProblemKind::Unavailable, detail).retry_after(Duration::from_millis(250))
}

/// Whether another pool may be tried: the request certainly did not run and was not judged by what
/// it is, or the host that had it is lost and it may run more than once; and there is time.
///
/// Not where a target failed: its pool has tried another one, as far as that was wise. A request
/// that kills its targets would go on to kill as many in the next pool, which has not heard of it.
fn may_try_next(error: &CallError, call: &Call) -> bool {
    let judged = matches!(
        error.kind,
        ProblemKind::Quarantined | ProblemKind::DeadlinePassed
    );
    let safe = error.run == Run::No || (call.repeatable && error.kind == ProblemKind::Unavailable);
    safe && !judged && Instant::now() < call.deadline
}

async fn select_region(shared: &Shared, view: &View, call: &Call) -> Result<Arc<str>, CallError> {
    if !view.services.contains_key(&call.service) {
        let detail = format!("no service {} in revision {}", call.service, view.revision);
        return Err(CallError::not_run(ProblemKind::UnknownService, detail));
    }
    let from = view.region(call.client, &shared.me.region);
    shared.traffic.record_arrival(&call.service, &from);
    // The same request draws the same region again: a refused one whose each try drew another
    // would soon be served, and the regions that are left would get more than their shares.
    let picked = view.shares.pick_region(&call.service, &from, call.identity);
    let region = picked
        .map(Arc::clone)
        .map_err(|refusal| no_region(call, &from, refusal))?;
    if is_local(&shared.me.region, &from, &region) {
        return Ok(region);
    }
    acquire_grant(shared, view, call, &region).await?;
    Ok(region)
}

/// Takes room that the region's hosts lent, waiting for it as long as a request may wait at all.
///
/// A share that no grant covers must not go out, nor to another region instead: many hosts that
/// each exceed their grants a little overrun a region together, and what is sent home instead moves
/// traffic outside the cap.
async fn acquire_grant(
    shared: &Shared,
    view: &View,
    call: &Call,
    region: &str,
) -> Result<(), CallError> {
    let max_wait = view
        .service(&call.service)
        .map_or(0, |rules| rules.queue_ms);
    let end = call
        .deadline
        .min(Instant::now() + Duration::from_millis(max_wait));
    loop {
        let Err(shortage) = take_grant(shared, call, region) else {
            return Ok(());
        };
        if shared
            .ungranted_limiter
            .try_acquire(view.members.len(), shared.now())
        {
            return Ok(());
        }
        if Instant::now() + shortage.retry_after >= end {
            let detail = format!("region {region} lends no room for {} now", call.service);
            let error = CallError::not_run(ProblemKind::Overloaded, detail);
            return Err(error.retry_after(shortage.retry_after));
        }
        tokio::time::sleep(shortage.retry_after).await;
    }
}

/// Takes room that the region's hosts lent to this one.
fn take_grant(shared: &Shared, call: &Call, region: &str) -> Result<(), NoCapacity> {
    let mut grantee = shared
        .grantee
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let sizes = (
        call.body.len() as f64 + ASSUMED_HEAD_BYTES,
        ASSUMED_ANSWER_BYTES,
    );
    grantee.try_acquire(region, &call.service, sizes, shared.now())
}

/// Counts an answer, and puts right what was taken of a link before its size was known.
fn record_answer(shared: &Shared, call: &Call, region: &str, answer: &Answer) {
    shared
        .traffic
        .record_answer(&call.service, call.body.len(), answer.body.len());
    let from = shared.view.load().region(call.client, &shared.me.region);
    if !is_local(&shared.me.region, &from, region) {
        let mut grantee = shared
            .grantee
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let more = answer.body.len() as f64 - ASSUMED_ANSWER_BYTES;
        grantee.adjust_bytes(region, &call.service, more);
    }
}

fn no_region(call: &Call, from: &str, refusal: Refusal) -> CallError {
    let why = match refusal.reason {
        UnservableReason::Starting => "this host has not heard yet where traffic goes",
        UnservableReason::NoRegion => "no region serves it",
        UnservableReason::RegionGone => "it moves to another region no faster than its cap",
    };
    let detail = format!("{} for callers of {from}: {why}", call.service);
    CallError::not_run(ProblemKind::Unavailable, detail).retry_after(refusal.retry_after)
}

fn select_pool(
    shared: &Shared,
    view: &View,
    call: &Call,
    region: &str,
    tried: &[Arc<PoolId>],
) -> Option<Arc<PoolRoute>> {
    let routes = view.services.get(&call.service)?.regions.get(region)?;
    let remaining: Vec<&Arc<PoolRoute>> = routes
        .iter()
        .filter(|r| r.owner.is_some() && !tried.contains(&r.id))
        .collect();
    let now = shared.now();
    let candidates: Vec<PoolCandidate> = remaining
        .iter()
        .map(|route| candidate(route, now))
        .collect();
    let at = choose_pool(&candidates, rand::random())?;
    remaining.get(at).map(|route| Arc::clone(route))
}

fn candidate(route: &PoolRoute, now: Duration) -> PoolCandidate {
    let reading = route.load_reading();
    PoolCandidate {
        load: reading.load,
        age: now.saturating_sub(reading.at),
        delay: route.delay,
        sent: route.sent_since(),
    }
}
