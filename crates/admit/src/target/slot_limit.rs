//! Limits on a target's slots after load reports, cold starts and shed requests.

use std::time::Duration;

use crate::{LoadReport, PoolConfig};

/// Time for which a report that the target is leaving holds if its later reports are lost.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Time after the last report that the target is leaving, before a report that it is not counts:
/// reports overtake each other by a second or two.
const LEAVING_MIN_AGE: Duration = Duration::from_secs(5);

/// Minimum interval between slow starts caused by reports of cold caches, so that a target whose
/// every report says cold is limited only part of the time.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// A report's `busy` is compared with the peak of the pool's own runs in the last one to two of
/// these windows: the report may describe a moment that long ago.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a target's reports are ignored after one of them lowered the limit and was not
/// confirmed. A target that always claims to be full costs half its slots for one eleventh of the
/// time, at a `report_ttl` of 1 s.
const DISTRUST_TIME: Duration = Duration::from_secs(10);

/// Time for which a shed request limits the target's slots.
const SHED_TTL: Duration = Duration::from_secs(1);

/// A limit that expires.
#[derive(Clone, Copy, Debug, Default)]
struct Cap {
    slots: u32,
    expires_at: Duration,
}

/// Limits on one target's slots.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// When its slow start began.
    ramp: Option<Duration>,
    /// Reports of cold caches are ignored before this time.
    cold_after: Duration,
    leaving: Option<Duration>,
    reported: Cap,
    shed: Cap,
    /// Load reports do not lower the limit before this time.
    distrust_until: Duration,
    /// Peak number of runs in the present and in the previous [`PEAK_WINDOW`].
    peaks: [u32; 2],
    window_start: Duration,
}

impl Limits {
    pub(crate) fn ramp(&mut self, now: Duration) {
        self.ramp = Some(now);
    }

    /// Returns whether its slow start is still in progress.
    pub(crate) fn ramping(&self, ramp: Duration, now: Duration) -> bool {
        self.ramp.is_some_and(|at| now < at + ramp)
    }

    pub(crate) fn leaving(&self, now: Duration) -> bool {
        self.leaving.is_some_and(|at| now < at + LEAVING_TTL)
    }

    /// Records the number of runs after a start.
    pub(crate) fn record_busy(&mut self, busy: u32, now: Duration) {
        self.roll_window(busy, now);
        self.peaks[0] = self.peaks[0].max(busy);
    }

    fn roll_window(&mut self, busy: u32, now: Duration) {
        let age = now.saturating_sub(self.window_start);
        if age < PEAK_WINDOW {
            return;
        }
        self.peaks = if age < 2 * PEAK_WINDOW {
            [busy, self.peaks[0]]
        } else {
            [busy, busy]
        };
        self.window_start = now;
    }

    /// Records that the target shed a request while it ran `busy` others.
    pub(crate) fn shed(&mut self, busy: u32, now: Duration) {
        // The target is as full as its reports may have said.
        self.distrust_until = now;
        self.shed = Cap {
            slots: busy.max(1),
            expires_at: now + SHED_TTL,
        };
    }

    /// Applies a report; returns true if it says that the caches are cold, for the first time in a
    /// while.
    pub(crate) fn report(
        &mut self,
        report: LoadReport,
        slots: u32,
        busy: u32,
        config: &PoolConfig,
        now: Duration,
    ) -> bool {
        match self.leaving {
            _ if report.leaving => self.leaving = Some(now),
            Some(at) if now >= at + LEAVING_MIN_AGE => {
                self.leaving = None;
                self.ramp = Some(now);
            }
            _ => {}
        }
        let cold = report.cold && now >= self.cold_after;
        if cold {
            self.ramp = Some(now);
            self.cold_after = now + COLD_REPORT_INTERVAL.max(2 * config.ramp_time);
        }
        self.roll_window(busy, now);
        let known = self.peaks[0].max(self.peaks[1]).max(busy);
        let others = report.busy.saturating_sub(known);
        let reported_slots = if report.slots == 0 {
            slots
        } else {
            report.slots.min(slots)
        };
        let free = reported_slots.saturating_sub(others);
        if free < slots && now >= self.distrust_until {
            self.distrust_until = now + config.report_ttl + DISTRUST_TIME;
            self.reported = Cap {
                slots: free.max(slots.div_ceil(2)),
                expires_at: now + config.report_ttl,
            };
        }
        cold
    }

    /// Returns the slots that may be used at `now`; at least one, because none of these limits
    /// means that the target is out of use.
    pub(crate) fn allowed(&self, slots: u32, config: &PoolConfig, now: Duration) -> u32 {
        let mut n = slots;
        for cap in [self.reported, self.shed] {
            if now < cap.expires_at {
                n = n.min(cap.slots);
            }
        }
        if let Some(at) = self.ramp {
            n = n.min(ramped_slots(
                slots,
                now.saturating_sub(at),
                config.ramp_time,
            ));
        }
        n.max(1).min(slots)
    }

    pub(crate) fn next_change(
        &self,
        slots: u32,
        config: &PoolConfig,
        now: Duration,
    ) -> Option<Duration> {
        let expirations = [self.reported.expires_at, self.shed.expires_at].into_iter();
        let leaving_until = self.leaving.map(|at| at + LEAVING_TTL);
        let next_step = self.ramp.map(|at| {
            let n = ramped_slots(slots, now.saturating_sub(at), config.ramp_time);
            at + config.ramp_time * n / slots.max(1)
        });
        expirations
            .chain(leaving_until)
            .chain(next_step)
            .filter(|t| *t > now)
            .min()
    }
}

/// Returns the slots after a fraction of the slow start: one at first, all at its end, in equal
/// steps.
fn ramped_slots(slots: u32, age: Duration, ramp: Duration) -> u32 {
    if age >= ramp {
        return slots;
    }
    let part = age.as_secs_f64() / ramp.as_secs_f64();
    ((f64::from(slots) * part + 1e-9) as u32 + 1).min(slots)
}
