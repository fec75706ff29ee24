//! Admission: decides at once whether a request starts, is queued or is refused.
//!
//! When there are more requests than slots, a queue without a limit lets every request wait until
//! its caller has disconnected. The slots are then busy with responses that are not read, and
//! goodput falls towards zero although all slots are in use. So a request is admitted only if it is
//! expected to be answered before its deadline, given the service time queued ahead of its fair
//! rank, the slots that serve its class and [`WAIT_DEVIATIONS`] deviations. All others are refused
//! in the same call: they have not run, and their callers can go elsewhere while there is time.

use std::time::Duration;

use crate::{
    Decision, Offer, Pool, QuarantineStatus, RefusalReason,
    pool::request::{Place, Request},
    service_time::Class,
};

/// Deviations of the sum of the service times ahead that are added to the expected wait. At 1, one
/// admitted request in six would wait longer than estimated; at 2, one in forty.
const WAIT_DEVIATIONS: f64 = 2.0;

/// How much lower a rank must be to evict another request, in requests of its own kind.
const MIN_ADVANTAGE: u64 = 1;

/// Maximum wait that future requests may add, as a multiple of the wait behind the requests that
/// are queued now. The rate of the queue's clock is measured only while there is a queue; a queue
/// of a few requests is empty before the clock reaches a rank at that rate.
const MAX_OVERTAKING: f64 = 3.0;

/// Minimum `retry_after` of a refusal. With less, refused callers could cause more load than the
/// requests that are served.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Estimated wait of a request that arrives now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// Time until all queued requests that rank before it have started.
    pub(super) current: Duration,
    /// Expected wait, including requests that are yet to arrive.
    pub(super) mean: Duration,
    /// Wait that is rarely exceeded.
    pub(super) upper: Duration,
}

impl Pool {
    /// Decides at once whether a request starts, is queued or is refused. Call [`Pool::poll`] after
    /// it.
    ///
    /// A refusal is final: the request has not run and will not.
    pub fn offer(&mut self, offer: Offer, now: Duration) -> Decision {
        self.targets.refresh(&self.config, now);
        let estimate = self.kinds.estimate(offer.kind);
        let class = self.class(estimate.mean);
        if let Err(reason) = self.check(&offer, now) {
            let retry_after = self.retry_after(reason, offer.fingerprint, now);
            return self.refused(reason, retry_after);
        }
        if class == Class::Short {
            self.short_need.add(estimate.mean, now);
        }
        let request = Request::open(offer, class, estimate);
        if self.quarantine.status(request.fingerprint, now) == Some(QuarantineStatus::Suspect) {
            return self.offer_suspect(request, now);
        }
        match self.find_free_slot(&request, now) {
            Some(at) => self.start_offered(request, at, now),
            None => self.enqueue(request, now),
        }
    }

    /// Checks the reasons to refuse that do not depend on the wait.
    fn check(&mut self, offer: &Offer, now: Duration) -> Result<(), RefusalReason> {
        if self.tickets.contains_key(&offer.ticket) {
            return Err(RefusalReason::DuplicateTicket);
        }
        if self.quarantine.status(offer.fingerprint, now) == Some(QuarantineStatus::Convict) {
            return Err(RefusalReason::Quarantined);
        }
        if !self.targets.has_other(&offer.tried, now) {
            return Err(RefusalReason::NoTarget);
        }
        if now + self.kinds.estimate(offer.kind).mean > offer.deadline {
            return Err(RefusalReason::DeadlineExceeded);
        }
        if !offer.tried.is_empty() && !self.budget.try_spend() {
            return Err(RefusalReason::RetryBudget);
        }
        Ok(())
    }

    /// Returns a target with a free slot, unless a queued request goes first.
    ///
    /// With a free slot the request is started even if its deadline leaves less than the tail of
    /// its service time: no other request needs the slot.
    fn find_free_slot(&self, request: &Request, now: Duration) -> Option<usize> {
        if !self.queues[request.class as usize].is_empty() {
            return None;
        }
        let slot_shares = self.slot_shares(now);
        if request.class == Class::Long && !slot_shares.long_may_start() {
            return None;
        }
        self.targets
            .place(&request.placement_request(self.depth_per_slot(), now), now)
    }

    fn start_offered(&mut self, request: Request, at: usize, now: Duration) -> Decision {
        let ticket = request.ticket;
        self.tickets.insert(ticket, request);
        let target = self.run(ticket, at, now);
        self.counts.started += 1;
        self.budget.record_request();
        Decision::Start { target }
    }

    /// Queues a request if it can be answered in time.
    fn enqueue(&mut self, mut request: Request, now: Duration) -> Decision {
        let queue = &self.queues[request.class as usize];
        let rank = queue.rank(request.caller, request.key);
        let wait = self.wait(request.class, rank, now);
        if wait.upper > self.config.overload_wait {
            self.overloads[request.class as usize].record(now);
        }
        let max_wait = self.max_wait(request.class, request.estimate.mean, now);
        request.wait(max_wait, now);
        // The deadline is the caller's and must hold; the maximum wait only limits the queue.
        let is_late = now + wait.upper + request.estimate.tail > request.deadline;
        if is_late || now + wait.mean > request.start_by {
            let excess = (now + wait.upper).saturating_sub(request.start_by);
            return self.refused(request.reason, clamp_retry_after(excess));
        }
        if self.is_queue_full_for(&request, rank, now) {
            return self.refused(request.reason, clamp_retry_after(wait.mean));
        }
        if self.waiting() >= self.config.max_queued && !self.evict_worst(request.class, rank, now) {
            let retry_after = self.retry_after(RefusalReason::QueueFull, request.fingerprint, now);
            return self.refused(RefusalReason::QueueFull, retry_after);
        }
        let work = request.estimate.mean.as_micros() as u64;
        let (ticket, caller, key) = (request.ticket, request.caller, request.key);
        let queue_key = self.queues[request.class as usize].push(ticket, caller, key, work);
        request.place = Place::Queued(queue_key);
        self.start_deadlines.insert((request.start_by, ticket));
        let class = request.class;
        self.tickets.insert(ticket, request);
        self.evict_late(class, now);
        Decision::Queued
    }

    /// Returns whether the whole queue already takes as long as this request may wait, while its
    /// rank is not clearly better than that of the last request, which is evicted otherwise.
    ///
    /// If only the request's own rank counted, equal callers would constantly be admitted ahead of
    /// each other, and half of the admitted requests would be refused after a wait.
    fn is_queue_full_for(&mut self, request: &Request, rank: u64, now: Duration) -> bool {
        let class = request.class;
        let Some((last, ticket)) = self.queues[class as usize].last() else {
            return false;
        };
        let wait = self.wait(class, last.max(rank), now).current;
        if now + wait <= request.start_by {
            return false;
        }
        let work = request.estimate.mean.as_micros() as u64;
        if last < rank + MIN_ADVANTAGE * work {
            return true;
        }
        let reason = self
            .tickets
            .get(&ticket)
            .map_or(RefusalReason::QueueFull, |r| r.reason);
        self.refuse(ticket, reason, now);
        false
    }

    /// Refuses requests at the end of a queue that can no longer start in time because others were
    /// admitted ahead of them: they are refused now and not when their time is up.
    pub(super) fn evict_late(&mut self, class: Class, now: Duration) {
        while let Some((rank, ticket)) = self.queues[class as usize].last() {
            let Some(request) = self.tickets.get(&ticket) else {
                return;
            };
            let reason = request.reason;
            if now + self.wait(class, rank, now).current <= request.start_by {
                return;
            }
            self.refuse(ticket, reason, now);
        }
    }

    /// Evicts the request that would be served last from a full queue, in favour of one of this
    /// rank. Without this, a heavy caller that came first would keep all others out.
    fn evict_worst(&mut self, class: Class, rank: u64, now: Duration) -> bool {
        let other_class = match class {
            Class::Short => Class::Long,
            Class::Long => Class::Short,
        };
        let own = &self.queues[class as usize];
        let worst = if self.queues[other_class as usize].len() > own.len() {
            self.queues[other_class as usize].last()
        } else {
            own.last().filter(|(last, _)| *last > rank)
        };
        let Some((_, ticket)) = worst else {
            return false;
        };
        self.refuse(ticket, RefusalReason::QueueFull, now);
        true
    }

    /// Returns the estimated wait of a request with this rank.
    pub(super) fn wait(&self, class: Class, rank: u64, now: Duration) -> Wait {
        let other_class = &self.queues[1 - class as usize];
        let slots = f64::from(
            self.slot_shares(now)
                .serving(class, !other_class.is_empty()),
        );
        let (n, work) = self.queues[class as usize].ahead(rank);
        let ahead = work as f64 / 1e6;
        let first = self.first_free(class);
        let time_to_reach = self.queues[class as usize]
            .time_to_reach(rank)
            .as_secs_f64();
        let current = first + ahead / slots;
        let mean = current.max(time_to_reach.min(current * MAX_OVERTAKING));
        let per_request = if n == 0 {
            0.0
        } else {
            ahead / n as f64 / slots
        };
        let deviation = WAIT_DEVIATIONS * first.max(per_request * (n as f64).sqrt());
        // Without any slot, nothing starts until the limits change.
        let stall = match self.targets.slots() {
            0 => self
                .targets
                .next_change()
                .unwrap_or(now)
                .saturating_sub(now),
            _ => Duration::ZERO,
        };
        Wait {
            current: stall + Duration::from_secs_f64(current),
            mean: stall + Duration::from_secs_f64(mean),
            upper: stall + Duration::from_secs_f64(mean + deviation),
        }
    }

    /// Returns the expected time, in seconds, until one of the slots that a class may use is free.
    ///
    /// A class waits for its own runs or for those of the other class, whichever end sooner: pages
    /// that turn over a few slots in milliseconds do not wait for the summaries in the rest.
    fn first_free(&self, class: Class) -> f64 {
        let slot_interval =
            |i: usize| self.load[i] as f64 / 1e6 / f64::from(self.busy[i].max(1)).powi(2);
        let (own, other_class) = (class as usize, 1 - class as usize);
        match (self.busy[own], self.busy[other_class]) {
            (0, 0) => 0.0,
            (0, _) => slot_interval(other_class),
            (_, 0) => slot_interval(own),
            _ => slot_interval(own).min(slot_interval(other_class)),
        }
    }

    /// Counts a refusal and returns it as a decision.
    pub(super) fn refused(&mut self, reason: RefusalReason, retry_after: Duration) -> Decision {
        self.counts.refused += 1;
        Decision::Refused {
            reason,
            retry_after,
        }
    }

    /// Estimates the time after which a request refused for `reason` would be admitted.
    pub(super) fn retry_after(
        &self,
        reason: RefusalReason,
        fingerprint: u64,
        now: Duration,
    ) -> Duration {
        let time = match reason {
            RefusalReason::Quarantined => return self.quarantine.remaining(fingerprint, now),
            RefusalReason::NoTarget => Duration::from_secs(1),
            RefusalReason::RetryBudget => {
                self.slot_interval() * (1.0 / self.config.retry_ratio.max(0.01)) as u32
            }
            RefusalReason::DuplicateTicket => self.slot_interval(),
            // By then, half of the queue has been served.
            RefusalReason::DeadlineExceeded
            | RefusalReason::QueueFull
            | RefusalReason::QueueTimeout => {
                let rank = self
                    .queues
                    .iter()
                    .map(|q| q.last().map_or(0, |l| l.0))
                    .max();
                self.wait(Class::Long, rank.unwrap_or(0), now).mean / 2
            }
        };
        clamp_retry_after(time)
    }
}

pub(super) fn clamp_retry_after(time: Duration) -> Duration {
    time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
