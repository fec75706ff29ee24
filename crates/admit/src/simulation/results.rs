//! Results of a simulation, as callers see them.

use std::{collections::BTreeMap, time::Duration};

use super::scenario::{Request, Scenario};

/// Group of requests that is measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All requests.
    All,
    /// Requests of caller 0.
    Heavy,
    /// Requests of the other callers.
    Light,
    /// Requests for key 0.
    Hot,
    /// Requests for other keys.
    Other,
    /// Requests of the kind with this number.
    Kind(usize),
}

/// Counts of one group.
#[derive(Clone, Debug, Default, PartialEq)]
struct GroupCounts {
    offered: u64,
    refused: u64,
    failed: u64,
    /// Answered after the deadline.
    missed: u64,
    /// Response times in microseconds, including late responses.
    times: Vec<u64>,
}

/// Results of a simulation, without its warm-up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    groups: BTreeMap<Group, GroupCounts>,
    /// Service time of the responses in time, in slot seconds.
    pub good_time: f64,
    /// Available slot seconds.
    pub capacity: f64,
    /// Requests that were queued and refused afterwards.
    pub refused_after_wait: u64,
    /// Waits of those requests, in ascending order.
    pub refused_waits: Vec<Duration>,
    /// Number of times that a target shed a request, over the whole simulation.
    pub shed: u64,
    /// Retries and hedges.
    pub retries: u64,
    /// Crashes of targets.
    pub crashes: u64,
    /// Requests refused by quarantine that crash no target.
    pub false_positives: u64,
    /// Maximum fraction of a pool's targets ejected at once.
    pub ejected: f64,
    /// Starts on a target after the pool knew that it is leaving.
    pub leaving_starts: u64,
    /// Time from its report until a leaving target was idle.
    pub drain: Option<Duration>,
    /// Longest run of any request.
    pub longest_run: Duration,
    /// Starts after the deadline.
    pub late_starts: u64,
}

impl Results {
    pub(super) fn open(scenario: &Scenario) -> Self {
        let time = (scenario.length - scenario.warm_up).as_secs_f64();
        Self {
            capacity: scenario.deployment.capacity() * time,
            ..Self::default()
        }
    }

    fn each(&mut self, request: &Request, mut f: impl FnMut(&mut GroupCounts)) {
        let caller = if request.caller == 0 {
            Group::Heavy
        } else {
            Group::Light
        };
        let key = if request.key == 0 {
            Group::Hot
        } else {
            Group::Other
        };
        for group in [Group::All, caller, key, Group::Kind(request.kind)] {
            f(self.groups.entry(group).or_default());
        }
    }

    pub(super) fn offered(&mut self, request: &Request) {
        self.each(request, |p| p.offered += 1);
    }

    pub(super) fn refused(&mut self, request: &Request) {
        self.each(request, |p| p.refused += 1);
    }

    pub(super) fn failed(&mut self, request: &Request) {
        self.each(request, |p| p.failed += 1);
    }

    pub(super) fn answered(&mut self, request: &Request, at: Duration) {
        let time = at.saturating_sub(request.arrived).as_micros() as u64;
        let missed = at > request.deadline;
        self.each(request, |p| {
            p.times.push(time);
            p.missed += u64::from(missed);
        });
    }

    pub(super) fn sort(mut self) -> Self {
        self.refused_waits.sort_unstable();
        self.groups
            .values_mut()
            .for_each(|p| p.times.sort_unstable());
        self
    }

    /// Returns a percentile, 0 to 1, of the response time.
    pub fn time(&self, group: Group, percentile: f64) -> Duration {
        let Some(is_measured) = self.groups.get(&group).filter(|p| !p.times.is_empty()) else {
            return Duration::ZERO;
        };
        let at = ((is_measured.times.len() - 1) as f64 * percentile).round() as usize;
        Duration::from_micros(is_measured.times[at])
    }

    /// Returns a count as a fraction of the offered requests.
    fn share(&self, group: Group, f: impl Fn(&GroupCounts) -> u64) -> f64 {
        self.groups
            .get(&group)
            .map_or(0.0, |p| f(p) as f64 / p.offered.max(1) as f64)
    }

    /// Returns the number of requests offered.
    pub fn offered_count(&self, group: Group) -> u64 {
        self.groups.get(&group).map_or(0, |p| p.offered)
    }

    /// Returns the fraction refused.
    pub fn refused_fraction(&self, group: Group) -> f64 {
        self.share(group, |p| p.refused)
    }

    /// Returns the fraction that ended without a response although it ran.
    pub fn failed_fraction(&self, group: Group) -> f64 {
        self.share(group, |p| p.failed)
    }

    /// Returns the fraction answered in time.
    pub fn good_fraction(&self, group: Group) -> f64 {
        self.share(group, |p| p.times.len() as u64 - p.missed)
    }

    /// Returns the responses that came after the deadline, as a fraction of all responses.
    pub fn missed_fraction(&self, group: Group) -> f64 {
        let is_measured = self.groups.get(&group);
        is_measured.map_or(0.0, |p| p.missed as f64 / p.times.len().max(1) as f64)
    }

    /// Returns the service time of the responses in time as a fraction of the capacity.
    pub fn goodput(&self) -> f64 {
        self.good_time / self.capacity
    }
}
