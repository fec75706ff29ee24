//! Queue ordered by virtual start time.

use std::{collections::VecDeque, time::Duration};

use super::clock_sketch::Sketch;

/// Ratio of a key's share to a caller's share before the key ranks behind. Callers are what
/// fairness is for; keys are only popular. With 1, a heavy caller that asks for the same key as all
/// others delays them; with 16 it hardly does, and a hot key is still held back.
const KEY_WEIGHT: u64 = 16;

/// Seconds of queueing over which the rate of the clock is averaged.
const RATE_WINDOW: f64 = 0.2;

/// Position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Virtual start time, in microseconds of service time.
    pub(crate) rank: u64,
    /// Order of arrival among equal ranks.
    pub(crate) seq: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    queue_key: QueueKey,
    ticket: u64,
    work: u64,
    charge: Option<Charge>,
}

/// Charge of a request: the clocks of its caller and its key, before and after.
#[derive(Clone, Copy, Debug)]
struct Charge {
    caller: u64,
    callers: (u64, u64),
    key: u64,
    keys: (u64, u64),
}

/// Rate of a queue's clock while requests wait.
///
/// The jump of the clock when the queue becomes empty counts too. Without it only long-lived queues
/// would be measured, and callers would be refused because of waits that do not occur.
#[derive(Clone, Copy, Debug, Default)]
struct ClockRate {
    /// Clock and time of the last record.
    last_record: Option<(u64, Duration)>,
    /// Recent distance of the clock, in microseconds of service time.
    distance: f64,
    /// Time of that distance, in seconds.
    time: f64,
}

impl ClockRate {
    fn record(&mut self, clock: u64, now: Duration) {
        if let Some((from, since)) = self.last_record {
            self.distance += (clock - from) as f64;
            self.time += now.saturating_sub(since).as_secs_f64();
        }
        self.last_record = Some((clock, now));
        if self.time > RATE_WINDOW {
            self.distance /= 2.0;
            self.time /= 2.0;
        }
    }

    /// Returns the rate in units of the clock per second.
    fn per_second(&self) -> Option<f64> {
        (self.time > RATE_WINDOW / 10.0).then(|| (self.distance / self.time).max(1.0))
    }
}

/// Waiting requests, lowest rank first.
///
/// Invariants: `list` is sorted by queue key; `total` is the sum of the service times in `list`.
#[derive(Debug)]
pub(crate) struct FairQueue {
    list: VecDeque<Entry>,
    /// Rank of the request that was started last.
    clock: u64,
    /// Highest rank assigned so far, to which the clock jumps when the queue becomes empty.
    max_rank: u64,
    seq: u64,
    total: u64,
    clock_rate: ClockRate,
    callers: Sketch,
    keys: Sketch,
}

impl FairQueue {
    pub(crate) fn open(seed: u64) -> Self {
        Self {
            list: VecDeque::new(),
            clock: 0,
            max_rank: 0,
            seq: 0,
            total: 0,
            clock_rate: ClockRate::default(),
            callers: Sketch::open(seed),
            keys: Sketch::open(!seed),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the service time that waits, in microseconds.
    pub(crate) fn work(&self) -> u64 {
        self.total
    }

    /// Returns the rank that a request of this caller for this key would have.
    pub(crate) fn rank(&self, caller: u64, key: u64) -> u64 {
        self.clock
            .max(self.callers.read(caller))
            .max(self.keys.read(key))
    }

    /// Returns the number of requests and their service time, in microseconds, that are served
    /// before this rank.
    pub(crate) fn ahead(&self, rank: u64) -> (usize, u64) {
        let n = self.list.partition_point(|e| e.queue_key.rank <= rank);
        let work = self.total * n as u64 / self.list.len().max(1) as u64;
        (n, work)
    }

    /// Adds a request and charges its caller and its key.
    pub(crate) fn push(&mut self, ticket: u64, caller: u64, key: u64, work: u64) -> QueueKey {
        let rank = self.rank(caller, key);
        let work = work.max(1);
        let caller_start = self.clock.max(self.callers.read(caller));
        self.callers.raise(caller, caller_start + work);
        // A request behind its caller's own backlog uses its key's turn later and less often. If it
        // were charged in full, a heavy caller would delay all others that ask for the same key.
        let distance_ahead = (caller_start - self.clock) / work;
        let charge = work / KEY_WEIGHT / (1 + distance_ahead);
        let key_start = self.clock.max(self.keys.read(key));
        self.keys.raise(key, key_start + charge);
        self.max_rank = self
            .max_rank
            .max(caller_start + work)
            .max(key_start + charge);
        let charge = Charge {
            caller,
            callers: (caller_start, caller_start + work),
            key,
            keys: (key_start, key_start + charge),
        };
        self.insert(ticket, rank, work, Some(charge))
    }

    /// Adds a request at the head, without a charge: it had its turn and is retried.
    pub(crate) fn push_front(&mut self, ticket: u64, work: u64) -> QueueKey {
        self.insert(ticket, self.clock, work.max(1), None)
    }

    fn insert(&mut self, ticket: u64, rank: u64, work: u64, charge: Option<Charge>) -> QueueKey {
        self.seq += 1;
        let queue_key = QueueKey {
            rank,
            seq: self.seq,
        };
        let at = self.list.partition_point(|e| e.queue_key < queue_key);
        self.list.insert(
            at,
            Entry {
                queue_key,
                ticket,
                work,
                charge,
            },
        );
        self.total += work;
        queue_key
    }

    /// Returns the ticket at a position from the head.
    pub(crate) fn peek(&self, at: usize) -> Option<u64> {
        self.list.get(at).map(|e| e.ticket)
    }

    /// Returns the rank and the ticket of the request that would be served last.
    pub(crate) fn last(&self) -> Option<(u64, u64)> {
        self.list.back().map(|e| (e.queue_key.rank, e.ticket))
    }

    /// Returns the time until the clock reaches a rank at its present rate.
    ///
    /// The requests that wait now are not all that are served before this rank: callers with
    /// earlier clocks will still send. Where every caller offers more than its share, these make up
    /// half of what is served.
    pub(crate) fn time_to_reach(&self, rank: u64) -> Duration {
        let distance_ahead = rank.saturating_sub(self.clock) as f64;
        match self.clock_rate.per_second() {
            Some(per_second) if distance_ahead > 0.0 => {
                Duration::from_secs_f64((distance_ahead / per_second).min(1e6))
            }
            _ => Duration::ZERO,
        }
    }

    /// Removes a request that starts now: the pool's clock advances to its rank.
    pub(crate) fn start(&mut self, queue_key: QueueKey, now: Duration) {
        self.clock = self.clock.max(queue_key.rank);
        self.clock_rate.record(self.clock, now);
        self.take(queue_key);
        if self.list.is_empty() {
            self.clock_rate.record(self.clock, now);
            self.clock_rate.last_record = None;
        }
    }

    /// Removes a request that was not started, and undoes its charge: otherwise a caller would pay
    /// for service that it did not get.
    pub(crate) fn remove(&mut self, queue_key: QueueKey) {
        if let Some(c) = self.take(queue_key).and_then(|e| e.charge) {
            self.callers.lower(c.caller, c.callers.1, c.callers.0);
            self.keys.lower(c.key, c.keys.1, c.keys.0);
        }
    }

    fn take(&mut self, queue_key: QueueKey) -> Option<Entry> {
        let at = self
            .list
            .binary_search_by_key(&queue_key, |e| e.queue_key)
            .ok()?;
        let entry = self.list.remove(at)?;
        self.total -= entry.work;
        if self.list.is_empty() {
            self.clock = self.clock.max(self.max_rank);
            self.clock_rate.last_record = None;
            self.callers.reseed();
            self.keys.reseed();
        }
        Some(entry)
    }
}
