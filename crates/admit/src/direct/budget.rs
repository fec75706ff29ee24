//! One host's part of a service's retry budget.
//!
//! Load: targets that fail or shed while they have too much to do. Every failure would make another
//! run, and each of those would fail as well. The budget allows second runs as a share of the first
//! ones, and a few more so that a quiet service may still repeat.

use std::{collections::VecDeque, time::Duration};

/// Slices of the window; a run is forgotten at most one slice late.
const SLICES: u32 = 10;

/// Part of the bound that is spent: hosts that join are known to others a little later, and until
/// then the parts of all add up to more than the whole.
const SPENT: f64 = 0.8;

/// The bound for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRules {
    /// Second runs for each first run.
    pub ratio: f64,
    /// Second runs in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window; any span of this length is bounded.
    pub window: Duration,
}

/// First and second runs of one service in the last window, at one host.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    /// Start, first runs and second runs of each slice, oldest first.
    slices: VecDeque<(Duration, u32, u32)>,
}

impl SharedBudget {
    /// Opens a budget without runs.
    pub fn open() -> SharedBudget {
        SharedBudget::default()
    }

    /// Notes a request that a caller sent.
    pub fn first(&mut self, rules: &BudgetRules, now: Duration) {
        self.slice(rules, now).1 += 1;
    }

    /// Takes a second run if this host's part has one left. `hosts` is the number of hosts that
    /// share the slack.
    pub fn second(&mut self, rules: &BudgetRules, hosts: usize, now: Duration) -> bool {
        self.slice(rules, now);
        let first: u32 = self.slices.iter().map(|s| s.1).sum();
        let second: u32 = self.slices.iter().map(|s| s.2).sum();
        let slack = rules.slack / hosts.max(1) as f64;
        let most = SPENT * (f64::from(first) * rules.ratio + slack);
        if f64::from(second + 1) > most {
            return false;
        }
        self.slice(rules, now).2 += 1;
        true
    }

    /// The slice of `now`; those that left the window go.
    fn slice(&mut self, rules: &BudgetRules, now: Duration) -> &mut (Duration, u32, u32) {
        let length = rules.window / SLICES;
        while self
            .slices
            .front()
            .is_some_and(|s| s.0 + rules.window + length <= now)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.0 + length <= now) {
            self.slices.push_back((now, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
