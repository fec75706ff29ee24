//! Picks the region that serves a request.

use std::{sync::Arc, time::Duration};

use thiserror::Error;

use super::flow::{Lane, Part};
use crate::hash;

/// Why a request cannot be served now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnservableReason {
    /// This host has not yet heard from its peers what the shares are.
    Starting,
    /// No region serves the service's callers in this region.
    NoRegion,
    /// Its share has not yet moved from a region that cannot serve.
    RegionGone,
}

/// A request that is not served now; it was not sent anywhere.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("not servable now ({reason:?}); try again after {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// Why.
    pub reason: UnservableReason,
    /// Time after which the same request will be served, as far as can be told now.
    pub retry_after: Duration,
}

/// Time after which a host that starts has heard its peers: a few heartbeats.
const STARTING: Duration = Duration::from_secs(1);

/// Time after which to ask again where only an operator can help.
const NOWHERE: Duration = Duration::from_secs(30);

/// Shortest time to wait; a shorter one is below a round trip and the time between two steps.
const SHORTEST: Duration = Duration::from_millis(200);

impl Refusal {
    pub(super) fn starting() -> Self {
        Self {
            reason: UnservableReason::Starting,
            retry_after: STARTING,
        }
    }

    pub(super) fn nowhere() -> Self {
        Self {
            reason: UnservableReason::NoRegion,
            retry_after: NOWHERE,
        }
    }
}

/// Picks by weighted rendezvous, in proportion to the shares. Where a tenth of the shares moves
/// between two of three regions, about an eighth of the values change their region, so caches stay
/// warm for all others; with a fresh draw for each request all values would.
pub(super) fn pick(lane: &Lane, value: u64) -> Result<&Arc<str>, Refusal> {
    let Some(part) = best(lane, value, 0.0) else {
        return Err(Refusal::nowhere());
    };
    if part.eligible {
        return Ok(&part.region);
    }
    Err(Refusal {
        reason: UnservableReason::RegionGone,
        retry_after: wait(lane, value),
    })
}

/// The part that a value falls on, once `way` of the way to the targets is done.
fn best(lane: &Lane, value: u64, way: f64) -> Option<&Part> {
    let mut best = None;
    for part in &lane.parts {
        let share = part.share + (part.target - part.share) * way;
        if share <= 0.0 {
            continue;
        }
        let score = hash::score(part.hash, value, share);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, part));
        }
    }
    best.map(|(_, part)| part)
}

/// Steps in which the way to the targets is searched for the place where a value changes region.
const STEPS: u32 = 32;

/// Time until a value falls on a region that can serve, at the speed of now.
///
/// Where nothing moves now, a window: the ceilings or peers that hold the lane change within it or
/// not at all. ShareLimits may come down on the way, so this is an estimate.
fn wait(lane: &Lane, value: u64) -> Duration {
    if lane.speed <= 0.0 {
        return lane.window.max(SHORTEST);
    }
    let way = |step| f64::from(step) / f64::from(STEPS);
    let served = |step: &u32| best(lane, value, way(*step)).is_some_and(|part| part.eligible);
    let whole = lane.remaining() / lane.speed;
    let time = match (1..=STEPS).find(served) {
        Some(step) => Duration::from_secs_f64(whole * way(step)),
        None => Duration::from_secs_f64(whole) + lane.window,
    };
    time.max(SHORTEST)
}
