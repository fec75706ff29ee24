//! Room for short work among long.
//!
//! Load: nightly summaries of seconds among calendar pages of milliseconds. Without a reserve the
//! summaries take every slot, and each page waits until one of them is done.
//!
//! While both wait, each has its share of the slots: `short_share` for short work. While only long
//! work waits, slots are kept free for the short work that is to be expected from what came
//! lately ([`Meter`]), never more than its share, and none when no short work comes: a fixed
//! reserve would waste its share whenever there is no short work.

use std::time::Duration;

use crate::{PoolConfig, service_time::Class};

/// Time over which short work is averaged.
const AVERAGING_TIME: f64 = 5.0;

/// Below this many slots of short work on average nothing is reserved: one slot of nine is too
/// dear for a request every few seconds.
const MIN_DEMAND: f64 = 0.02;

/// Average number of slots that a stream of work needs.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    slots: f64,
    at: Duration,
}

impl DemandMeter {
    /// Notes a request that will take `work`.
    pub(crate) fn add(&mut self, work: Duration, now: Duration) {
        self.slots = self.read(now) + work.as_secs_f64() / AVERAGING_TIME;
        self.at = now;
    }

    /// Slots needed on average over the last seconds.
    pub(crate) fn read(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.slots * (-age / AVERAGING_TIME).exp()
    }
}

/// Slots as they are divided between short and long work at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotShares {
    /// Slots that may be used.
    pub(crate) slots: u32,
    /// Slots that short work is sure of while both classes wait.
    pub(crate) share: u32,
    /// Slots that long work leaves free although no short work waits.
    pub(crate) reserve: u32,
    pub(crate) short_busy: u32,
    pub(crate) long_busy: u32,
}

impl SlotShares {
    /// Divides `slots`, given the average need of short work.
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

    /// Long work may take another slot.
    pub(crate) fn long_may_start(&self) -> bool {
        self.long_busy < self.slots - self.reserve
    }

    /// The class that the next free slot goes to.
    pub(crate) fn next(&self, short_waits: bool, long_waits: bool) -> Option<Class> {
        let long = long_waits && self.long_may_start();
        match (short_waits, long) {
            (true, true) if self.short_busy < self.share => Some(Class::Short),
            (_, true) => Some(Class::Long),
            (true, false) => Some(Class::Short),
            (false, false) => None,
        }
    }

    /// Slots that serve the queue of a class, at least one.
    pub(crate) fn serving(&self, class: Class, other_waits: bool) -> u32 {
        let n = match class {
            Class::Short => self.share.max(self.slots.saturating_sub(self.long_busy)),
            Class::Long if other_waits => self.slots - self.share.max(self.reserve),
            Class::Long => self.slots - self.reserve.max(self.short_busy.min(self.share)),
        };
        n.max(1)
    }
}
