//! Ejection of slow targets, and backoff after crashes.
//!
//! A target that is ten times slower than the others holds its slots ten times as long, and the
//! requests that it gets are answered late. Without ejection a fraction of the requests stays slow
//! permanently; without a limit on ejections, a fault that all targets share (a slow database)
//! would empty the pool.

use std::time::Duration;

/// Weight of a sample in the ratio of measured to expected time. With 0.25, a run of long requests
/// ejected a healthy target once in every few hundred thousand requests, which cost a third of a
/// pool for seconds; with 0.1 a target 10 times slower is still found within its first runs, since
/// each of them gives several samples while it lasts.
const EWMA_WEIGHT: f64 = 0.1;

/// Minimum number of samples before a target is judged.
const MIN_SAMPLES: u32 = 4;

/// Consecutive failures after which a target is ejected like a slow one.
const MAX_FAILURES: u32 = 5;

/// Probes that must succeed, one at a time, before an ejected target is restored.
const PROBES_TO_RESTORE: u32 = 3;

/// Maximum time between probes.
const MAX_EJECT_TIME: Duration = Duration::from_secs(60);

/// Ejections further apart than this do not count as consecutive.
const EJECTION_MEMORY: Duration = Duration::from_secs(300);

/// Backoff after a crash, doubled with each consecutive crash: a process restarts in about this
/// time.
const CRASH_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff of a target that crashes again and again.
const MAX_CRASH_BACKOFF: Duration = Duration::from_secs(8);

/// Ratios below this are noise and do not count in placement.
const NOISE_RATIO: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejected {
    probe_at: Duration,
    /// Consecutive successful probes.
    successes: u32,
}

/// Health of a target, measured by its runs.
#[derive(Debug)]
pub(crate) struct Health {
    /// Ratio of measured to expected time, smoothed; 1 is as expected.
    pub(crate) ratio: f64,
    samples: u32,
    failures: u32,
    ejected: Option<Ejected>,
    /// Consecutive ejections, which double the time to the next probe.
    ejections: u32,
    last_ejection: Duration,
    down_until: Duration,
    crashes: u32,
    /// Time of the next probe of a target that is slow but may not be ejected, because too many are
    /// ejected already.
    last_resort_probe: Option<Duration>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            samples: 0,
            failures: 0,
            ejected: None,
            ejections: 0,
            last_ejection: Duration::ZERO,
            down_until: Duration::ZERO,
            crashes: 0,
            last_resort_probe: None,
        }
    }
}

impl Health {
    pub(crate) fn ejected(&self) -> bool {
        self.ejected.is_some()
    }

    pub(crate) fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }

    /// Returns whether the target is ejected, so that its next request is a probe.
    pub(crate) fn is_probe(&self) -> bool {
        self.ejected.is_some()
    }

    /// Records a measured time as a ratio to the expected one. A run that has not ended yields a
    /// lower bound, which can only count against the target.
    pub(crate) fn record(&mut self, ratio: f64, ended: bool) {
        if !ended && ratio < self.ratio {
            return;
        }
        // One outlier must not outweigh many good samples.
        self.ratio += EWMA_WEIGHT * (ratio.min(20.0) - self.ratio);
        self.samples += u32::from(ended);
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.crashes = 0;
    }

    pub(crate) fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Backs off after the process has crashed, or shed a request while it ran none; returns the
    /// end of the backoff.
    pub(crate) fn back_off(&mut self, now: Duration) -> Duration {
        let back_off = (CRASH_BACKOFF * 2_u32.pow(self.crashes.min(8))).min(MAX_CRASH_BACKOFF);
        self.crashes += 1;
        self.close_until(now + back_off)
    }

    /// Closes the target until a time, or until the end of an earlier, longer closure; returns its
    /// end.
    pub(crate) fn close_until(&mut self, end: Duration) -> Duration {
        self.down_until = self.down_until.max(end);
        self.down_until
    }

    /// Ends a closure.
    pub(crate) fn reopen(&mut self) {
        self.down_until = Duration::ZERO;
    }

    /// Returns whether the target is slow or fails, where `median_ratio` is the usual ratio among the
    /// pool's targets.
    pub(crate) fn is_bad(&self, slow: f64, median_ratio: f64) -> bool {
        let judged = self.samples >= MIN_SAMPLES || self.ratio > 2.0 * slow;
        self.failures >= MAX_FAILURES || (judged && self.ratio > slow * median_ratio.max(1.0))
    }

    pub(crate) fn eject(&mut self, time: Duration, now: Duration) {
        if now.saturating_sub(self.last_ejection) > EJECTION_MEMORY {
            self.ejections = 0;
        }
        self.last_ejection = now;
        let time = (time * 2_u32.pow(self.ejections.min(8))).min(MAX_EJECT_TIME.max(time));
        self.ejections += 1;
        self.last_resort_probe = None;
        self.ejected = Some(Ejected {
            probe_at: now + time,
            successes: 0,
        });
    }

    /// Records the result of a probe; returns true if the target is restored.
    pub(crate) fn record_probe(&mut self, good: bool, time: Duration, now: Duration) -> bool {
        let Some(e) = self.ejected.as_mut() else {
            return false;
        };
        if !good {
            self.eject(time, now);
            return false;
        }
        e.successes += 1;
        if e.successes < PROBES_TO_RESTORE {
            return false;
        }
        self.restore();
        true
    }

    /// Restores the target with a clean record.
    pub(crate) fn restore(&mut self) {
        self.ejected = None;
        self.last_resort_probe = None;
        self.ratio = 1.0;
        self.samples = 0;
        self.failures = 0;
    }

    /// Keeps a slow target that may not be ejected as a last resort, probed like an ejected one.
    pub(crate) fn mark_last_resort(&mut self, time: Duration, now: Duration) {
        if self.last_resort_probe.is_none() {
            self.last_resort_probe = Some(now + time);
        }
    }

    /// Returns whether the target is a last resort.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.last_resort_probe.is_some()
    }

    pub(crate) fn clear_last_resort(&mut self) {
        self.last_resort_probe = None;
    }

    /// Returns whether a slow target that may not be ejected should get a request, when the others
    /// would have a free slot after `depth_per_slot` mean service times.
    ///
    /// It takes `ratio` mean service times itself, so waiting for another target is better until
    /// the queue is as long as that. Without an occasional start its recovery would not be noticed.
    pub(crate) fn is_worth_starting(&self, depth_per_slot: f64, now: Duration) -> bool {
        self.last_resort_probe
            .is_none_or(|probe| depth_per_slot + 1.0 >= self.ratio || now >= probe)
    }

    /// Postpones the next probe after a start.
    pub(crate) fn started(&mut self, time: Duration, now: Duration) {
        if let Some(probe) = self.last_resort_probe.as_mut().filter(|t| now >= **t) {
            *probe = now + time;
        }
    }

    /// Returns the factor of its cost in placement.
    pub(crate) fn cost_factor(&self) -> f64 {
        if self.ratio > NOISE_RATIO {
            self.ratio
        } else {
            1.0
        }
    }

    pub(crate) fn allowed(&self, slots: u32, now: Duration) -> u32 {
        if self.is_down(now) {
            return 0;
        }
        match self.ejected {
            Some(e) if now < e.probe_at => 0,
            Some(_) => 1,
            None => slots,
        }
    }

    pub(crate) fn next_change(&self, now: Duration) -> Option<Duration> {
        let returns_at = self.ejected.map(|e| e.probe_at);
        [Some(self.down_until), returns_at, self.last_resort_probe]
            .into_iter()
            .flatten()
            .filter(|t| *t > now)
            .min()
    }
}
