//! One host's part of a service's retry budget.
//!
//! Load: targets that fail or shed while they have too much to do. Every failure would make another
//! run, and each of those would fail as well. The budget allows second runs as a share of the first
//! ones, and a few more so that a quiet service may still repeat.
//!
//! Load: the same, with requests of several ranks. What the more urgent have lately asked for is left to
//! them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::ranks::EQUAL_FRACTION;

/// Slices of the window; a run is forgotten at most one slice late.
const WINDOW_BUCKETS: u32 = 10;

/// Part of the bound that is spent: hosts that join are known to others a little later, and until
/// then the parts of all add up to more than the whole.
const UTILIZATION: f64 = 0.8;

/// Part of the bound that is spent within the first window of a host's life.
///
/// A host that was killed may have spent its whole part a moment before, and its successor does not
/// know: killed while targets shed, all hosts together made up to 1.2 times the second runs allowed.
/// What a killed host may have spent and this part are the whole bound.
const RESTARTED_UTILIZATION: f64 = 1.0 - UTILIZATION;

/// The bound for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Second runs for each first run.
    pub ratio: f64,
    /// Second runs in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window; any span of this length is bounded.
    pub window: Duration,
}

/// Second runs of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RetryCounts {
    requested: u32,
    /// Never more than were asked for.
    granted: u32,
}

/// Runs that began within a part of the window.
#[derive(Clone, Debug, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    retries: BTreeMap<u8, RetryCounts>,
}

/// First and second runs of one service in the last window, at one host.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// When the host started, if another process may have spent its part before.
    restarted_at: Option<Duration>,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Opens a budget of which nothing was spent.
    pub fn open() -> RetryBudget {
        RetryBudget::default()
    }

    /// Opens the budget of a host that started at `since`, and may be the successor of one that was
    /// killed.
    pub fn open_restarted(restarted_at: Duration) -> RetryBudget {
        RetryBudget {
            restarted_at: Some(restarted_at),
            ..RetryBudget::default()
        }
    }

    /// Notes a request that a caller sent.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Duration) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes a second run for a request of `rank` if this host's part has one left, and the more urgent
    /// have not asked for it lately. `hosts` is the number of hosts that share the slack; `draw` is even
    /// in 0 to 1.
    pub fn try_retry(
        &mut self,
        limits: &RetryLimits,
        hosts: usize,
        rank: u8,
        draw: f64,
        now: Duration,
    ) -> bool {
        self.counts_of(limits, rank, now).requested += 1;
        let max_retries = self.max_retries(limits, hosts, now);
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
        if f64::from(taken + 1) > max_retries {
            return false;
        }
        self.counts_of(limits, rank, now).granted += 1;
        true
    }

    /// Second runs in the window that this host's part allows.
    fn max_retries(&self, limits: &RetryLimits, hosts: usize, now: Duration) -> f64 {
        let requests: u32 = self.buckets.iter().map(|s| s.requests).sum();
        let slack = limits.slack / hosts.max(1) as f64;
        let ratio = f64::from(requests) * limits.ratio;
        match self.age_if_restarted(limits, now) {
            None => UTILIZATION * (ratio + slack),
            // The slack grows: killed time and again, a host has in all no more of it than one that
            // lives on.
            Some(age) => {
                RESTARTED_UTILIZATION * (ratio + slack * age.div_duration_f64(limits.window))
            }
        }
    }

    /// Adds up what the window holds of each rank.
    fn sum(&self, count: impl Fn(u8, &RetryCounts) -> u32) -> u32 {
        let all = self.buckets.iter().flat_map(|s| &s.retries);
        all.map(|(rank, retries)| count(*rank, retries)).sum()
    }

    /// Time that a host has lived which may succeed a killed one, while what that one spent may still
    /// be in the window.
    fn age_if_restarted(&self, limits: &RetryLimits, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.restarted_at?);
        (age < limits.window).then_some(age)
    }

    /// What the slice of `now` holds of a rank.
    fn counts_of(&mut self, limits: &RetryLimits, rank: u8, now: Duration) -> &mut RetryCounts {
        self.bucket(limits, now).retries.entry(rank).or_default()
    }

    /// The slice of `now`; those that left the window go.
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
