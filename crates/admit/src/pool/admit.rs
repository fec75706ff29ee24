//! Admission: start, queue or refuse, at once.
//!
//! Load: more work than slots, for a while or for long. A queue without a bound lets every request
//! wait until its caller has gone; the slots are then busy with answers that nobody reads, and
//! goodput falls towards zero although all slots are in use. Here a request is let in only if it is
//! expected to be answered before its deadline, counting the work ahead of its fair rank, the
//! slots that serve its class and [`SPREAD`] deviations. Everything else is refused in the same
//! call: it has not run, and its caller can go elsewhere while there is time.

use std::time::Duration;

use crate::{
    Decision, Offer, Pool, QuarantineStatus, RefusalReason,
    pool::request::{Place, Request},
    service_time::Class,
};

/// Deviations of the sum of the service times ahead that are added to the expected wait. At 1, one
/// admitted request in six would wait longer than estimated; at 2, one in forty.
const WAIT_DEVIATIONS: f64 = 2.0;

/// How much better a claim has to be to push another out, in requests of its own kind.
const MIN_ADVANTAGE: u64 = 1;

/// Most that requests which are still to come may add to the wait behind those that are here, as a
/// multiple of it. The speed of the queue's clock is measured while there is a queue; a queue of a
/// few requests is gone before the clock gets to a rank at that speed.
const MAX_OVERTAKING: f64 = 3.0;

/// Least time after which a refused caller is asked to come back. Less would let refused callers
/// make more load than the work itself.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What a request that came now would meet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// Time until what waits and ranks before it has been started.
    pub(super) current: Duration,
    /// Expected wait, with those who are still to come.
    pub(super) mean: Duration,
    /// Wait that is rarely exceeded.
    pub(super) upper: Duration,
}

impl Pool {
    /// Decides at once what becomes of a request. Follow it with [`Pool::poll`].
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
        match self.place_now(&request, now) {
            Some(at) => self.start_offered(request, at, now),
            None => self.enqueue(request, now),
        }
    }

    /// Reasons to refuse that do not depend on the wait.
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

    /// A free slot, if nobody who waits has a better claim to it.
    ///
    /// With a free slot the request is started even if its deadline leaves less than the tail of
    /// its service time: nobody else needs the slot.
    fn place_now(&self, request: &Request, now: Duration) -> Option<usize> {
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
        // The deadline is the caller's and has to hold; patience only bounds the queue.
        let late = now + wait.upper + request.estimate.tail > request.deadline;
        if late || now + wait.mean > request.start_by {
            let over = (now + wait.upper).saturating_sub(request.start_by);
            return self.refused(request.reason, clamp_retry_after(over));
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
        self.trim(class, now);
        Decision::Queued
    }

    /// The queue as a whole holds as much as can be served in the time that this request may wait,
    /// and its claim is not clearly better than that of the last.
    ///
    /// If only its own rank counted, equal callers would be let in ahead of each other all the
    /// time, and half of those let in would be refused after waiting in vain.
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

    /// Refuses those at the end of a queue whom the requests let in ahead of them have cost their
    /// chance: they hear now, not when their time is up.
    fn trim(&mut self, class: Class, now: Duration) {
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

    /// Makes room in a full queue for a request of this rank: the request that would be served
    /// last leaves. Without this a heavy caller who came first would keep everybody else out.
    fn evict_worst(&mut self, class: Class, rank: u64, now: Duration) -> bool {
        let other = match class {
            Class::Short => Class::Long,
            Class::Long => Class::Short,
        };
        let own = &self.queues[class as usize];
        let worst = if self.queues[other as usize].len() > own.len() {
            self.queues[other as usize].last()
        } else {
            own.last().filter(|(last, _)| *last > rank)
        };
        let Some((_, ticket)) = worst else {
            return false;
        };
        self.refuse(ticket, RefusalReason::QueueFull, now);
        true
    }

    /// The wait of a request with this rank.
    pub(super) fn wait(&self, class: Class, rank: u64, now: Duration) -> Wait {
        let other = &self.queues[1 - class as usize];
        let slots = f64::from(self.slot_shares(now).serving(class, !other.is_empty()));
        let (n, work) = self.queues[class as usize].ahead(rank);
        let ahead = work as f64 / 1e6;
        let first = self.first_free(class);
        let reach = self.queues[class as usize]
            .time_to_reach(rank)
            .as_secs_f64();
        let here = first + ahead / slots;
        let mean = here.max(reach.min(here * MAX_OVERTAKING));
        let each = if n == 0 {
            0.0
        } else {
            ahead / n as f64 / slots
        };
        let spread = WAIT_DEVIATIONS * first.max(each * (n as f64).sqrt());
        // With no slot at all, nothing moves until the limits change.
        let still = match self.targets.slots() {
            0 => self
                .targets
                .next_change()
                .unwrap_or(now)
                .saturating_sub(now),
            _ => Duration::ZERO,
        };
        Wait {
            current: still + Duration::from_secs_f64(here),
            mean: still + Duration::from_secs_f64(mean),
            upper: still + Duration::from_secs_f64(mean + spread),
        }
    }

    /// Expected time, in seconds, until one of the slots that a class may use is free.
    ///
    /// A class waits for its own runs and for those of the other, whichever end sooner: pages that
    /// turn over a few slots in milliseconds do not wait for the summaries in the rest.
    fn first_free(&self, class: Class) -> f64 {
        let slot_interval =
            |i: usize| self.load[i] as f64 / 1e6 / f64::from(self.busy[i].max(1)).powi(2);
        let (own, other) = (class as usize, 1 - class as usize);
        match (self.busy[own], self.busy[other]) {
            (0, 0) => 0.0,
            (0, _) => slot_interval(other),
            (_, 0) => slot_interval(own),
            _ => slot_interval(own).min(slot_interval(other)),
        }
    }

    /// Counts a refusal and puts it into words.
    pub(super) fn refused(&mut self, reason: RefusalReason, retry_after: Duration) -> Decision {
        self.counts.refused += 1;
        Decision::Refused {
            reason,
            retry_after,
        }
    }

    /// Estimate of the time after which a request refused for `reason` would be let in.
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
            // Half of what waits has then been served.
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
