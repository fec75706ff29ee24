//! Chooses the region and the pool for a request and runs it there.

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
    clock::millis,
    duties::pools::PoolId,
    shared::Shared,
    view::{PoolRoute, View},
    wire::{Answer, CallError, ProblemKind},
};

/// Maximum number of pools that a request is offered to. The second one helps if the load of the
/// first was reported too long ago, or if its owner has just crashed. More would multiply the
/// offers in a region that is full, where each pool refuses.
const MAX_POOLS: usize = 2;

/// Maximum number of hops between hosts: one to the owner, one more if the owner has changed since.
pub const MAX_HOPS: u8 = 2;

/// Assumed size of a request head, in bytes, for the use of a link.
const ASSUMED_HEAD_BYTES: f64 = 500.0;
/// Assumed size of a response, in bytes, for the use of a link, before its size is known.
const ASSUMED_ANSWER_BYTES: f64 = 2_000.0;

/// Minimum remaining time at the owner for which a request is forwarded.
const MIN_FORWARD_TIME: Duration = Duration::from_millis(2);

/// Time to wait for a new view when the owner of a pool has changed during a request.
const VIEW_WAIT: Duration = Duration::from_millis(20);

/// Runs `call` in the region that the traffic shares of its service select.
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

/// Runs `call` at one pool, at this host or at the host that owns the pool.
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
        // If the remaining time is shorter than the round trip, the owner's `run: no` could not
        // arrive in time, and the caller would be told `run: unknown`.
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

/// Returns whether another pool may be tried: there is time, the request was not refused because of
/// its content, and either it certainly did not run, or the host that had it is unreachable and the
/// request is idempotent.
///
/// No other pool is tried after a target failed: its pool has already retried at another target
/// where that was safe. A request that crashes its targets would crash as many in the next pool,
/// which does not know about it yet.
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
    // A retry of a request draws the same region: if each attempt drew another one, refused
    // requests would soon be served, and the remaining regions would get more than their shares.
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

/// Acquires a grant of the region's hosts, waiting for it at most for the service's queue time.
///
/// Without a grant the request must not be sent, nor may it be sent to another region: many hosts
/// that each exceed their grants a little would overload a region together, and requests sent to
/// the local region instead would move traffic outside the cap.
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

/// Takes one request from the grants of the region's hosts.
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

/// Records a response, and corrects the use of the link, which was assumed before the size of the
/// response was known.
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
    log::debug!(
        request = &*call.request, service = &*call.service, callers = from, attempt = call.identity,
        retry_after_ms = millis(refusal.retry_after); "no region for the request: {why}"
    );
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
