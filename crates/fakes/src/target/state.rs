//! What a target knows, without clock or socket.

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
    /// Requests left until the cache is warm.
    cold: u64,
    pub(super) slow: f64,
    pub(super) shed: u64,
    pub(super) truncate: u64,
    pub(super) lie: Option<TargetReport>,
    /// Requests that hold a slot.
    pub(super) busy: u32,
    /// Requests that wait for a slot.
    pub(super) waiting: u32,
    /// Highest `busy` so far.
    pub(super) peak: u32,
    /// Loads of the time of the lag, oldest first, each with its time.
    past: VecDeque<(Duration, TargetReport)>,
    pub(super) counts: TargetCounts,
    pub(super) runs: BTreeMap<Arc<str>, u64>,
}

impl State {
    pub(super) fn open(options: TargetOptions) -> Self {
        let mut state = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            leaving: false,
            cold: options.warmup_requests,
            slow: 1.0,
            shed: 0,
            truncate: 0,
            lie: None,
            busy: 0,
            waiting: 0,
            peak: 0,
            past: VecDeque::new(),
            counts: NO_COUNTS,
            runs: BTreeMap::new(),
            options,
        };
        state.note(Duration::ZERO);
        state
    }

    pub(super) fn clear_cache(&mut self) {
        self.cold = self.options.warmup_requests;
    }

    /// Gives the load as it is.
    pub(super) fn load(&self) -> TargetReport {
        TargetReport {
            busy: self.busy,
            slots: self.options.slots,
            leaving: self.leaving,
            cold: self.cold > 0,
        }
    }

    /// Notes the load, for reports to come.
    pub(super) fn note(&mut self, now: Duration) {
        self.past.push_back((now, self.load()));
        let old = now.saturating_sub(self.options.report_delay);
        // The newest load older than the lag is the one to report; earlier ones are not needed.
        while self.past.get(1).is_some_and(|(at, _)| *at <= old) {
            self.past.pop_front();
        }
    }

    /// Gives the load that it reports: one of the past, or a lie.
    pub(super) fn report(&self, now: Duration) -> TargetReport {
        if let Some(lie) = &self.lie {
            return lie.clone();
        }
        let old = now.saturating_sub(self.options.report_delay);
        let past = self.past.iter().rev().find(|(at, _)| *at <= old);
        past.or(self.past.front())
            .map_or_else(|| self.load(), |(_, report)| report.clone())
    }

    /// Takes a place among those who wait for a slot; `false` sheds the request.
    pub(super) fn enter(&mut self) -> bool {
        let told = self.shed > 0;
        self.shed -= u64::from(told);
        let full = self.busy + self.waiting >= self.options.slots + self.options.backlog;
        let shed = told || full || self.leaving;
        self.counts.shed += u64::from(shed);
        self.waiting += u32::from(!shed);
        !shed
    }

    /// Moves a request from the backlog to a slot, counts its run, and draws its time.
    pub(super) fn begin(&mut self, key: Option<&str>, asked: Option<Duration>) -> Duration {
        self.waiting -= 1;
        self.busy += 1;
        self.peak = self.peak.max(self.busy);
        self.counts.started += 1;
        if let Some(key) = key {
            let runs = self.runs.entry(key.into()).or_default();
            *runs += 1;
            self.counts.repeated += u64::from(*runs == 2);
        }
        let time = asked.unwrap_or_else(|| self.draw());
        let time = time.mul_f64(self.slow * self.chilled());
        self.cold = self.cold.saturating_sub(1);
        time
    }

    /// Takes one of the answers that are to be cut short.
    pub(super) fn cut(&mut self) -> bool {
        let cut = self.truncate > 0;
        self.truncate -= u64::from(cut);
        cut
    }

    pub(super) fn counts(&self) -> TargetCounts {
        self.counts.clone()
    }

    /// Gives the factor of the cold cache, which falls in a line while requests warm it.
    fn chilled(&self) -> f64 {
        if self.cold == 0 {
            return 1.0;
        }
        let left = self.cold as f64 / self.options.warmup_requests.max(1) as f64;
        1.0 + (self.options.cold_factor - 1.0) * left
    }

    /// Draws a time from the log-normal distribution (Box and Muller).
    fn draw(&mut self) -> Duration {
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
