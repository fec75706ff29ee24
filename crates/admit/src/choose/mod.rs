//! Which pool of a region a request is handed to.

use std::time::Duration;

use crate::Load;

/// A pool that could take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its load as last heard.
    pub load: Load,
    /// Age of that word; zero for a pool that this host owns.
    pub age: Duration,
    /// One-way network delay to the owner.
    pub delay: Duration,
    /// Requests that this host has handed to it since that word.
    pub sent: u32,
}

/// Index of the pool to hand a request to: of two drawn at random, the one with the earlier
/// expected start. None if there is no candidate with a slot.
pub fn choose(_candidates: &[Candidate], _draw: u64) -> Option<usize> {
    todo!()
}
