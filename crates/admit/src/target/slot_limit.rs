//! What reports, cold caches and refusals hold back of a target's slots.

use std::time::Duration;

use crate::{LoadReport, PoolConfig};

/// How long a target's word that it leaves holds, should its later reports be lost.
const LEAVE_LIFE: Duration = Duration::from_secs(60);

/// A word that it does not leave counts only this long after the last word that it does: reports
/// overtake each other by a lag of a second or two.
const LEAVE_LAG: Duration = Duration::from_secs(5);

/// A report of cold caches starts a ramp at most this often, so that a target whose every report
/// says cold is held back a part of the time only.
const COLD_EVERY: Duration = Duration::from_secs(60);

/// A report's `busy` is compared with the most that the pool itself had running in the last one to
/// two of these: the report may describe a moment that long ago.
const LAG: Duration = Duration::from_secs(1);

/// After a report has held slots back and nothing bore it out, the target's reports hold nothing
/// back for this long. A target that always claims to be full costs half its slots for one part in
/// eleven of the time, at a `report_life` of 1 s.
const DOUBT: Duration = Duration::from_secs(10);

/// How long a refusal by the target caps what it is given.
const SHED_LIFE: Duration = Duration::from_secs(1);

/// A cap that ends by itself.
#[derive(Clone, Copy, Debug, Default)]
struct Cap {
    slots: u32,
    until: Duration,
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
    doubt: Duration,
    /// Most runs in the present and in the previous span of [`LAG`].
    peaks: [u32; 2],
    span: Duration,
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
        self.leaving.is_some_and(|at| now < at + LEAVE_LIFE)
    }

    /// Notes how many runs there are after a start.
    pub(crate) fn note(&mut self, busy: u32, now: Duration) {
        self.roll(busy, now);
        self.peaks[0] = self.peaks[0].max(busy);
    }

    fn roll(&mut self, busy: u32, now: Duration) {
        let age = now.saturating_sub(self.span);
        if age < LAG {
            return;
        }
        self.peaks = if age < 2 * LAG {
            [busy, self.peaks[0]]
        } else {
            [busy, busy]
        };
        self.span = now;
    }

    /// The target turned a request away while it ran `busy` others.
    pub(crate) fn shed(&mut self, busy: u32, now: Duration) {
        // It is as full as its reports may have said.
        self.doubt = now;
        self.shed = Cap {
            slots: busy.max(1),
            until: now + SHED_LIFE,
        };
    }

    /// Takes a report; true if it says for the first time in a while that the caches are cold.
    pub(crate) fn report(
        &mut self,
        report: LoadReport,
        slots: u32,
        busy: u32,
        rules: &PoolConfig,
        now: Duration,
    ) -> bool {
        match self.leaving {
            _ if report.leaving => self.leaving = Some(now),
            Some(at) if now >= at + LEAVE_LAG => {
                self.leaving = None;
                self.ramp = Some(now);
            }
            _ => {}
        }
        let cold = report.cold && now >= self.cold_after;
        if cold {
            self.ramp = Some(now);
            self.cold_after = now + COLD_EVERY.max(2 * rules.ramp);
        }
        self.roll(busy, now);
        let known = self.peaks[0].max(self.peaks[1]).max(busy);
        let others = report.busy.saturating_sub(known);
        let told = if report.slots == 0 {
            slots
        } else {
            report.slots.min(slots)
        };
        let free = told.saturating_sub(others);
        if free < slots && now >= self.doubt {
            self.doubt = now + rules.report_life + DOUBT;
            self.reported = Cap {
                slots: free.max(slots.div_ceil(2)),
                until: now + rules.report_life,
            };
        }
        cold
    }

    /// Slots that may be used at `now`; at least one, as none of these caps means that the target
    /// is out of use.
    pub(crate) fn allowed(&self, slots: u32, rules: &PoolConfig, now: Duration) -> u32 {
        let mut n = slots;
        for cap in [self.reported, self.shed] {
            if now < cap.until {
                n = n.min(cap.slots);
            }
        }
        if let Some(at) = self.ramp {
            n = n.min(ramped(slots, now.saturating_sub(at), rules.ramp));
        }
        n.max(1).min(slots)
    }

    pub(crate) fn changes(
        &self,
        slots: u32,
        rules: &PoolConfig,
        now: Duration,
    ) -> Option<Duration> {
        let ends = [self.reported.until, self.shed.until].into_iter();
        let left = self.leaving.map(|at| at + LEAVE_LIFE);
        let step = self.ramp.map(|at| {
            let n = ramped(slots, now.saturating_sub(at), rules.ramp);
            at + rules.ramp * n / slots.max(1)
        });
        ends.chain(left).chain(step).filter(|t| *t > now).min()
    }
}

/// Slots after a part of the ramp: one at once, all at its end, in equal steps.
fn ramped(slots: u32, age: Duration, ramp: Duration) -> u32 {
    if age >= ramp {
        return slots;
    }
    let part = age.as_secs_f64() / ramp.as_secs_f64();
    ((f64::from(slots) * part + 1e-9) as u32 + 1).min(slots)
}
