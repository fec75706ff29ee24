//! Chooses the pool of a region that a request is handed to.
//!
//! The pools of a region fill unevenly. A host knows its own pool exactly and the others by
//! summaries that lag. If every host sent to the pool that looked best, all of them would send to
//! the same one until the next summary (herding). Instead, each host compares two pools drawn at
//! random, and adds the requests that it has itself sent to them since their summaries.

use std::time::Duration;

use crate::Load;

/// Age above which a summary's queue delay is ignored: the pool's slots are still known, and the
/// mean delay of the fresh summaries is assumed. Summaries arrive about once a second.
const STALE: Duration = Duration::from_secs(5);

/// A pool that may take the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCandidate {
    /// Load according to the latest summary.
    pub load: Load,
    /// Age of the summary; zero for a pool that this host owns.
    pub age: Duration,
    /// One-way network delay to the owner.
    pub delay: Duration,
    /// Requests that this host has handed to the pool since the summary.
    pub sent: u32,
}

impl PoolCandidate {
    /// Returns the expected time until the response is back, without the service time.
    fn cost(&self, mean_delay: Duration) -> Duration {
        let round_trip = 2 * self.delay;
        if self.age > STALE {
            return round_trip + mean_delay;
        }
        let excess = (self.load.busy + self.sent).saturating_sub(self.load.slots);
        round_trip + self.load.queue_delay + self.load.slot_interval * excess
    }
}

/// Returns the index of the pool to hand a request to, or `None` if no candidate has a slot.
///
/// Draws two candidates by `draw`, in proportion to their slots, and returns the one whose response
/// is expected first.
///
/// ```
/// use dunlinrock_admit::{PoolCandidate, Load, choose_pool};
///
/// let idle = PoolCandidate { load: Load { slots: 9, ..Load::default() }, ..PoolCandidate::default() };
/// let none = PoolCandidate::default();
/// assert_eq!(choose_pool(&[none, idle], 42), Some(1));
/// assert_eq!(choose_pool(&[none], 42), None);
/// ```
pub fn choose_pool(candidates: &[PoolCandidate], draw: u64) -> Option<usize> {
    let slots: u64 = candidates.iter().map(|c| u64::from(c.load.slots)).sum();
    if slots == 0 {
        return None;
    }
    let fresh: Vec<&PoolCandidate> = candidates.iter().filter(|c| c.age <= STALE).collect();
    let total: Duration = fresh.iter().map(|c| c.load.queue_delay).sum();
    let mean_delay = total / fresh.len().max(1) as u32;
    let a = pick(candidates, (draw >> 32) % slots, None)?;
    let rest = slots - u64::from(candidates[a].load.slots);
    if rest == 0 {
        return Some(a);
    }
    let b = pick(candidates, (draw & 0xffff_ffff) % rest, Some(a))?;
    let (x, y) = (
        candidates[a].cost(mean_delay),
        candidates[b].cost(mean_delay),
    );
    Some(if y < x { b } else { a })
}

/// Returns the candidate that has the slot with this number, not counting the slots of `skip`.
fn pick(candidates: &[PoolCandidate], mut number: u64, skip: Option<usize>) -> Option<usize> {
    for (i, c) in candidates.iter().enumerate() {
        if Some(i) == skip {
            continue;
        }
        let slots = u64::from(c.load.slots);
        if number < slots {
            return Some(i);
        }
        number -= slots;
    }
    None
}
