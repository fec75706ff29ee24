//! Picks the region that serves a request.

use std::{sync::Arc, time::Duration};

use thiserror::Error;

use super::flow::{Flow, RegionShare};
use crate::hash;

/// The reason why a request cannot be served now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnservableReason {
    /// This host does not know its peers' shares yet.
    Starting,
    /// No region serves the service's callers in this region.
    NoRegion,
    /// The request falls on a region that cannot serve, and this share has not moved yet.
    RegionGone,
}

/// A request that cannot be served now; it was not sent to any region.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("request cannot be served now ({reason:?}); retry after {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// The reason.
    pub reason: UnservableReason,
    /// Estimated time after which the same request will be served.
    pub retry_after: Duration,
}

/// Retry-after of a host that starts; after a few heartbeats it knows its peers' shares.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after where only an operator can resolve the situation.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Minimum retry-after; a shorter one is below a round trip and the time between two steps.
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

/// Picks a region by weighted rendezvous hashing, in proportion to the shares.
///
/// If a tenth of the shares moves between two of three regions, about an eighth of the values
/// change their region, so caches stay warm for all others. With a new random draw for each request
/// all values would change.
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

/// Returns the region that a value falls on once `progress` (0 to 1) of the way to the target
/// shares is done.
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

/// Number of steps in which the way to the target shares is searched for the point where a value
/// changes its region.
const SEARCH_STEPS: u32 = 32;

/// Estimates the time until a value falls on a region that can serve, at the current speed.
///
/// If the flow does not move, the result is one window: the limits or peers that block the flow
/// change within it or not at all. Limits may drop in the meantime, so the result is an estimate.
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
