//! State of a target, without clock or socket.

use std::{
    collections::{BTreeMap, VecDeque},
    f64::consts::TAU,
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::store::{TargetCounts, TargetReport};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::TargetOptions;

/// The state of one target.
pub(super) struct State {
    pub(super) options: TargetOptions,
    rng: SmallRng,
    pub(super) leaving: bool,
    /// Number of requests until the cache is warm.
    warmup_left: u64,
    pub(super) slowdown: f64,
    pub(super) shed_next: u64,
    /// `Retry-After` of shed requests, in seconds.
    pub(super) shed_backoff: Option<f64>,
    pub(super) truncate_next: u64,
    pub(super) reported_override: Option<TargetReport>,
    /// Number of requests that hold a slot.
    pub(super) busy: u32,
    /// Number of requests that wait for a slot.
    pub(super) waiting: u32,
    /// Highest `busy` so far.
    pub(super) peak: u32,
    /// Loads within the report delay, oldest first, each with its time.
    load_history: VecDeque<(Duration, TargetReport)>,
    pub(super) counts: TargetCounts,
    pub(super) runs: BTreeMap<Arc<str>, u64>,
}

impl State {
    pub(super) fn open(options: TargetOptions) -> Self {
        let mut state = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            leaving: false,
            warmup_left: options.warmup_requests,
            slowdown: 1.0,
            shed_next: 0,
            shed_backoff: None,
            truncate_next: 0,
            reported_override: None,
            busy: 0,
            waiting: 0,
            peak: 0,
            load_history: VecDeque::new(),
            counts: NO_COUNTS,
            runs: BTreeMap::new(),
            options,
        };
        state.record_load(Duration::ZERO);
        state
    }

    pub(super) fn clear_cache(&mut self) {
        self.warmup_left = self.options.warmup_requests;
    }

    /// Returns the current load.
    pub(super) fn load(&self) -> TargetReport {
        TargetReport {
            busy: self.busy,
            slots: self.options.slots,
            leaving: self.leaving,
            cold: self.warmup_left > 0,
        }
    }

    /// Records the current load for later reports.
    pub(super) fn record_load(&mut self, now: Duration) {
        self.load_history.push_back((now, self.load()));
        let old = now.saturating_sub(self.options.report_delay);
        // The newest load older than the report delay is the one to report; earlier ones are not needed.
        while self.load_history.get(1).is_some_and(|(at, _)| *at <= old) {
            self.load_history.pop_front();
        }
    }

    /// Returns the load to report: the one `report_delay` ago, or the override.
    pub(super) fn report(&self, now: Duration) -> TargetReport {
        if let Some(report) = &self.reported_override {
            return report.clone();
        }
        let old = now.saturating_sub(self.options.report_delay);
        let load_history = self.load_history.iter().rev().find(|(at, _)| *at <= old);
        load_history
            .or(self.load_history.front())
            .map_or_else(|| self.load(), |(_, report)| report.clone())
    }

    /// Adds a request to the backlog; `false` means that it is shed.
    pub(super) fn try_enqueue(&mut self) -> bool {
        let forced = self.shed_next > 0;
        self.shed_next -= u64::from(forced);
        let full = self.busy + self.waiting >= self.options.slots + self.options.backlog;
        let shed = forced || full || self.leaving;
        self.counts.shed += u64::from(shed);
        self.waiting += u32::from(!shed);
        !shed
    }

    /// Moves a request from the backlog to a slot, counts its run and returns its run time.
    pub(super) fn start(&mut self, key: Option<&str>, requested: Option<Duration>) -> Duration {
        self.waiting -= 1;
        self.busy += 1;
        self.peak = self.peak.max(self.busy);
        self.counts.started += 1;
        if let Some(key) = key {
            let runs = self.runs.entry(key.into()).or_default();
            *runs += 1;
            self.counts.repeated += u64::from(*runs == 2);
        }
        let time = requested.unwrap_or_else(|| self.sample_work());
        let time = time.mul_f64(self.slowdown * self.cold_multiplier());
        self.warmup_left = self.warmup_left.saturating_sub(1);
        time
    }

    /// Returns whether to truncate this response, and counts it.
    pub(super) fn take_truncation(&mut self) -> bool {
        let truncated = self.truncate_next > 0;
        self.truncate_next -= u64::from(truncated);
        truncated
    }

    pub(super) fn counts(&self) -> TargetCounts {
        self.counts.clone()
    }

    /// Returns the factor of the cold cache, which falls linearly while requests warm it.
    fn cold_multiplier(&self) -> f64 {
        if self.warmup_left == 0 {
            return 1.0;
        }
        let left = self.warmup_left as f64 / self.options.warmup_requests.max(1) as f64;
        1.0 + (self.options.cold_factor - 1.0) * left
    }

    /// Samples a run time from the log-normal distribution (Box-Muller transform).
    fn sample_work(&mut self) -> Duration {
        let work = self.options.work.clone();
        let long = self.rng.random::<f64>() < work.slow_fraction;
        let u = 1.0 - self.rng.random::<f64>();
        let v = self.rng.random::<f64>();
        let normal = (-2.0 * u.ln()).sqrt() * (TAU * v).cos();
        let factor = if long { work.slow_factor } else { 1.0 };
        work.median.mul_f64(factor * (work.sigma * normal).exp())
    }
}

const NO_COUNTS: TargetCounts = TargetCounts {
    cancelled: 0,
    finished: 0,
    killed: 0,
    late: 0,
    repeated: 0,
    shed: 0,
    started: 0,
};
