//! One host's share of a service's retry budget.
//!
//! When targets fail or shed because they are overloaded, every failure would cause another
//! attempt, and each of those would fail as well. The budget allows retries as a ratio of the
//! requests, and a few more so that a quiet service may still retry.
//!
//! When requests differ in urgency, the retries that more urgent ones have recently asked for are
//! left to them, as long as the less urgent get a fixed part of what all get.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    entry::{FLOOR, Urgency},
    own_share::HostShare,
};

/// Buckets of the sliding window; an attempt leaves the window at most one bucket late.
const WINDOW_BUCKETS: u32 = 10;

/// Buckets for which a request allows retries, counting its own.
///
/// Retries of one window are then allowed by the requests of 1.2 windows at most, whichever hosts
/// they reached: with [`UTILIZATION`] they stay below the ratio. If a request allowed retries for a
/// whole window, callers that move to other hosts would have them allowed twice.
const CREDIT_BUCKETS: u32 = 2;

/// Fraction of the limit that is used. The rest covers requests of just before a window whose
/// retries are in it.
const UTILIZATION: f64 = 0.8;

/// Fraction of its share of the slack that a host may use within one window after the share became
/// usable, unless it is certainly unused.
///
/// A predecessor that was killed may have used the whole share a moment before, or the other hosts,
/// who divided the slack without this one. What they may have used and this fraction add up to the
/// whole.
const NEW_UTILIZATION: f64 = 1.0 - UTILIZATION;

/// Limits on the retries of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window; the limit holds for any period of this length.
    pub window: Duration,
}

/// A decision on a retry, and the figures that it was made by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// Retries of the last window, without this one.
    pub used: u32,
    /// Retries that this host's share allows now; some of them may be left to more urgent requests.
    pub left: f64,
    /// This host's share of the slack.
    pub share: HostShare,
}

/// Retries of requests of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct RetryCounts {
    requested: u32,
    /// Never more than were requested.
    granted: u32,
}

/// Attempts that began within one bucket of the window.
#[derive(Clone, Debug, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    /// Retries that the requests allow and that were not made yet.
    credit: f64,
    /// Retries that were made from the slack.
    slack_used: f64,
    retries: BTreeMap<Urgency, RetryCounts>,
    /// Retries of requests that may still be answered without one.
    spare: u32,
}

/// Retry budget of one service at one host: its requests and retries in the last window.
///
/// Invariant: each retry was allowed by requests of the last fifth of a window, each of which allows
/// `ratio` retries once, or by this host's share of the slack.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Opens an unused budget.
    pub fn open() -> RetryBudget {
        RetryBudget::default()
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Duration) {
        let bucket = self.bucket(limits, now);
        bucket.requests += 1;
        bucket.credit += UTILIZATION * limits.ratio;
    }

    /// Takes a retry for a request if this host's share has one left that more urgent requests have
    /// not recently asked for, or that it needs for its floor. `share` is the host's share of the
    /// slack.
    pub fn try_retry(
        &mut self,
        limits: &RetryLimits,
        share: &HostShare,
        urgency: Urgency,
        now: Duration,
    ) -> RetryDecision {
        self.counts_of(limits, urgency, now).requested += 1;
        let taken = match self.is_below_floor(urgency) {
            true => self.used(),
            false => self.used_or_reserved(|other| other < urgency),
        };
        let decision = self.decide(limits, share, taken, now);
        if decision.is_granted {
            self.counts_of(limits, urgency, now).granted += 1;
        }
        decision
    }

    /// Takes a retry for a request that may still be answered without one, if this host's share has
    /// one left that no other request has recently asked for.
    pub fn try_spare(
        &mut self,
        limits: &RetryLimits,
        share: &HostShare,
        now: Duration,
    ) -> RetryDecision {
        let taken = self.used_or_reserved(|_| true);
        let decision = self.decide(limits, share, taken, now);
        if decision.is_granted {
            self.bucket(limits, now).spare += 1;
        }
        decision
    }

    /// Decides on a retry while `taken` of the window's retries are used or left to others.
    fn decide(
        &mut self,
        limits: &RetryLimits,
        share: &HostShare,
        taken: u32,
        now: Duration,
    ) -> RetryDecision {
        // Removes the buckets that have left the window.
        self.bucket(limits, now);
        let slack = self.slack(limits, share, now);
        let credit = self.credits(limits, now).map(|credit| *credit).sum::<f64>();
        let slack_used: f64 = self.buckets.iter().map(|b| b.slack_used).sum();
        let left = credit + (slack - slack_used).max(0.0);
        let used = self.used();
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let in_window = UTILIZATION * limits.ratio * f64::from(requests) + slack;
        let is_granted = left >= 1.0 && f64::from(taken + 1) <= in_window;
        if is_granted {
            self.spend(limits, now);
        }
        RetryDecision {
            is_granted,
            used,
            left,
            share: *share,
        }
    }

    /// Returns the retries of the window.
    fn used(&self) -> u32 {
        self.used_or_reserved(|_| false)
    }

    /// Returns the retries of the window, with all that the requests of a reserved urgency asked
    /// for.
    fn used_or_reserved(&self, is_reserved: impl Fn(Urgency) -> bool) -> u32 {
        let spare: u32 = self.buckets.iter().map(|b| b.spare).sum();
        let retries = self.sum(|urgency, retries| match is_reserved(urgency) {
            true => retries.requested,
            false => retries.granted,
        });
        spare + retries
    }

    /// Whether retries of this urgency were granted less than [`FLOOR`] times as often as all.
    fn is_below_floor(&self, urgency: Urgency) -> bool {
        let own = |count: fn(&RetryCounts) -> u32| {
            f64::from(self.sum(|other, retries| match other == urgency {
                true => count(retries),
                false => 0,
            }))
        };
        let all = |count: fn(&RetryCounts) -> u32| f64::from(self.sum(|_, r| count(r)));
        let (granted, requested) = (own(|r| r.granted), own(|r| r.requested));
        granted * all(|r| r.requested) < FLOOR * all(|r| r.granted) * requested
    }

    /// Takes one retry from the credit of the oldest requests, and what is missing from the slack.
    fn spend(&mut self, limits: &RetryLimits, now: Duration) {
        let mut missing = 1.0_f64;
        for credit in self.credits(limits, now) {
            let taken = credit.min(missing);
            *credit -= taken;
            missing -= taken;
        }
        self.bucket(limits, now).slack_used += missing;
    }

    /// Returns the credit of the requests that still allow retries, oldest first.
    fn credits(&mut self, limits: &RetryLimits, now: Duration) -> impl Iterator<Item = &mut f64> {
        let time = limits.window / WINDOW_BUCKETS * CREDIT_BUCKETS;
        let usable = self
            .buckets
            .iter_mut()
            .filter(move |b| b.start + time > now);
        usable.map(|b| &mut b.credit)
    }

    /// Returns this host's share of the slack.
    fn slack(&self, limits: &RetryLimits, share: &HostShare, now: Duration) -> f64 {
        let Some(since) = share.since else {
            return 0.0;
        };
        let part = limits.slack / share.hosts.max(1) as f64;
        let age = now.saturating_sub(since);
        match share.is_unused || age >= limits.window {
            true => UTILIZATION * part,
            // Grows with the age: a host that is killed repeatedly uses no more of it in total than
            // one that keeps running.
            false => NEW_UTILIZATION * part * age.div_duration_f64(limits.window),
        }
    }

    /// Returns the sum of a count over the window and all requests.
    fn sum(&self, count: impl Fn(Urgency, &RetryCounts) -> u32) -> u32 {
        let all = self.buckets.iter().flat_map(|s| &s.retries);
        all.map(|(urgency, retries)| count(*urgency, retries)).sum()
    }

    /// Returns the counts of an urgency in the bucket of `now`.
    fn counts_of(
        &mut self,
        limits: &RetryLimits,
        urgency: Urgency,
        now: Duration,
    ) -> &mut RetryCounts {
        self.bucket(limits, now).retries.entry(urgency).or_default()
    }

    /// Returns the bucket of `now`, after removing those that have left the window.
    fn bucket(&mut self, limits: &RetryLimits, now: Duration) -> &mut Bucket {
        let length = limits.window / WINDOW_BUCKETS;
        while self
            .buckets
            .front()
            .is_some_and(|s| s.start + limits.window + length <= now)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|s| s.start + length <= now) {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
