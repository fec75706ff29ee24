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
//! use dunlinrock_steer::affinity::{Candidate, Choice, Rules, choose};
//!
//! let target = |seed, busy| Candidate { seed, slots: 2, near: true, busy, sound: true };
//! let Some(Choice { index, .. }) = choose(7, &[target(1, 0), target(2, 0)], &Rules::default())
//! else { panic!() };
//! // The object stays where it is while its target has a free slot.
//! let mut both = [target(1, 1), target(2, 1)];
//! assert_eq!(choose(7, &both, &Rules::default()).unwrap().index, index);
//! // Far behind, it gives one away.
//! both[index].busy = 9;
//! assert_ne!(choose(7, &both, &Rules::default()).unwrap().index, index);
//! ```

use crate::hash::{mix, score};

/// A target that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the target's name.
    pub seed: u64,
    /// Requests that it runs at once; more wait in its queue.
    pub slots: u32,
    /// Whether it stands in the caller's region.
    pub near: bool,
    /// Requests that it runs or queues, as far as this host knows.
    pub busy: u32,
    /// Whether it answers; one that does not is used only where no sound one is left.
    pub sound: bool,
}

/// Weights of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Weight of a near target's slot against a far one's.
    pub near: f64,
    /// Requests that may wait at an object's own target, as a share of its slots, before its next
    /// choice is asked. A warm run takes a third of a cold one, so waiting for two warm runs still
    /// costs less than going elsewhere.
    pub queue: f64,
    /// How many choices of an object are tried before the least busy target is taken: few, so that
    /// an object's overflow is warm there too.
    pub choices: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            near: 3.0,
            queue: 1.0,
            choices: 3,
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
/// The first of the object's choices with a free slot or a short queue takes it; where all of them
/// are behind, the candidate with the shortest queue for its slots.
pub fn choose(object: u64, candidates: &[Candidate], rules: &Rules) -> Option<Choice> {
    let mut ranked: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.sound)
        .map(|(index, c)| (score(c.seed, object, weight(c, rules)), index))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let own = ranked.iter().take(rules.choices).enumerate();
    for (rank, (_, index)) in own {
        if has_room(&candidates[*index], rank, rules) {
            return Some(Choice {
                index: *index,
                rank,
            });
        }
    }
    let sound = ranked.iter().enumerate();
    let least =
        sound.min_by(|a, b| behind(&candidates[a.1.1]).total_cmp(&behind(&candidates[b.1.1])));
    if let Some((rank, (_, index))) = least {
        return Some(Choice {
            index: *index,
            rank,
        });
    }
    // Nobody answers: any of them may be back by now.
    let all = 0..candidates.len();
    let index = all.min_by_key(|i| mix(candidates[*i].seed ^ mix(object)))?;
    Some(Choice { index, rank: 0 })
}

fn weight(candidate: &Candidate, rules: &Rules) -> f64 {
    let near = if candidate.near { rules.near } else { 1.0 };
    f64::from(candidate.slots.max(1)) * near
}

/// Whether an object's choice takes one more: its own target may queue, the others need a slot.
fn has_room(candidate: &Candidate, rank: usize, rules: &Rules) -> bool {
    let queue = if rank == 0 { rules.queue } else { 0.0 };
    f64::from(candidate.busy) < f64::from(candidate.slots) * (1.0 + queue)
}

/// Requests for each slot of a target.
fn behind(candidate: &Candidate) -> f64 {
    f64::from(candidate.busy) / f64::from(candidate.slots.max(1))
}
