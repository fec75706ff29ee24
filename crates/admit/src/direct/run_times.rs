//! The latest run times of a route: how long its warm runs take, and when a run takes so long that
//! a second send answers sooner.
//!
//! A few runs take several times as long as others. Whoever waits for such a run is answered late,
//! though another target, or the same one, would have answered in time. The second send leaves as
//! late as its own answer can still come within the objective, so that few are needed.

use std::{collections::VecDeque, time::Duration};

/// Runs that the figures come from: some seconds of a route at one host.
const RUNS: usize = 128;

/// Runs without which nothing is known.
const MIN_RUNS: usize = 16;

/// Quantile of all runs that is taken for the fastest warm ones: it holds while most runs are cold
/// or slow.
const LOW_QUANTILE: f64 = 0.25;

/// Multiple of the low quantile below which a run counts as warm.
const WARM_FACTOR: f64 = 1.6;

/// Quantile of warm runs within which the second answer is expected.
const ANSWER_QUANTILE: f64 = 0.75;

/// Quantile of warm runs before which no run takes unusually long.
const LONG_QUANTILE: f64 = 0.9;

/// Run times of a route, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    runs: VecDeque<Duration>,
}

impl RunTimes {
    /// Opens an estimator without runs.
    pub fn open() -> RunTimes {
        RunTimes::default()
    }

    /// Records the time of a complete run.
    pub fn record(&mut self, time: Duration) {
        if self.runs.len() >= RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(time);
    }

    /// Returns the median of the warm runs; `None` before enough runs were recorded.
    pub fn usual(&self) -> Option<Duration> {
        Some(quantile(&self.warm()?, 0.5))
    }

    /// Returns how long after the first send a second one leaves: as late as most warm runs still
    /// answer within the objective, but not while the first may well be a usual run. `None` if less
    /// than half of the second answers would come in time, or too little is known.
    pub fn second_send(&self, objective: Duration) -> Option<Duration> {
        let warm = self.warm()?;
        let latest = objective.checked_sub(quantile(&warm, ANSWER_QUANTILE))?;
        let delay = latest.max(quantile(&warm, LONG_QUANTILE));
        (delay + quantile(&warm, 0.5) <= objective).then_some(delay)
    }

    /// Returns the warm runs in order of their times.
    fn warm(&self) -> Option<Vec<Duration>> {
        if self.runs.len() < MIN_RUNS {
            return None;
        }
        let mut runs: Vec<_> = self.runs.iter().copied().collect();
        runs.sort_unstable();
        let most = quantile(&runs, LOW_QUANTILE).mul_f64(WARM_FACTOR);
        runs.truncate(runs.partition_point(|time| *time <= most));
        Some(runs)
    }
}

/// Returns the time below which this part of the runs lies. There is at least one run.
fn quantile(runs: &[Duration], part: f64) -> Duration {
    let last = runs.len() - 1;
    runs[(last as f64 * part) as usize]
}
