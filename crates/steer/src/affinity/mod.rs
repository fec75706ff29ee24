//! Chooses targets by affinity: requests for the same object go to the same target.
//!
//! Every object is requested again and again, and a target that has recently handled it takes about
//! a third of the time. If requests go to any free target, nearly every run is a slow one and the
//! service runs short of slots; if each object stays at one target, half of the slots are free.
//!
//! The choice is weighted rendezvous hashing, which all hosts compute alike without coordination. A
//! target that joins or leaves moves only the objects that it wins or loses. Targets in the caller's
//! region weigh more, since traffic between regions is slow and costly, but not so much more that a
//! small region serves all its own callers: their number swings, and the slots of the other regions
//! even that out.
//!
//! ```
//! use dunlinrock_steer::affinity::{AffinityConfig, Candidate, Choice, choose_affine};
//!
//! let target = |name_hash, busy| Candidate {
//!     name_hash, slots: 2, is_local: true, rtt_ratio: 0.0, busy, healthy: true,
//! };
//! let config = AffinityConfig::default();
//! let Some(Choice { index, .. }) = choose_affine(7, &[target(1, 0), target(2, 0)], &config)
//! else { panic!() };
//! // The object stays at its preferred target while that has a free slot.
//! let mut both = [target(1, 1), target(2, 1)];
//! assert_eq!(choose_affine(7, &both, &config).unwrap().index, index);
//! // Once that target is overloaded, the fallback takes a request.
//! both[index].busy = 9;
//! assert_ne!(choose_affine(7, &both, &config).unwrap().index, index);
//! ```

mod ask;
mod homes;

pub use self::{
    ask::Question,
    homes::{Home, SecondHome, choose_between},
};

use crate::hash::{mix64, score};

/// Number of candidates drawn for a request that may go to any target. With two, both are busy one
/// time in ten at half load; with four, almost never. The host's view of the load is too old for
/// more to help.
const CANDIDATES_DRAWN: usize = 4;

/// A target that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the target's name.
    pub name_hash: u64,
    /// Number of requests that the target runs at once; more wait in its queue.
    pub slots: u32,
    /// Whether the target is in the caller's region.
    pub is_local: bool,
    /// Round trip to the target as a fraction of the route's latency objective; 0 while it is
    /// unknown.
    pub rtt_ratio: f64,
    /// Requests that the target runs or queues, as far as this host knows.
    pub busy: u32,
    /// Whether the target responds; an unhealthy target is used only if no healthy one is left.
    pub healthy: bool,
}

/// Parameters of the choice.
#[derive(Clone, Copy, Debug)]
pub struct AffinityConfig {
    /// Weight of a local target's slot relative to a remote one's.
    pub local_weight: f64,
    /// Round trip, as a fraction of the objective, at which a remote target weighs half as much.
    /// Where the round trip takes most of the objective, responses from there are late however idle
    /// the target is. The weight falls smoothly, so that hosts with slightly different measurements
    /// disagree on few objects.
    pub half_rtt: f64,
    /// Requests per slot that an object's preferred target may have before its fallback takes one.
    pub max_per_slot: u32,
    /// Number of targets of an object's ranking to try: few, so that the object is also warm at its
    /// fallback.
    pub choices: usize,
}

impl Default for AffinityConfig {
    fn default() -> AffinityConfig {
        AffinityConfig {
            local_weight: 3.0,
            half_rtt: 0.25,
            max_per_slot: 2,
            choices: 2,
        }
    }
}

/// The target chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Position in the object's ranking; 0 is its preferred target.
    pub rank: usize,
}

/// Chooses a target for an object by affinity. Returns `None` if there is no candidate.
///
/// The object's preferred target takes the request while it has fewer than
/// [`AffinityConfig::max_per_slot`] requests per slot; then the next target of its ranking that has
/// a free slot. A request that waits for one warm run and then runs warm itself gets its response
/// sooner than by a cold run elsewhere, which takes three times as long and occupies a slot for
/// three times as long. The limit must not depend on the current service time: as cold runs raise
/// it, more requests would be sent elsewhere, which causes more cold runs.
///
/// If all of these targets are at their limits, the request stays at the preferred target, and the
/// caller refuses it if the queue there is too long. If it were sent to any less busy target, it
/// would run three times as long there, and the whole service would stay without warm objects after
/// the burst that caused this.
pub fn choose_affine(
    object: u64,
    candidates: &[Candidate],
    config: &AffinityConfig,
) -> Option<Choice> {
    let ranked = rank(object, candidates, config);
    for (rank, (_, index)) in ranked.iter().take(config.choices).enumerate() {
        let candidate = &candidates[*index];
        let limit = if rank == 0 {
            candidate.slots * config.max_per_slot
        } else {
            candidate.slots
        };
        if candidate.busy < limit {
            return Some(Choice {
                index: *index,
                rank,
            });
        }
    }
    if let Some((_, index)) = ranked.first() {
        return Some(Choice {
            index: *index,
            rank: 0,
        });
    }
    any_candidate(object, candidates)
}

/// Chooses between an object's two homes, the first two targets of its ranking, by what the host
/// knows of them: see [`choose_between`]. Returns `None` if there is no candidate.
///
/// `paces` holds the time that work takes at each candidate now, as a multiple of the usual;
/// `objective` is the route's latency objective in usual runs; `draw` is uniform in 0 to 1.
pub fn choose_home(
    object: u64,
    candidates: &[Candidate],
    paces: &[f64],
    (seen, objective, draw): (&SecondHome, f64, f64),
    config: &AffinityConfig,
) -> Option<Choice> {
    let ranked = rank(object, candidates, config);
    let home = |index: usize| Home {
        slots: candidates[index].slots,
        busy: candidates[index].busy,
        pace: paces[index],
        way: candidates[index].rtt_ratio * objective,
    };
    let rank = match &*ranked {
        [] => return any_candidate(object, candidates),
        [_] => 0,
        [(_, first), (_, second), ..] => choose_between(&home(*first), &home(*second), seen, draw),
    };
    let index = ranked[rank].1;
    Some(Choice { index, rank })
}

/// Chooses the least loaded of a few targets, for a request that gains nothing from affinity.
/// Returns `None` if there is no candidate.
///
/// `point` is a random number, drawn for each request, that selects these targets. Under
/// saturation, a request sent to its object's preferred target would wait for a run while others
/// are idle, and would be refused in the end. The first target drawn determines the region, by
/// weight; the request leaves the region only if all targets drawn in it are full, so that a
/// region's share does not swing with the load of its targets.
pub fn choose_least_loaded(
    point: u64,
    candidates: &[Candidate],
    config: &AffinityConfig,
) -> Option<Choice> {
    let ranked = rank(point, candidates, config);
    let Some((_, first)) = ranked.first() else {
        return any_candidate(point, candidates);
    };
    let first = &candidates[*first];
    let same_region =
        |c: &Candidate| (c.is_local, c.rtt_ratio) == (first.is_local, first.rtt_ratio);
    let in_region = ranked.iter().filter(|(_, i)| same_region(&candidates[*i]));
    let in_region: Vec<usize> = in_region.take(CANDIDATES_DRAWN).map(|(_, i)| *i).collect();
    let all: Vec<usize> = ranked
        .iter()
        .take(CANDIDATES_DRAWN)
        .map(|(_, i)| *i)
        .collect();
    let least_loaded = |drawn: &[usize]| {
        let loads = drawn.iter().map(|i| (load_per_slot(&candidates[*i]), *i));
        loads.min_by(|a, b| a.0.total_cmp(&b.0))
    };
    let has_free_slot = |found: &(f64, usize)| found.0 < 1.0;
    let found = least_loaded(&in_region)
        .filter(has_free_slot)
        .or_else(|| least_loaded(&all))?;
    let rank = ranked.iter().position(|(_, index)| *index == found.1)?;
    Some(Choice {
        index: found.1,
        rank,
    })
}

/// Returns the healthy candidates with their scores, best first.
fn rank(object: u64, candidates: &[Candidate], config: &AffinityConfig) -> Vec<(f64, usize)> {
    let mut ranked: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.healthy)
        .map(|(index, c)| (score(c.name_hash, object, weight(c, config)), index))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    ranked
}

/// Chooses among all candidates when none is healthy: any of them may have recovered.
fn any_candidate(object: u64, candidates: &[Candidate]) -> Option<Choice> {
    let all = 0..candidates.len();
    let index = all.min_by_key(|i| mix64(candidates[*i].name_hash ^ mix64(object)))?;
    Some(Choice { index, rank: 0 })
}

/// Returns the requests of a target per slot.
fn load_per_slot(candidate: &Candidate) -> f64 {
    f64::from(candidate.busy) / f64::from(candidate.slots.max(1))
}

fn weight(candidate: &Candidate, config: &AffinityConfig) -> f64 {
    let locality = if candidate.is_local {
        config.local_weight
    } else {
        1.0 / (1.0 + (candidate.rtt_ratio / config.half_rtt).powi(3))
    };
    f64::from(candidate.slots.max(1)) * locality
}
