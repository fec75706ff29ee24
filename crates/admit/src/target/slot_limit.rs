//! What reports, cold caches and refusals hold back of a target's slots.

use std::time::Duration;

use crate::{LoadReport, PoolConfig};

/// How long a target's word that it leaves holds, should its later reports be lost.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// A word that it does not leave counts only this long after the last word that it does: reports
/// overtake each other by a lag of a second or two.
const LEAVING_MIN_AGE: Duration = Duration::from_secs(5);

/// A report of cold caches starts a ramp at most this often, so that a target whose every report
/// says cold is held back a part of the time only.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// A report's `busy` is compared with the most that the pool itself had running in the last one to
/// two of these: the report may describe a moment that long ago.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// After a report has held slots back and nothing bore it out, the target's reports hold nothing
/// back for this long. A target that always claims to be full costs half its slots for one part in
/// eleven of the time, at a `report_life` of 1 s.
const DISTRUST_TIME: Duration = Duration::from_secs(10);

/// How long a refusal by the target caps what it is given.
const SHED_TTL: Duration = Duration::from_secs(1);

/// A cap that ends by itself.
#[derive(Clone, Copy, Debug, Default)]
struct Cap {
    slots: u32,
    expires_at: Duration,
}

/// Caps on one target's slots.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// When its slots began to grow from one.
    ramp: Option<Duration>,
    /// A report of cold caches is not believed before then.
    cold_after: Duration,
    leaving: Option<Duration>,
    reported: Cap,
    shed: Cap,
    /// Reports hold nothing back before then.
    distrust_until: Duration,
    /// Most runs in the present and in the previous span of [`LAG`].
    peaks: [u32; 2],
    window_start: Duration,
}

impl Limits {
    pub(crate) fn ramp(&mut self, now: Duration) {
        self.ramp = Some(now);
    }

    /// Its slots are still growing.
    pub(crate) fn ramping(&self, ramp: Duration, now: Duration) -> bool {
        self.ramp.is_some_and(|at| now < at + ramp)
    }

    pub(crate) fn leaving(&self, now: Duration) -> bool {
        self.leaving.is_some_and(|at| now < at + LEAVING_TTL)
    }

    /// Notes how many runs there are after a start.
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

    /// The target turned a request away while it ran `busy` others.
    pub(crate) fn shed(&mut self, busy: u32, now: Duration) {
        // It is as full as its reports may have said.
        self.distrust_until = now;
        self.shed = Cap {
            slots: busy.max(1),
            expires_at: now + SHED_TTL,
        };
    }

    /// Takes a report; true if it says for the first time in a while that the caches are cold.
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

    /// Slots that may be used at `now`; at least one, as none of these caps means that the target
    /// is out of use.
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
        let ends = [self.reported.expires_at, self.shed.expires_at].into_iter();
        let left = self.leaving.map(|at| at + LEAVING_TTL);
        let step = self.ramp.map(|at| {
            let n = ramped_slots(slots, now.saturating_sub(at), config.ramp_time);
            at + config.ramp_time * n / slots.max(1)
        });
        ends.chain(left).chain(step).filter(|t| *t > now).min()
    }
}

/// Slots after a part of the ramp: one at once, all at its end, in equal steps.
fn ramped_slots(slots: u32, age: Duration, ramp: Duration) -> u32 {
    if age >= ramp {
        return slots;
    }
    let part = age.as_secs_f64() / ramp.as_secs_f64();
    ((f64::from(slots) * part + 1e-9) as u32 + 1).min(slots)
}
