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

use super::ranks::EQUAL_PART;

/// Slices of the window; a run is forgotten at most one slice late.
const SLICES: u32 = 10;

/// Part of the bound that is spent: hosts that join are known to others a little later, and until
/// then the parts of all add up to more than the whole.
const SPENT: f64 = 0.8;

/// Part of the bound that is spent within the first window of a host's life.
///
/// A host that was killed may have spent its whole part a moment before, and its successor does not
/// know: killed while targets shed, all hosts together made up to 1.2 times the second runs allowed.
/// What a killed host may have spent and this part are the whole bound.
const FRESH_SPENT: f64 = 1.0 - SPENT;

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
struct Repeats {
    asked: u32,
    /// Never more than were asked for.
    given: u32,
}

/// Runs that began within a part of the window.
#[derive(Clone, Debug, Default)]
struct Slice {
    start: Duration,
    first: u32,
    repeats: BTreeMap<u8, Repeats>,
}

/// First and second runs of one service in the last window, at one host.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// When the host started, if another process may have spent its part before.
    since: Option<Duration>,
    /// Oldest first.
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Opens a budget of which nothing was spent.
    pub fn open() -> RetryBudget {
        RetryBudget::default()
    }

    /// Opens the budget of a host that started at `since`, and may be the successor of one that was
    /// killed.
    pub fn open_restarted(since: Duration) -> RetryBudget {
        RetryBudget {
            since: Some(since),
            ..RetryBudget::default()
        }
    }

    /// Notes a request that a caller sent.
    pub fn record_request(&mut self, rules: &RetryLimits, now: Duration) {
        self.slice(rules, now).first += 1;
    }

    /// Takes a second run for a request of `rank` if this host's part has one left, and the more urgent
    /// have not asked for it lately. `hosts` is the number of hosts that share the slack; `draw` is even
    /// in 0 to 1.
    pub fn try_retry(
        &mut self,
        rules: &RetryLimits,
        hosts: usize,
        rank: u8,
        draw: f64,
        now: Duration,
    ) -> bool {
        self.of_rank(rules, rank, now).asked += 1;
        let most = self.most(rules, hosts, now);
        let spent = self.sum(|_, repeats| repeats.given);
        let kept = self.sum(|other, repeats| match other < rank {
            true => repeats.asked,
            false => repeats.given,
        });
        let taken = if draw < EQUAL_PART { spent } else { kept };
        if f64::from(taken + 1) > most {
            return false;
        }
        self.of_rank(rules, rank, now).given += 1;
        true
    }

    /// Second runs in the window that this host's part allows.
    fn most(&self, rules: &RetryLimits, hosts: usize, now: Duration) -> f64 {
        let first: u32 = self.slices.iter().map(|s| s.first).sum();
        let slack = rules.slack / hosts.max(1) as f64;
        let ratio = f64::from(first) * rules.ratio;
        match self.fresh_for(rules, now) {
            None => SPENT * (ratio + slack),
            // The slack grows: killed time and again, a host has in all no more of it than one that
            // lives on.
            Some(lived) => FRESH_SPENT * (ratio + slack * lived.div_duration_f64(rules.window)),
        }
    }

    /// Adds up what the window holds of each rank.
    fn sum(&self, part: impl Fn(u8, &Repeats) -> u32) -> u32 {
        let all = self.slices.iter().flat_map(|s| &s.repeats);
        all.map(|(rank, repeats)| part(*rank, repeats)).sum()
    }

    /// Time that a host has lived which may succeed a killed one, while what that one spent may still
    /// be in the window.
    fn fresh_for(&self, rules: &RetryLimits, now: Duration) -> Option<Duration> {
        let lived = now.saturating_sub(self.since?);
        (lived < rules.window).then_some(lived)
    }

    /// What the slice of `now` holds of a rank.
    fn of_rank(&mut self, rules: &RetryLimits, rank: u8, now: Duration) -> &mut Repeats {
        self.slice(rules, now).repeats.entry(rank).or_default()
    }

    /// The slice of `now`; those that left the window go.
    fn slice(&mut self, rules: &RetryLimits, now: Duration) -> &mut Slice {
        let length = rules.window / SLICES;
        while self
            .slices
            .front()
            .is_some_and(|s| s.start + rules.window + length <= now)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.start + length <= now) {
            self.slices.push_back(Slice {
                start: now,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
