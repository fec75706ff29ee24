//! Division of the slots between short and long requests.
//!
//! Some services mix calendar pages of milliseconds with nightly summaries of seconds. Without a
//! reservation the summaries take every slot, and each page waits until one of them is done.
//!
//! While both classes wait, each has its share of the slots: `short_share` for short requests.
//! While only long requests wait, slots are kept free for the short requests that are expected from
//! the recent demand ([`DemandMeter`]), never more than their share, and none when no short
//! requests arrive: a fixed reservation would waste its slots whenever there are no short requests.

use std::time::Duration;

use crate::{PoolConfig, service_time::Class};

/// Time constant, in seconds, of the average demand of short requests.
const AVERAGING_TIME: f64 = 5.0;

/// Demand of short requests, in slots, below which nothing is reserved: one slot of nine is too
/// costly for a request every few seconds.
const MIN_DEMAND: f64 = 0.02;

/// Decaying average of the number of slots that a stream of requests needs.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    slots: f64,
    at: Duration,
}

impl DemandMeter {
    /// Records a request whose service time is `work`.
    pub(crate) fn add(&mut self, work: Duration, now: Duration) {
        self.slots = self.read(now) + work.as_secs_f64() / AVERAGING_TIME;
        self.at = now;
    }

    /// Returns the slots needed on average over the last seconds.
    pub(crate) fn read(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.slots * (-age / AVERAGING_TIME).exp()
    }
}

/// Division of the slots between short and long requests at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotShares {
    /// Slots that may be used.
    pub(crate) slots: u32,
    /// Slots guaranteed to short requests while both classes wait.
    pub(crate) share: u32,
    /// Slots that long requests leave free even while no short request waits.
    pub(crate) reserve: u32,
    pub(crate) short_busy: u32,
    pub(crate) long_busy: u32,
}

impl SlotShares {
    /// Divides `slots`, given the average demand of short requests in slots.
    pub(crate) fn divide(slots: u32, config: &PoolConfig, demand: f64, busy: [u32; 2]) -> Self {
        let max_share = slots.saturating_sub(1);
        let share = ((f64::from(slots) * config.short_share).ceil() as u32).min(max_share);
        let reserve = if demand < MIN_DEMAND {
            0
        } else {
            ((demand * config.reserve).ceil() as u32).min(share)
        };
        Self {
            slots,
            share,
            reserve,
            short_busy: busy[0],
            long_busy: busy[1],
        }
    }

    /// Returns whether another long request may start.
    pub(crate) fn long_may_start(&self) -> bool {
        self.long_busy < self.slots - self.reserve
    }

    /// Returns the class that gets the next free slot.
    pub(crate) fn next(&self, short_waits: bool, long_waits: bool) -> Option<Class> {
        let long = long_waits && self.long_may_start();
        match (short_waits, long) {
            (true, true) if self.short_busy < self.share => Some(Class::Short),
            (_, true) => Some(Class::Long),
            (true, false) => Some(Class::Short),
            (false, false) => None,
        }
    }

    /// Returns the number of slots that serve the queue of a class, at least one.
    pub(crate) fn serving(&self, class: Class, other_waits: bool) -> u32 {
        let n = match class {
            Class::Short => self.share.max(self.slots.saturating_sub(self.long_busy)),
            Class::Long if other_waits => self.slots - self.share.max(self.reserve),
            Class::Long => self.slots - self.reserve.max(self.short_busy.min(self.share)),
        };
        n.max(1)
    }
}
