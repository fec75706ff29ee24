//! A request that the pool holds.

use std::{sync::Arc, time::Duration};

use crate::{
    Offer, RefusalReason,
    fair_queue::QueueKey,
    service_time::{Class, Estimate},
    target::PlacementRequest,
};

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Place {
    /// In the queue of its class.
    Queued(QueueKey),
    /// A suspect that waits for an isolated run.
    Isolated,
    /// Running on its targets.
    Running,
}

/// One run at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Index of the target.
    pub(super) target: usize,
    pub(super) since: Duration,
    /// Whether it is a hedge, sent because the first attempt was late.
    pub(super) hedge: bool,
    /// Whether the target's crash has been counted for this run.
    pub(super) crash_counted: bool,
}

/// A request that waits or runs.
///
/// Invariants: `place` is `Running` exactly while `runs` is not empty; at most two runs, of which
/// at most one is a hedge; once `settled`, it never starts again.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) ticket: u64,
    pub(super) caller: u64,
    pub(super) key: u64,
    pub(super) kind: u64,
    pub(super) fingerprint: u64,
    pub(super) deadline: Duration,
    pub(super) repeatable: bool,
    pub(super) tried: Vec<Arc<str>>,
    pub(super) class: Class,
    pub(super) estimate: Estimate,
    pub(super) place: Place,
    /// Time by which it must start.
    pub(super) start_by: Duration,
    /// Why it is refused if it has not started by then.
    pub(super) reason: RefusalReason,
    pub(super) runs: Vec<Run>,
    /// Time of the next check whether its run is late.
    pub(super) check: Duration,
    /// Whether a hedge was sent.
    pub(super) hedged: bool,
    /// Whether an earlier run may have had an effect.
    pub(super) ran: bool,
    /// Whether the caller has its response or has disconnected.
    pub(super) settled: bool,
}

impl Request {
    pub(super) fn open(offer: Offer, class: Class, estimate: Estimate) -> Self {
        Self {
            ticket: offer.ticket,
            caller: offer.caller,
            key: offer.key,
            kind: offer.kind,
            fingerprint: offer.fingerprint,
            deadline: offer.deadline,
            repeatable: offer.repeatable,
            tried: offer.tried,
            class,
            estimate,
            place: Place::Running,
            start_by: offer.deadline,
            reason: RefusalReason::DeadlineExceeded,
            runs: Vec::new(),
            check: Duration::MAX,
            hedged: false,
            ran: false,
            settled: false,
        }
    }

    /// Sets the time by which a request that begins to wait at `now` must start.
    ///
    /// It must leave time for the service: a start that ends after the deadline takes a slot from a
    /// request that could still be answered in time.
    pub(super) fn wait(&mut self, max_wait: Duration, now: Duration) {
        let deadline = self.deadline.saturating_sub(self.estimate.tail);
        let max_wait = now.saturating_add(max_wait);
        self.reason = if deadline <= max_wait {
            RefusalReason::DeadlineExceeded
        } else {
            RefusalReason::QueueTimeout
        };
        self.start_by = deadline.min(max_wait);
    }

    /// Returns a time as a ratio to the expected one, or 1 if too little is known of the kind.
    pub(super) fn ratio(&self, time: Duration) -> f64 {
        if !self.estimate.known {
            return 1.0;
        }
        time.as_secs_f64() / self.estimate.mean.as_secs_f64().max(1e-6)
    }

    /// Returns the requirements for its target.
    pub(super) fn placement_request(
        &self,
        depth_per_slot: f64,
        now: Duration,
    ) -> PlacementRequest<'_> {
        PlacementRequest {
            tried: &self.tried,
            tolerates_slow: self.tolerates_slow(now),
            depth_per_slot,
        }
    }

    /// Returns whether its deadline leaves time for a run on a slow target.
    pub(super) fn tolerates_slow(&self, now: Duration) -> bool {
        now + self.estimate.mean * 10 <= self.deadline
    }
}
