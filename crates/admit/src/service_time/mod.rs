//! Service times by kind of request, in a table of bounded size.
//!
//! A service's kinds of request may differ in service time by orders of magnitude and change during
//! the day. Without an estimate for each kind, admission would judge a calendar page by the time of
//! a nightly summary, and refuse pages or admit summaries that cannot be answered in time.
//!
//! The table holds [`MAX_KINDS`] kinds. Further kinds share one estimate, so that a caller that
//! makes up kinds can neither grow the table nor evict the real ones; a kind that is not used for
//! [`IDLE_TIME`] may be evicted.

use std::{collections::BTreeMap, time::Duration};

/// Maximum number of kinds. A service has tens of paths; 256 is ample, and takes 16 KB.
pub(crate) const MAX_KINDS: usize = 256;

/// Time without use after which a kind may be evicted.
pub(crate) const IDLE_TIME: Duration = Duration::from_secs(600);

/// Weight of a new sample in the mean and the deviation, as for round-trip times in TCP.
const EWMA_WEIGHT: f64 = 0.125;

/// Step of the running 95th percentile, as a fraction of its value. It rises by 0.95 of a step or
/// falls by 0.05 of it, which balances where one sample in twenty is above.
const P95_STEP: f64 = 0.05;

/// Deviations above the mean that count as the longest time to expect. For exponential times that
/// is the 98th percentile, for narrower distributions beyond the 99th.
const TAIL_DEVIATIONS: f64 = 4.0;

/// Samples after which a kind's estimate may count against a target.
const MIN_SAMPLES: u32 = 16;

/// Class of a request: the slots are divided between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    Short,
    Long,
}

/// Expected service time of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Mean service time.
    pub(crate) mean: Duration,
    /// Service time that only one or two in a hundred exceed.
    pub(crate) tail: Duration,
    /// 95th percentile of the service time.
    pub(crate) p95: Duration,
    /// Whether there are enough samples to judge a target by. Without this, a pool that has just
    /// been opened would attribute the first long requests to slow targets, and eject them.
    pub(crate) known: bool,
}

/// Service times of one kind, in seconds.
#[derive(Clone, Copy, Debug)]
struct Kind {
    mean: f64,
    /// Mean absolute deviation.
    deviation: f64,
    p95: f64,
    samples: u32,
    last_used: Duration,
}

impl Kind {
    fn initial_estimate(mean: Duration, now: Duration) -> Self {
        let mean = mean.as_secs_f64();
        Self {
            mean,
            deviation: mean / 2.0,
            p95: 3.0 * mean,
            samples: 0,
            last_used: now,
        }
    }

    fn record(&mut self, time: f64) {
        if self.samples == 0 {
            *self = Self {
                mean: time,
                deviation: time / 2.0,
                p95: 3.0 * time,
                samples: 1,
                ..*self
            };
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let difference = time - self.mean;
        self.mean += EWMA_WEIGHT * difference;
        self.deviation += EWMA_WEIGHT * (difference.abs() - self.deviation);
        self.p95 *= if time > self.p95 {
            1.0 + P95_STEP * 0.95
        } else {
            1.0 - P95_STEP * 0.05
        };
    }

    fn estimate(&self) -> Estimate {
        Estimate {
            mean: Duration::from_secs_f64(self.mean),
            tail: Duration::from_secs_f64(self.mean + TAIL_DEVIATIONS * self.deviation),
            p95: Duration::from_secs_f64(self.p95.max(self.mean)),
            known: self.samples >= MIN_SAMPLES,
        }
    }
}

/// Service times of the kinds that a pool has run.
///
/// Invariant: at most [`MAX_KINDS`] kinds.
#[derive(Debug)]
pub(crate) struct Kinds {
    initial_estimate: Duration,
    kinds: BTreeMap<u64, Kind>,
    /// Shared by the kinds that are not in the table.
    shared: Kind,
}

impl Kinds {
    pub(crate) fn open(initial_estimate: Duration) -> Self {
        Self {
            initial_estimate,
            kinds: BTreeMap::new(),
            shared: Kind::initial_estimate(initial_estimate, Duration::ZERO),
        }
    }

    pub(crate) fn estimate(&self, kind: u64) -> Estimate {
        self.kinds.get(&kind).unwrap_or(&self.shared).estimate()
    }

    /// Records the service time of a successful run.
    pub(crate) fn record(&mut self, kind: u64, time: Duration, now: Duration) {
        let time = time.as_secs_f64().max(1e-6);
        if let Some(k) = self.kinds.get_mut(&kind) {
            k.last_used = now;
            k.record(time);
            return;
        }
        if self.kinds.len() >= MAX_KINDS {
            self.kinds
                .retain(|_, k| now.saturating_sub(k.last_used) < IDLE_TIME);
        }
        if self.kinds.len() >= MAX_KINDS {
            self.shared.record(time);
            return;
        }
        let mut k = Kind::initial_estimate(self.initial_estimate, now);
        k.record(time);
        self.kinds.insert(kind, k);
    }

    pub(crate) fn len(&self) -> usize {
        self.kinds.len()
    }
}
