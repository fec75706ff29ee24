//! One host's share of a service's retry budget.
//!
//! When targets fail or shed because they are overloaded, every failure would cause another
//! attempt, and each of those would fail as well. The budget allows retries as a ratio of the
//! requests, and a few more so that a quiet service may still retry.
//!
//! When requests differ in priority, the retries that higher priorities have recently asked for are
//! left to them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::ranks::EQUAL_FRACTION;

/// Buckets of the sliding window; an attempt leaves the window at most one bucket late.
const WINDOW_BUCKETS: u32 = 10;

/// Fraction of the limit that is used: other hosts learn of a new host a little later, and until
/// then the shares of all add up to more than the limit.
const UTILIZATION: f64 = 0.8;

/// Fraction of the limit that a host may use within one window after its start.
///
/// A host that was killed may have used its whole share a moment before, and its successor does not
/// know: when hosts were killed while targets shed, all hosts together made up to 1.2 times the
/// retries allowed. What a killed host may have used and this fraction add up to the whole limit.
const RESTARTED_UTILIZATION: f64 = 1.0 - UTILIZATION;

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
    /// Retries of a window that this host's share allows.
    pub allowed: f64,
    /// Hosts among which the slack is divided.
    pub hosts: usize,
}

/// Retries of one priority.
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
    retries: BTreeMap<u8, RetryCounts>,
}

/// Retry budget of one service at one host: its requests and retries in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// When the host started, if an earlier process may have used its share before.
    restarted_at: Option<Duration>,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Opens an unused budget.
    pub fn open() -> RetryBudget {
        RetryBudget::default()
    }

    /// Opens the budget of a host that started at `restarted_at`, and may be the successor of one
    /// that was killed.
    pub fn open_restarted(restarted_at: Duration) -> RetryBudget {
        RetryBudget {
            restarted_at: Some(restarted_at),
            ..RetryBudget::default()
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Duration) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes a retry for a request of priority `rank` if this host's share has one left that higher
    /// priorities have not recently asked for. `hosts` is the number of hosts that share the slack;
    /// `draw` is uniform in 0 to 1.
    pub fn try_retry(
        &mut self,
        limits: &RetryLimits,
        hosts: usize,
        rank: u8,
        draw: f64,
        now: Duration,
    ) -> RetryDecision {
        self.counts_of(limits, rank, now).requested += 1;
        let allowed = self.max_retries(limits, hosts, now);
        let granted_total = self.sum(|_, retries| retries.granted);
        let reserved = self.sum(|other, retries| match other < rank {
            true => retries.requested,
            false => retries.granted,
        });
        let taken = if draw < EQUAL_FRACTION {
            granted_total
        } else {
            reserved
        };
        let is_granted = f64::from(taken + 1) <= allowed;
        self.counts_of(limits, rank, now).granted += u32::from(is_granted);
        RetryDecision {
            is_granted,
            used: granted_total,
            allowed,
            hosts,
        }
    }

    /// Returns the number of retries in the window that this host's share allows.
    fn max_retries(&self, limits: &RetryLimits, hosts: usize, now: Duration) -> f64 {
        let requests: u32 = self.buckets.iter().map(|s| s.requests).sum();
        let slack = limits.slack / hosts.max(1) as f64;
        let ratio = f64::from(requests) * limits.ratio;
        match self.age_if_restarted(limits, now) {
            None => UTILIZATION * (ratio + slack),
            // The slack grows with the age: a host that is killed repeatedly uses no more of it in
            // total than one that keeps running.
            Some(age) => {
                RESTARTED_UTILIZATION * (ratio + slack * age.div_duration_f64(limits.window))
            }
        }
    }

    /// Returns the sum of a count over the window and all priorities.
    fn sum(&self, count: impl Fn(u8, &RetryCounts) -> u32) -> u32 {
        let all = self.buckets.iter().flat_map(|s| &s.retries);
        all.map(|(rank, retries)| count(*rank, retries)).sum()
    }

    /// Returns the age of a host that may be the successor of a killed one, while the retries of
    /// that one may still be in the window.
    fn age_if_restarted(&self, limits: &RetryLimits, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.restarted_at?);
        (age < limits.window).then_some(age)
    }

    /// Returns the counts of a priority in the bucket of `now`.
    fn counts_of(&mut self, limits: &RetryLimits, rank: u8, now: Duration) -> &mut RetryCounts {
        self.bucket(limits, now).retries.entry(rank).or_default()
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
