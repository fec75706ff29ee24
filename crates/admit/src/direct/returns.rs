//! When refused callers come back.
//!
//! If all are told the same time, they come back together, compete with new requests and with each
//! other, and are refused again. So each return is booked: together they ask for no more than a part
//! of the room that is expected by then, going by the rate at which this host's requests are being
//! served.

use std::{collections::BTreeMap, time::Duration};

use super::entry::Decaying;

/// Length of the slots in which returns are booked.
const SLOT: Duration = Duration::from_millis(50);

/// Time over which the rate of served requests is measured.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Fraction of the rate that is booked. The rest is for new requests, who are in time more often.
const BOOKED_FRACTION: f64 = 0.5;

/// Returns a second for which room is not short: spread enough that a host's callers do not come back
/// in one moment, and soon enough to be in time.
const SPREAD_RATE: f64 = 200.0;

/// One return in so many is kept for the most urgent of those that come back.
const URGENT_INTERVAL: u64 = 4;

/// How far ahead returns are booked: a third of the longest time that callers wait for an answer.
const HORIZON: Duration = Duration::from_secs(4);

/// Slots for which booked room is kept after its time: a connection, and a few requests on the way.
const KEPT_SLOTS: u64 = 3;

/// When a refused caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Time until then.
    pub after: Duration,
    /// Whether room is expected and kept then. If not, none is free in the time that the caller can
    /// wait, and `after` is longer than that.
    pub is_booked: bool,
}

/// A refusal for which a return may be booked.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Time before which coming back is of no use.
    pub earliest: Duration,
    /// Longest time for which the caller can wait before it comes back.
    pub patience: Duration,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Whether it was refused for want of room. After a failure, a later return is no better.
    pub is_short: bool,
}

/// Returns that are booked at one host, for one service or one workspace.
///
/// Invariant: a slot holds at most as many returns as the rate at the time of booking allows it, so
/// there are at most a horizon's worth of the highest rate.
#[derive(Clone, Debug)]
pub struct ReturnBook {
    /// Returns expected without any served request, a second.
    floor: f64,
    /// Offset of the moments of this host's returns, as a part of the interval between two.
    phase: f64,
    served: Decaying,
    /// Booked returns by number of the slot and priority.
    slots: BTreeMap<u64, BTreeMap<u8, u32>>,
}

impl ReturnBook {
    /// Opens a book without returns. `floor` is the rate, in returns a second, at which callers are
    /// asked back by a host that has served none: it must not send them away for long, nor back all
    /// at once. `phase`, from 0 to 1, differs between hosts, which would otherwise ask their callers
    /// back at the same moments.
    pub fn open(floor: f64, phase: f64) -> ReturnBook {
        ReturnBook {
            floor,
            phase,
            served: Decaying::default(),
            slots: BTreeMap::new(),
        }
    }

    /// Records a request that got the room.
    pub fn record_served(&mut self, now: Duration) {
        self.served.add(1.0, RATE_TIME, now);
    }

    /// Books the return of a refused caller in the first slot that has room.
    pub fn book(&mut self, refusal: &Refusal, now: Duration) -> Return {
        self.forget_past(now);
        let served = self.served.value(RATE_TIME, now) / RATE_TIME.as_secs_f64();
        let floor = match refusal.is_short {
            true => self.floor,
            false => SPREAD_RATE,
        };
        let rate = (served * BOOKED_FRACTION).max(floor);
        let first = slot_of(now.saturating_add(refusal.earliest)).saturating_add(1);
        let last = slot_of(now.saturating_add(HORIZON.max(refusal.earliest)));
        let is_most_urgent = self.is_most_urgent(refusal.priority);
        let is_free = |slot: &u64| {
            let booked = self.slots.get(slot).into_iter().flat_map(BTreeMap::values);
            u64::from(booked.sum::<u32>()) < self.capacity(*slot, rate, is_most_urgent)
        };
        let slot = (first..=last)
            .find(is_free)
            .unwrap_or(last.saturating_add(1));
        let after = start_of(slot).saturating_sub(now);
        let is_booked = slot <= last && after <= refusal.patience;
        if is_booked {
            let booked = self.slots.entry(slot).or_default();
            *booked.entry(refusal.priority).or_default() += 1;
        }
        Return { after, is_booked }
    }

    /// Returns for how many callers more urgent than `priority`, who are to come back about now,
    /// room is kept.
    pub fn kept(&self, priority: u8, now: Duration) -> u32 {
        let due = self.slots.range(due_slots(now));
        due.flat_map(|(_, booked)| booked.range(..priority))
            .map(|(_, count)| count)
            .sum()
    }

    /// Gives the room that is kept for a caller of this priority to a request that is let in. Who
    /// comes back cannot be told from others: it mostly was refused by another host.
    pub fn claim(&mut self, priority: u8, now: Duration) {
        let due = self.slots.range_mut(due_slots(now));
        let mut kept = due.filter_map(|(_, booked)| booked.get_mut(&priority));
        if let Some(count) = kept.find(|count| **count > 0) {
            *count -= 1;
        }
    }

    /// Returns how many returns a slot may have: the whole returns that the rate adds up to in it.
    fn capacity(&self, slot: u64, rate: f64, is_most_urgent: bool) -> u64 {
        let until = |slot: u64| (slot as f64 * rate * SLOT.as_secs_f64() + self.phase) as u64;
        let (start, end) = (until(slot), until(slot + 1));
        match is_most_urgent {
            true => end - start,
            false => (start..end).filter(|n| n % URGENT_INTERVAL != 0).count() as u64,
        }
    }

    /// Whether no more urgent return is booked.
    fn is_most_urgent(&self, priority: u8) -> bool {
        let mut booked = self.slots.values().flat_map(BTreeMap::keys);
        booked.all(|other| *other >= priority)
    }

    /// Removes the slots whose returns came or gave up their room.
    fn forget_past(&mut self, now: Duration) {
        let first = *due_slots(now).start();
        while self
            .slots
            .first_key_value()
            .is_some_and(|(slot, _)| *slot < first)
        {
            self.slots.pop_first();
        }
    }
}

/// Returns the slots whose returns are on their way.
fn due_slots(now: Duration) -> std::ops::RangeInclusive<u64> {
    let slot = slot_of(now);
    slot.saturating_sub(KEPT_SLOTS)..=slot
}

fn slot_of(time: Duration) -> u64 {
    u64::try_from(time.as_micros() / SLOT.as_micros()).unwrap_or(u64::MAX)
}

fn start_of(slot: u64) -> Duration {
    Duration::from_micros(slot.saturating_mul(SLOT.as_micros() as u64))
}
