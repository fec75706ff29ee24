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
const GAIN: f64 = 0.1;

/// Samples before a target is judged.
const SAMPLES: u32 = 4;

/// Runs that fail one after the other before a target counts as slow.
const FAILS: u32 = 5;

/// Probes that have to succeed, one at a time, before an ejected target returns.
const PROBES: u32 = 3;

/// Longest time between probes.
const EJECT_MAX: Duration = Duration::from_secs(60);

/// Ejections further apart than this do not count as in a row.
const FORGET: Duration = Duration::from_secs(300);

/// Rest of a target that died, doubled with each death in a row: a process restarts in about that.
const REST: Duration = Duration::from_millis(500);

/// Longest rest of a target that dies again and again.
const REST_MAX: Duration = Duration::from_secs(8);

/// A ratio below this is scatter and does not count in placement.
const SCATTER: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejected {
    until: Duration,
    /// Probes that succeeded in a row.
    good: u32,
}

/// What a target's runs say about it.
#[derive(Debug)]
pub(crate) struct Health {
    /// Measured by expected time, smoothed; 1 is as expected.
    pub(crate) ratio: f64,
    samples: u32,
    fails: u32,
    ejected: Option<Ejected>,
    /// Ejections in a row, which double the time to the next probe.
    times: u32,
    last: Duration,
    down: Duration,
    deaths: u32,
    /// It is slow, but no more may be ejected: when it is probed next.
    spared: Option<Duration>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            samples: 0,
            fails: 0,
            ejected: None,
            times: 0,
            last: Duration::ZERO,
            down: Duration::ZERO,
            deaths: 0,
            spared: None,
        }
    }
}

impl Health {
    pub(crate) fn ejected(&self) -> bool {
        self.ejected.is_some()
    }

    pub(crate) fn down(&self, now: Duration) -> bool {
        now < self.down
    }

    /// It is ejected, and what it gets now is a probe.
    pub(crate) fn probes(&self) -> bool {
        self.ejected.is_some()
    }

    /// Takes a measured time as a ratio to the expected one. A run that goes on is a lower bound,
    /// which can only speak against the target.
    pub(crate) fn sample(&mut self, ratio: f64, ended: bool) {
        if !ended && ratio < self.ratio {
            return;
        }
        // One wild sample must not outweigh many good ones.
        self.ratio += GAIN * (ratio.min(20.0) - self.ratio);
        self.samples += u32::from(ended);
    }

    pub(crate) fn good(&mut self) {
        self.fails = 0;
        self.deaths = 0;
    }

    pub(crate) fn failed(&mut self) {
        self.fails += 1;
    }

    /// The process died, or turned work away although it ran nothing.
    pub(crate) fn rest(&mut self, now: Duration) -> Duration {
        let rest = (REST * 2_u32.pow(self.deaths.min(8))).min(REST_MAX);
        self.deaths += 1;
        self.down = now + rest;
        self.down
    }

    /// It is slow or fails, while `norm` is the usual ratio among the pool's targets.
    pub(crate) fn bad(&self, slow: f64, norm: f64) -> bool {
        let judged = self.samples >= SAMPLES || self.ratio > 2.0 * slow;
        self.fails >= FAILS || (judged && self.ratio > slow * norm.max(1.0))
    }

    pub(crate) fn eject(&mut self, time: Duration, now: Duration) {
        if now.saturating_sub(self.last) > FORGET {
            self.times = 0;
        }
        self.last = now;
        let time = (time * 2_u32.pow(self.times.min(8))).min(EJECT_MAX.max(time));
        self.times += 1;
        self.spared = None;
        self.ejected = Some(Ejected {
            until: now + time,
            good: 0,
        });
    }

    /// The outcome of a probe; true if the target is to return.
    pub(crate) fn probed(&mut self, good: bool, time: Duration, now: Duration) -> bool {
        let Some(e) = self.ejected.as_mut() else {
            return false;
        };
        if !good {
            self.eject(time, now);
            return false;
        }
        e.good += 1;
        if e.good < PROBES {
            return false;
        }
        self.restore();
        true
    }

    /// Takes the target back, with a clean record.
    pub(crate) fn restore(&mut self) {
        self.ejected = None;
        self.spared = None;
        self.ratio = 1.0;
        self.samples = 0;
        self.fails = 0;
    }

    /// Keeps a slow target that may not be ejected as a last resort, probed like an ejected one.
    pub(crate) fn spare(&mut self, time: Duration, now: Duration) {
        if self.spared.is_none() {
            self.spared = Some(now + time);
        }
    }

    /// It is a last resort.
    pub(crate) fn spared(&self) -> bool {
        self.spared.is_some()
    }

    pub(crate) fn unspare(&mut self) {
        self.spared = None;
    }

    /// Whether a slow target that may not be ejected is worth a start, when the others would have
    /// a free slot after `strain` mean service times.
    ///
    /// It takes `ratio` mean service times itself, so that waiting for another is better until the
    /// queue is as long as that. Without a start now and then nobody would see that it has
    /// recovered.
    pub(crate) fn worth(&self, strain: f64, now: Duration) -> bool {
        self.spared
            .is_none_or(|probe| strain + 1.0 >= self.ratio || now >= probe)
    }

    /// A start was made: the next probe comes later.
    pub(crate) fn started(&mut self, time: Duration, now: Duration) {
        if let Some(probe) = self.spared.as_mut().filter(|t| now >= **t) {
            *probe = now + time;
        }
    }

    /// Scale of its cost in placement.
    pub(crate) fn weight(&self) -> f64 {
        if self.ratio > SCATTER {
            self.ratio
        } else {
            1.0
        }
    }

    pub(crate) fn allowed(&self, slots: u32, now: Duration) -> u32 {
        if self.down(now) {
            return 0;
        }
        match self.ejected {
            Some(e) if now < e.until => 0,
            Some(_) => 1,
            None => slots,
        }
    }

    pub(crate) fn changes(&self, now: Duration) -> Option<Duration> {
        let back = self.ejected.map(|e| e.until);
        [Some(self.down), back, self.spared]
            .into_iter()
            .flatten()
            .filter(|t| *t > now)
            .min()
    }
}
