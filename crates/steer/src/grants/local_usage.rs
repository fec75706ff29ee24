//! Measurements of a host's own targets.

use std::{collections::VecDeque, time::Duration};

use super::{PEAK_WINDOW, window_max::WindowMax};

/// Capacity of one service's targets that a host owns, and its use by traffic that needs no grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalUsage {
    /// Slots of the healthy, undrained targets.
    pub slots: f64,
    /// Slots in use by callers of the host's own region, on average since the last measurement.
    pub busy: f64,
    /// Requests per second that this host itself sends to its region's targets for such callers.
    /// The usage is at least `rate` times `service_time`, whatever `busy` reports.
    pub rate: f64,
    /// Mean time for which a request occupies a slot.
    pub service_time: Duration,
}

impl LocalUsage {
    /// Returns the slots in use: the larger of the reported value and the one computed from the
    /// host's own request rate.
    fn used(&self) -> f64 {
        self.busy.max(self.rate * self.service_time.as_secs_f64())
    }
}

/// The recent measurements.
#[derive(Clone, Debug)]
pub(super) struct UsageHistory {
    last: LocalUsage,
    /// Time of the last measurement.
    pub(super) at: Duration,
    /// Usage with its time, oldest first and falling: a usage that a later one exceeds does not
    /// matter.
    peaks: VecDeque<(Duration, f64)>,
    /// Negated slots, so that the recent minimum counts: slots that are new to this host may still
    /// be granted by their previous owner for the TTL of a grant.
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

    /// Returns the slots that may be granted while the fraction `headroom` of all slots stays free.
    pub(super) fn available_slots(&self, headroom: f64) -> f64 {
        let peak = self
            .peaks
            .front()
            .map_or(self.last.used(), |(_, busy)| *busy);
        let slots = self.min_slots.get().map_or(self.last.slots, |slots| -slots);
        (slots * (1.0 - headroom) - peak).max(0.0)
    }

    /// Returns the seconds for which a request occupies a slot; at least a microsecond, since rates
    /// are slots divided by this.
    pub(super) fn service_seconds(&self) -> f64 {
        self.last.service_time.as_secs_f64().max(1e-6)
    }
}
