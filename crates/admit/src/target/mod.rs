//! Placement on the targets of a pool.
//!
//! Targets may be slow, start cold, leave, crash or send wrong reports. The pool counts its own
//! runs exactly; a report can only lower the number of slots that are used, down to half of them
//! and for a limited time, so a wrong report costs some capacity and never overloads a target.

mod health;
mod slot_limit;
mod target_set;

pub(crate) use self::target_set::{Finished, PlacementRequest, TargetSet};

use std::{sync::Arc, time::Duration};

use crate::{
    LoadReport, PoolConfig, TargetSpec,
    target::{health::Health, slot_limit::Limits},
};

/// A target of the pool.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: Arc<str>,
    pub(crate) slots: u32,
    /// Tickets that run on it. Invariant: no more than `slots` was when each of them started.
    pub(crate) running: Vec<u64>,
    /// Whether it is in the configuration.
    pub(crate) listed: bool,
    /// Whether it is draining by configuration.
    pub(crate) draining: bool,
    /// Whether no new requests start on it, so that a suspect can run alone.
    pub(crate) isolated: bool,
    /// Slots that may be used now; updated by [`TargetSet::refresh`].
    pub(crate) limit: u32,
    pub(crate) health: Health,
    limits: Limits,
}

impl Target {
    fn open(spec: &TargetSpec, now: Duration) -> Self {
        let mut t = Self {
            name: Arc::clone(&spec.name),
            slots: spec.slots,
            running: Vec::new(),
            listed: true,
            draining: spec.leaving,
            isolated: false,
            limit: 0,
            health: Health::default(),
            limits: Limits::default(),
        };
        if spec.cold {
            t.limits.ramp(now);
        }
        t
    }

    /// Applies its configuration, if it still has one. A target that returns to the list may be
    /// another process, so it starts cold.
    fn configure(&mut self, spec: Option<&TargetSpec>, now: Duration) {
        let is_relisted = !self.listed;
        self.listed = spec.is_some();
        let Some(spec) = spec else { return };
        self.slots = spec.slots;
        self.draining = spec.leaving;
        if is_relisted {
            self.limits.ramp(now);
        }
    }

    pub(crate) fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns whether it may get requests now or later.
    pub(crate) fn usable(&self, now: Duration) -> bool {
        self.listed && !self.is_leaving(now)
    }

    pub(crate) fn is_leaving(&self, now: Duration) -> bool {
        self.draining || self.limits.leaving(now)
    }

    fn has_free_slot(&self) -> bool {
        !self.isolated && self.busy() < self.limit
    }

    /// Returns the slots that may be used at `now`.
    fn allowed(&self, config: &PoolConfig, now: Duration) -> u32 {
        if !self.usable(now) {
            return 0;
        }
        let n = self.limits.allowed(self.slots, config, now);
        n.min(self.health.allowed(self.slots, now))
    }

    /// Returns the next time at which `allowed` may change without a call.
    fn next_change(&self, config: &PoolConfig, now: Duration) -> Option<Duration> {
        [
            self.limits.next_change(self.slots, config, now),
            self.health.next_change(now),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns whether it is slow or fails. The limit is doubled while the target is warming up.
    fn is_bad(&self, config: &PoolConfig, median_ratio: f64, now: Duration) -> bool {
        let is_warming_up = self.limits.ramping(config.ramp_time, now);
        let slow = if is_warming_up {
            2.0 * config.eject_ratio
        } else {
            config.eject_ratio
        };
        self.health.is_bad(slow, median_ratio)
    }

    fn take_report(&mut self, report: LoadReport, config: &PoolConfig, now: Duration) {
        let busy = self.busy();
        if self.limits.report(report, self.slots, busy, config, now) {
            // The cold caches explain that it was slow, and it warms up only if it gets requests.
            self.health.restore();
        }
    }

    /// Returns its cost for the next start; the lowest is chosen: the fraction of its slots in use,
    /// scaled by how slow it has recently been. A probe of an ejected target comes first, because
    /// it must be sent at all.
    fn cost(&self) -> f64 {
        if self.health.is_probe() {
            return 0.0;
        }
        f64::from(self.busy() + 1) / f64::from(self.limit) * self.health.cost_factor()
    }
}
