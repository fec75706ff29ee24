//! Which target an object belongs to, and when another one takes its request.
//!
//! Load: every object is asked for again and again, and a target that has lately handled it takes
//! about a third of the time. Where requests go to any free target, nearly every run is a slow one
//! and the service is short of slots; where each object stays at one target, half of them are free.
//!
//! The choice is weighted rendezvous hashing, which all hosts compute alike without a word between
//! them. A target that comes or goes moves only the objects that it wins or loses. Targets in the
//! caller's region weigh more, since bytes between regions are slow and dear, but not so much more
//! that a small region carries all its own callers: their number swings, and the other regions'
//! slots even that out.
//!
//! ```
//! use dunlinrock_steer::affinity::{Candidate, Choice, AffinityConfig, choose_affine};
//!
//! let target = |name_hash, busy| Candidate {
//!     name_hash, slots: 2, is_local: true, rtt_ratio: 0.0, busy, healthy: true,
//! };
//! let Some(Choice { index, .. }) = choose_affine(7, &[target(1, 0), target(2, 0)], &AffinityConfig::default())
//! else { panic!() };
//! // The object stays where it is while its target has a free slot.
//! let mut both = [target(1, 1), target(2, 1)];
//! assert_eq!(choose_affine(7, &both, &AffinityConfig::default()).unwrap().index, index);
//! // Far behind, it gives one away.
//! both[index].busy = 9;
//! assert_ne!(choose_affine(7, &both, &AffinityConfig::default()).unwrap().index, index);
//! ```

use crate::hash::{mix64, score};

/// Targets drawn for a request that may go to any. Two leave a busy pair one time in ten at half load;
/// four next to never, and a host's word of the load is too old for more to be of use.
const CANDIDATES_DRAWN: usize = 4;

/// A target that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the target's name.
    pub name_hash: u64,
    /// Requests that it runs at once; more wait in its queue.
    pub slots: u32,
    /// Whether it stands in the caller's region.
    pub is_local: bool,
    /// Part of the route's objective that the way there and back takes; 0 while that is not known.
    pub rtt_ratio: f64,
    /// Requests that it runs or queues, as far as this host knows.
    pub busy: u32,
    /// Whether it answers; one that does not is used only where no sound one is left.
    pub healthy: bool,
}

/// Weights of the choice.
#[derive(Clone, Copy, Debug)]
pub struct AffinityConfig {
    /// Weight of a near target's slot against a far one's.
    pub local_weight: f64,
    /// Way, as a part of the objective, at which a far target weighs half as much. Where the way takes
    /// most of the objective, answers from there are late however idle the target is. The weight
    /// falls smoothly, so that hosts which measure a little differently disagree on few objects.
    pub half_rtt: f64,
    /// Requests for each slot that an object's own target may have before its next choice takes one.
    pub max_per_slot: u32,
    /// How many choices of an object are tried: few, so that what its own target cannot take is
    /// warm at the next.
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

/// The target that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// How far down the object's ranking it stands; 0 is its own target.
    pub rank: usize,
}

/// Chooses a target for an object. `None` where there is no candidate.
///
/// The object's own target takes it while it has fewer than [`AffinityConfig::max_per_slot`] requests a slot; then the
/// next of its choices that has a free slot. A request that waits for one warm run and then has its
/// own is answered before a run elsewhere would be, which takes three times as long, and three times
/// the slot. The figure must not follow how long runs take at present: as cold runs make the usual
/// run longer, more requests would be sent elsewhere, which makes more cold runs.
///
/// Where all are behind it stays at its own target, for the caller to refuse if that is too far
/// behind: sent to any target that is less behind, it would run three times as long there, and the
/// whole service would go on without an object at home after the burst that began it is over.
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

/// Chooses a target for a request that is answered no sooner where its object was handled lately: the
/// least busy of a few that `point`, a number drawn for the request, names. `None` where there is no
/// candidate.
///
/// Load: saturation on a route without a gain from affinity. At its object's own target a request waits
/// for a run while others stand idle, and is refused in the end. The first drawn names the region, by
/// weight; only where all that are drawn of it are full does the request leave it, so that a region's
/// share does not swing with the load of its targets.
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

/// Sound candidates with their scores, the first choice first.
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

/// Nobody answers: any of them may be back by now.
fn any_candidate(object: u64, candidates: &[Candidate]) -> Option<Choice> {
    let all = 0..candidates.len();
    let index = all.min_by_key(|i| mix64(candidates[*i].name_hash ^ mix64(object)))?;
    Some(Choice { index, rank: 0 })
}

/// Requests of a target for each of its slots.
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
