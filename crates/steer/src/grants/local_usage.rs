//! What a host measures of its own targets.

use std::{collections::VecDeque, time::Duration};

use super::{PEAK_WINDOW, window_max::WindowMax};

/// Capacity of one service's targets that a host owns, and its use by work that needs no grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalUsage {
    /// Slots of its targets that are well and not drained.
    pub slots: f64,
    /// Slots in use, on average since the last measurement, by callers of its own region.
    pub busy: f64,
    /// Requests a second that this host itself sends to its region's targets for such callers. By
    /// this count use cannot be less than `rate` times `work`, whatever `busy` says.
    pub rate: f64,
    /// Mean time that a request takes up a slot.
    pub service_time: Duration,
}

impl LocalUsage {
    /// Slots in use: what is reported or what the host's own count comes to, whichever is more.
    fn used(&self) -> f64 {
        self.busy.max(self.rate * self.service_time.as_secs_f64())
    }
}

/// The measurements of the last while.
#[derive(Clone, Debug)]
pub(super) struct UsageHistory {
    last: LocalUsage,
    /// When it was taken.
    pub(super) at: Duration,
    /// Use, with its time; oldest first, falling: a use that a later one exceeds says nothing.
    peaks: VecDeque<(Duration, f64)>,
    /// Slots, below 0, so that the least of late counts: those that are new to this host may be
    /// lent out by the host that had them before, for the lifetime of a grant.
    min_slots: WindowMax,
}

impl UsageHistory {
    pub(super) fn open(usage: LocalUsage, now: Duration) -> Self {
        let mut min_slots = WindowMax::default();
        min_slots.add(-usage.slots, now);
        Self {
            last: usage,
            at: now,
            peaks: VecDeque::from([(now, usage.used())]),
            min_slots,
        }
    }

    pub(super) fn add(&mut self, usage: LocalUsage, now: Duration) {
        let used = usage.used();
        self.last = usage;
        self.at = now;
        while self.peaks.pop_back_if(|(_, busy)| *busy <= used).is_some() {}
        self.peaks.push_back((now, used));
        while self
            .peaks
            .pop_front_if(|(at, _)| now.saturating_sub(*at) > PEAK_WINDOW)
            .is_some()
        {}
        self.min_slots.add(-usage.slots, now);
    }

    /// Slots that may be lent, while `headroom` of all is left free.
    pub(super) fn available_slots(&self, headroom: f64) -> f64 {
        let peak = self
            .peaks
            .front()
            .map_or(self.last.used(), |(_, busy)| *busy);
        let slots = self.min_slots.get().map_or(self.last.slots, |slots| -slots);
        (slots * (1.0 - headroom) - peak).max(0.0)
    }

    /// Seconds that a request takes up a slot; not less than a microsecond, since a rate is slots
    /// by this.
    pub(super) fn service_seconds(&self) -> f64 {
        self.last.service_time.as_secs_f64().max(1e-6)
    }
}
