//! Placement on the targets of a pool.
//!
//! Loads: a target that is slow, starts cold, leaves, dies, or reports what is not so. The pool
//! counts its own runs exactly; a report can only lower what a target is given, down to half its
//! slots and for a bounded time, so that a false report costs some capacity and never overruns.

mod health;
mod slot_limit;
mod target_set;

pub(crate) use self::target_set::{Finished, PlacementRequest, TargetSet};

use std::{sync::Arc, time::Duration};

use crate::{
    LoadReport, PoolConfig, TargetSpec,
    target::{health::Health, slot_limit::Limits},
};

/// One target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: Arc<str>,
    pub(crate) slots: u32,
    /// Tickets that run on it. Invariant: no longer than `slots` was when each of them started.
    pub(crate) running: Vec<u64>,
    /// It is in the configuration.
    pub(crate) listed: bool,
    /// The configuration says that it leaves.
    pub(crate) draining: bool,
    /// Nothing new starts on it, so that a suspect can run alone.
    pub(crate) isolated: bool,
    /// Slots that may be used now; brought up to date by [`Targets::refresh`].
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

    /// Takes its configuration, if it still has one. One that comes back to the list may be another
    /// process, and starts cold.
    fn configure(&mut self, spec: Option<&TargetSpec>, now: Duration) {
        let back = !self.listed;
        self.listed = spec.is_some();
        let Some(spec) = spec else { return };
        self.slots = spec.slots;
        self.draining = spec.leaving;
        if back {
            self.limits.ramp(now);
        }
    }

    pub(crate) fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// It may be given something now or later.
    pub(crate) fn usable(&self, now: Duration) -> bool {
        self.listed && !self.is_leaving(now)
    }

    pub(crate) fn is_leaving(&self, now: Duration) -> bool {
        self.draining || self.limits.leaving(now)
    }

    fn has_free_slot(&self) -> bool {
        !self.isolated && self.busy() < self.limit
    }

    /// Slots that may be used at `now`.
    fn allowed(&self, config: &PoolConfig, now: Duration) -> u32 {
        if !self.usable(now) {
            return 0;
        }
        let n = self.limits.allowed(self.slots, config, now);
        n.min(self.health.allowed(self.slots, now))
    }

    /// The next time at which `allowed` may change by itself.
    fn next_change(&self, config: &PoolConfig, now: Duration) -> Option<Duration> {
        [
            self.limits.next_change(self.slots, config, now),
            self.health.next_change(now),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// It is slow or fails. A target that warms up is given twice the time.
    fn is_bad(&self, config: &PoolConfig, median_ratio: f64, now: Duration) -> bool {
        let warms = self.limits.ramping(config.ramp_time, now);
        let slow = if warms {
            2.0 * config.eject_ratio
        } else {
            config.eject_ratio
        };
        self.health.is_bad(slow, median_ratio)
    }

    fn take_report(&mut self, report: LoadReport, config: &PoolConfig, now: Duration) {
        let busy = self.busy();
        if self.limits.report(report, self.slots, busy, config, now) {
            // That it was slow has been explained: it warms only if it is given work.
            self.health.restore();
        }
    }

    /// Rank for the next start, least first: the share of its slots in use, scaled by how slow it
    /// has lately been. A probe of an ejected target comes first, as it has to come at all.
    fn cost(&self) -> f64 {
        if self.health.is_probe() {
            return 0.0;
        }
        f64::from(self.busy() + 1) / f64::from(self.limit) * self.health.cost_factor()
    }
}
