//! Priority queue of events by time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

struct Entry<E> {
    at: Duration,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Pending events, the earliest first, and in the order of their insertion at equal times.
pub(super) struct Events<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    seq: u64,
}

impl<E> Events<E> {
    pub(super) fn open() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }

    pub(super) fn push(&mut self, at: Duration, event: E) {
        self.seq += 1;
        self.heap.push(Reverse(Entry {
            at,
            seq: self.seq,
            event,
        }));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(e)| (e.at, e.event))
    }
}
