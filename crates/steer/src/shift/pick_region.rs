//! Picks the region that serves a request.

use std::{sync::Arc, time::Duration};

use thiserror::Error;

use super::flow::{Flow, RegionShare};
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
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which to ask again where only an operator can help.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time to wait; a shorter one is below a round trip and the time between two steps.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Refusal {
    pub(super) fn starting() -> Self {
        Self {
            reason: UnservableReason::Starting,
            retry_after: STARTING_RETRY_AFTER,
        }
    }

    pub(super) fn no_region() -> Self {
        Self {
            reason: UnservableReason::NoRegion,
            retry_after: NO_REGION_RETRY_AFTER,
        }
    }
}

/// Picks by weighted rendezvous, in proportion to the shares. Where a tenth of the shares moves
/// between two of three regions, about an eighth of the values change their region, so caches stay
/// warm for all others; with a fresh draw for each request all values would.
pub(super) fn pick_region(flow: &Flow, value: u64) -> Result<&Arc<str>, Refusal> {
    let Some(entry) = winner(flow, value, 0.0) else {
        return Err(Refusal::no_region());
    };
    if entry.eligible {
        return Ok(&entry.region);
    }
    Err(Refusal {
        reason: UnservableReason::RegionGone,
        retry_after: estimate_wait(flow, value),
    })
}

/// The part that a value falls on, once `way` of the way to the targets is done.
fn winner(flow: &Flow, value: u64, progress: f64) -> Option<&RegionShare> {
    let mut best = None;
    for entry in &flow.regions {
        let share = entry.share + (entry.target_share - entry.share) * progress;
        if share <= 0.0 {
            continue;
        }
        let score = hash::score(entry.name_hash, value, share);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, entry));
        }
    }
    best.map(|(_, entry)| entry)
}

/// Steps in which the way to the targets is searched for the place where a value changes region.
const SEARCH_STEPS: u32 = 32;

/// Time until a value falls on a region that can serve, at the speed of now.
///
/// Where nothing moves now, a window: the ceilings or peers that hold the lane change within it or
/// not at all. ShareLimits may come down on the way, so this is an estimate.
fn estimate_wait(flow: &Flow, value: u64) -> Duration {
    if flow.speed <= 0.0 {
        return flow.window.max(MIN_RETRY_AFTER);
    }
    let progress = |step| f64::from(step) / f64::from(SEARCH_STEPS);
    let served =
        |step: &u32| winner(flow, value, progress(*step)).is_some_and(|entry| entry.eligible);
    let total = flow.movable() / flow.speed;
    let time = match (1..=SEARCH_STEPS).find(served) {
        Some(step) => Duration::from_secs_f64(total * progress(step)),
        None => Duration::from_secs_f64(total) + flow.window,
    };
    time.max(MIN_RETRY_AFTER)
}
