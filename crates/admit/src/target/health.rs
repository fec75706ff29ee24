//! Ejection of slow targets, and rest for dead ones.
//!
//! Load: one target is ten times slower than the others. It holds its slots ten times as long, and
//! every request that it gets misses what the others would have made. Without ejection a share of
//! the requests stays slow for good; without a limit on ejections, a fault that all targets share
//! (a slow database) would empty the pool.

use std::time::Duration;

/// Weight of a sample in the ratio of measured to expected time. With 0.25 a run of long requests
/// had a healthy target ejected every few hundred thousand, which cost a third of a pool for
/// seconds; with 0.1 a target 10 times slower is still found within its first runs, since each of
/// them gives several samples while it lasts.
const EWMA_WEIGHT: f64 = 0.1;

/// Samples before a target is judged.
const MIN_SAMPLES: u32 = 4;

/// Runs that fail one after the other before a target counts as slow.
const MAX_FAILURES: u32 = 5;

/// Probes that have to succeed, one at a time, before an ejected target returns.
const PROBES_TO_RESTORE: u32 = 3;

/// Longest time between probes.
const MAX_EJECT_TIME: Duration = Duration::from_secs(60);

/// Ejections further apart than this do not count as in a row.
const EJECTION_MEMORY: Duration = Duration::from_secs(300);

/// Rest of a target that died, doubled with each death in a row: a process restarts in about that.
const CRASH_BACKOFF: Duration = Duration::from_millis(500);

/// Longest rest of a target that dies again and again.
const MAX_CRASH_BACKOFF: Duration = Duration::from_secs(8);

/// A ratio below this is scatter and does not count in placement.
const NOISE_RATIO: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejected {
    probe_at: Duration,
    /// Probes that succeeded in a row.
    successes: u32,
}

/// What a target's runs say about it.
#[derive(Debug)]
pub(crate) struct Health {
    /// Measured by expected time, smoothed; 1 is as expected.
    pub(crate) ratio: f64,
    samples: u32,
    failures: u32,
    ejected: Option<Ejected>,
    /// Ejections in a row, which double the time to the next probe.
    ejections: u32,
    last_ejection: Duration,
    down_until: Duration,
    crashes: u32,
    /// It is slow, but no more may be ejected: when it is probed next.
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

    /// It is ejected, and what it gets now is a probe.
    pub(crate) fn is_probe(&self) -> bool {
        self.ejected.is_some()
    }

    /// Takes a measured time as a ratio to the expected one. A run that goes on is a lower bound,
    /// which can only speak against the target.
    pub(crate) fn record(&mut self, ratio: f64, ended: bool) {
        if !ended && ratio < self.ratio {
            return;
        }
        // One wild sample must not outweigh many good ones.
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

    /// The process died, or turned work away although it ran nothing.
    pub(crate) fn back_off(&mut self, now: Duration) -> Duration {
        let back_off = (CRASH_BACKOFF * 2_u32.pow(self.crashes.min(8))).min(MAX_CRASH_BACKOFF);
        self.crashes += 1;
        self.down_until = now + back_off;
        self.down_until
    }

    /// It is slow or fails, while `norm` is the usual ratio among the pool's targets.
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

    /// The outcome of a probe; true if the target is to return.
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

    /// Takes the target back, with a clean record.
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

    /// It is a last resort.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.last_resort_probe.is_some()
    }

    pub(crate) fn clear_last_resort(&mut self) {
        self.last_resort_probe = None;
    }

    /// Whether a slow target that may not be ejected is worth a start, when the others would have
    /// a free slot after `strain` mean service times.
    ///
    /// It takes `ratio` mean service times itself, so that waiting for another is better until the
    /// queue is as long as that. Without a start now and then nobody would see that it has
    /// recovered.
    pub(crate) fn is_worth_starting(&self, depth_per_slot: f64, now: Duration) -> bool {
        self.last_resort_probe
            .is_none_or(|probe| depth_per_slot + 1.0 >= self.ratio || now >= probe)
    }

    /// A start was made: the next probe comes later.
    pub(crate) fn started(&mut self, time: Duration, now: Duration) {
        if let Some(probe) = self.last_resort_probe.as_mut().filter(|t| now >= **t) {
            *probe = now + time;
        }
    }

    /// Scale of its cost in placement.
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
        let back = self.ejected.map(|e| e.probe_at);
        [Some(self.down_until), back, self.last_resort_probe]
            .into_iter()
            .flatten()
            .filter(|t| *t > now)
            .min()
    }
}
