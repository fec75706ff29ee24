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
    Links, forward,
    in_pool::{Held, hold},
};
use crate::{
    call::Call,
    duties::pools::PoolId,
    shared::Shared,
    view::{PoolRoute, View},
    wire::{Answer, Kind, Trouble},
};

/// Pools that a request is offered to at the most. The second helps when the load of the first was
/// heard too long ago, or its owner just died. More would multiply the offers of a region that is
/// full, where each of its pools refuses.
const POOL_TRIES: usize = 2;

/// Hand-overs between hosts at the most: one to the owner, one more where the owner changed since.
pub const MAX_HOPS: u8 = 2;

/// Bytes of a request's head, for the use of a link.
const HEAD_BYTES: f64 = 500.0;
/// Bytes of an answer, for the use of a link, before its size is known.
const ANSWER_BYTES: f64 = 2_000.0;

/// Least time at an owner for a hand-over to be worth it.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// Pause before a new view is looked for when the owner of a pool has changed under a request.
const VIEW_PAUSE: Duration = Duration::from_millis(20);

/// Runs `call` in the region that its service's shares give it.
pub async fn dispatch(shared: &Shared, links: &Links, call: &Call) -> Result<Answer, Trouble> {
    let view = shared.view.load_full();
    let region = region(shared, &view, call).await?;
    let mut tried: Vec<Arc<PoolId>> = Vec::new();
    let mut last = None;
    while tried.len() < POOL_TRIES {
        let view = shared.view.load_full();
        let Some(route) = pool(shared, &view, call, &region, &tried) else {
            break;
        };
        tried.push(Arc::clone(&route.id));
        match run(shared, links, &route, call).await {
            Ok(answer) => {
                count(shared, call, &region, &answer);
                return Ok(answer);
            }
            Err(trouble) if goes_on(&trouble, call) => last = Some(trouble),
            Err(trouble) => return Err(trouble),
        }
    }
    Err(last.unwrap_or_else(|| {
        let detail = format!(
            "no host has targets of {} in {region} to offer",
            call.service
        );
        Trouble::not_run(Kind::Unavailable, detail).retry_after(Duration::from_millis(250))
    }))
}

/// Runs `call` at one pool, wherever its owner is.
pub(crate) async fn run(
    shared: &Shared,
    links: &Links,
    route: &PoolRoute,
    call: &Call,
) -> Result<Answer, Trouble> {
    let Some(owner) = &route.owner else {
        return Err(unowned(&route.id));
    };
    if owner.incarnation != shared.me.incarnation {
        if call.hops >= MAX_HOPS {
            return Err(unowned(&route.id));
        }
        // With less time than the way there and back the owner's `run: no` could not arrive, and
        // the caller would be told that nobody knows.
        if call.deadline.saturating_duration_since(Instant::now()) < 2 * route.delay + LEAST_TIME {
            return Err(Trouble::not_run(
                Kind::Overloaded,
                "no time is left to hand it over",
            ));
        }
        route.send();
        return forward::forward(shared, links, route, owner, call).await;
    }
    match hold(shared, links, route, call).await {
        Held::Answer(answer) => Ok(answer),
        Held::Trouble(trouble) => Err(trouble),
        Held::NotOwner => {
            tokio::time::sleep(VIEW_PAUSE).await;
            Err(unowned(&route.id))
        }
    }
}

fn unowned(pool: &PoolId) -> Trouble {
    let detail = format!(
        "the owner of {}'s targets in {} is changing",
        pool.service, pool.domain
    );
    Trouble::not_run(Kind::Unavailable, detail).retry_after(Duration::from_millis(250))
}

/// Whether another pool may be tried: the request certainly did not run and was not judged by what
/// it is, or the host that had it is lost and it may run more than once; and there is time.
///
/// Not where a target failed: its pool has tried another one, as far as that was wise. A request
/// that kills its targets would go on to kill as many in the next pool, which has not heard of it.
fn goes_on(trouble: &Trouble, call: &Call) -> bool {
    let judged = matches!(trouble.kind, Kind::Quarantined | Kind::DeadlinePassed);
    let safe = trouble.run == Run::No || (call.repeatable && trouble.kind == Kind::Unavailable);
    safe && !judged && Instant::now() < call.deadline
}

async fn region(shared: &Shared, view: &View, call: &Call) -> Result<Arc<str>, Trouble> {
    if !view.services.contains_key(&call.service) {
        let detail = format!("no service {} in revision {}", call.service, view.revision);
        return Err(Trouble::not_run(Kind::UnknownService, detail));
    }
    let from = view.region(call.client, &shared.me.region);
    shared.meters.entered(&call.service, &from);
    // The same request draws the same region again: a refused one whose each try drew another
    // would soon be served, and the regions that are left would get more than their shares.
    let picked = view.shares.pick_region(&call.service, &from, call.identity);
    let region = picked
        .map(Arc::clone)
        .map_err(|refusal| unservable(call, &from, refusal))?;
    if is_local(&shared.me.region, &from, &region) {
        return Ok(region);
    }
    room(shared, view, call, &region).await?;
    Ok(region)
}

/// Takes room that the region's hosts lent, waiting for it as long as a request may wait at all.
///
/// A share that no grant covers must not go out, nor to another region instead: many hosts that
/// each exceed their grants a little overrun a region together, and what is sent home instead moves
/// traffic outside the cap.
async fn room(shared: &Shared, view: &View, call: &Call, region: &str) -> Result<(), Trouble> {
    let patience = view
        .service(&call.service)
        .map_or(0, |rules| rules.queue_ms);
    let end = call
        .deadline
        .min(Instant::now() + Duration::from_millis(patience));
    loop {
        let Err(shortage) = borrow(shared, call, region) else {
            return Ok(());
        };
        if shared.trickle.take(view.members.len(), shared.now()) {
            return Ok(());
        }
        if Instant::now() + shortage.retry_after >= end {
            let detail = format!("region {region} lends no room for {} now", call.service);
            let trouble = Trouble::not_run(Kind::Overloaded, detail);
            return Err(trouble.retry_after(shortage.retry_after));
        }
        tokio::time::sleep(shortage.retry_after).await;
    }
}

/// Takes room that the region's hosts lent to this one.
fn borrow(shared: &Shared, call: &Call, region: &str) -> Result<(), NoCapacity> {
    let mut grantee = shared
        .grantee
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let sizes = (call.body.len() as f64 + HEAD_BYTES, ANSWER_BYTES);
    grantee.try_acquire(region, &call.service, sizes, shared.now())
}

/// Counts an answer, and puts right what was taken of a link before its size was known.
fn count(shared: &Shared, call: &Call, region: &str, answer: &Answer) {
    shared
        .meters
        .answered(&call.service, call.body.len(), answer.body.len());
    let from = shared.view.load().region(call.client, &shared.me.region);
    if !is_local(&shared.me.region, &from, region) {
        let mut grantee = shared
            .grantee
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let more = answer.body.len() as f64 - ANSWER_BYTES;
        grantee.adjust_bytes(region, &call.service, more);
    }
}

fn unservable(call: &Call, from: &str, refusal: Refusal) -> Trouble {
    let why = match refusal.reason {
        UnservableReason::Starting => "this host has not heard yet where traffic goes",
        UnservableReason::NoRegion => "no region serves it",
        UnservableReason::RegionGone => "it moves to another region no faster than its cap",
    };
    let detail = format!("{} for callers of {from}: {why}", call.service);
    Trouble::not_run(Kind::Unavailable, detail).retry_after(refusal.retry_after)
}

fn pool(
    shared: &Shared,
    view: &View,
    call: &Call,
    region: &str,
    tried: &[Arc<PoolId>],
) -> Option<Arc<PoolRoute>> {
    let routes = view.services.get(&call.service)?.regions.get(region)?;
    let left: Vec<&Arc<PoolRoute>> = routes
        .iter()
        .filter(|r| r.owner.is_some() && !tried.contains(&r.id))
        .collect();
    let now = shared.now();
    let candidates: Vec<PoolCandidate> = left.iter().map(|route| candidate(route, now)).collect();
    let at = choose_pool(&candidates, rand::random())?;
    left.get(at).map(|route| Arc::clone(route))
}

fn candidate(route: &PoolRoute, now: Duration) -> PoolCandidate {
    let heard = route.heard();
    PoolCandidate {
        load: heard.load,
        age: now.saturating_sub(heard.at),
        delay: route.delay,
        sent: route.sent(),
    }
}
