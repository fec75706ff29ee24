//! All targets of a pool.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use crate::{LoadReport, Outcome, PoolConfig, TargetSpec, target::Target};

/// At most one target in this many is ejected. Beyond that the fault is likely to be shared, and
/// the rest of the pool could not carry the load.
const MAX_EJECTED_DIVISOR: usize = 3;

/// The end of a run.
pub(crate) struct Finished {
    pub(crate) target: usize,
    pub(crate) ticket: u64,
    pub(crate) outcome: Outcome,
    /// Ratio of measured to expected time.
    pub(crate) ratio: f64,
}

/// Requirements of a request for its target.
pub(crate) struct PlacementRequest<'a> {
    /// Targets that the request must not be sent to.
    pub(crate) tried: &'a [Arc<str>],
    /// Whether its deadline leaves time for a run on a slow target.
    pub(crate) tolerates_slow: bool,
    /// Mean service times until another slot is expected to be free for the request.
    pub(crate) depth_per_slot: f64,
}

/// The targets, at indexes that do not change while something runs on them.
///
/// Invariants: the limits are those at the time of the last `refresh`; at most a third of the
/// usable targets is ejected at the end of each call.
#[derive(Debug)]
pub(crate) struct TargetSet {
    list: Vec<Target>,
    /// Sum of the limits of the targets that are neither isolated nor a last resort.
    slots: u32,
    /// Usual ratio of measured to expected time: the lower median.
    median_ratio: f64,
    /// Time until which the limits hold.
    next_change: Option<Duration>,
    stale: bool,
}

impl TargetSet {
    pub(crate) fn open(specs: &[TargetSpec], now: Duration) -> Self {
        let list = specs.iter().map(|s| Target::open(s, now)).collect();
        Self {
            list,
            slots: 0,
            median_ratio: 1.0,
            next_change: None,
            stale: true,
        }
    }

    /// Applies another list. New targets start cold; targets that are no longer listed finish their
    /// runs.
    pub(crate) fn reconfigure(&mut self, specs: &[TargetSpec], now: Duration) {
        self.stale = true;
        for t in &mut self.list {
            let spec = specs.iter().find(|s| s.name == t.name);
            t.configure(spec, now);
        }
        // After the loop above, because the index of a target that is still listed must not be
        // given to a new one.
        for spec in specs {
            if !self.list.iter().any(|t| t.name == spec.name) {
                self.add(
                    &TargetSpec {
                        cold: true,
                        ..spec.clone()
                    },
                    now,
                );
            }
        }
    }

    /// Adds a target, at an unused index if there is one, so that the list stays bounded.
    fn add(&mut self, spec: &TargetSpec, now: Duration) {
        let new_target = Target::open(spec, now);
        let is_unused = |t: &&mut Target| !t.listed && t.running.is_empty() && !t.isolated;
        match self.list.iter_mut().find(is_unused) {
            Some(t) => *t = new_target,
            None => self.list.push(new_target),
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.list.iter()
    }

    pub(crate) fn get(&self, at: usize) -> &Target {
        &self.list[at]
    }

    /// Returns the slots that may be used, without last resorts.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the time at which the limits change without a call.
    pub(crate) fn next_change(&self) -> Option<Duration> {
        self.next_change
    }

    pub(crate) fn usable(&self, now: Duration) -> bool {
        self.list.iter().any(|t| t.usable(now))
    }

    /// Updates the limits.
    pub(crate) fn refresh(&mut self, config: &PoolConfig, now: Duration) {
        if !self.stale && self.next_change.is_none_or(|t| now < t) {
            return;
        }
        self.update_ejections(config, now);
        self.stale = false;
        self.slots = 0;
        self.next_change = None;
        for t in &mut self.list {
            t.limit = t.allowed(config, now);
            let counts = !t.isolated && !t.health.is_last_resort();
            self.slots += if counts { t.limit } else { 0 };
            self.next_change = [self.next_change, t.next_change(config, now)]
                .into_iter()
                .flatten()
                .min();
        }
    }

    /// Ejects slow targets, or keeps them as a last resort.
    fn update_ejections(&mut self, config: &PoolConfig, now: Duration) {
        self.median_ratio = self.median(now);
        let usable = self.list.iter().filter(|t| t.usable(now)).count();
        let max_ejected = usable / MAX_EJECTED_DIVISOR;
        let mut ejected_count = 0;
        for t in self.list.iter_mut().filter(|t| t.health.ejected()) {
            if !t.usable(now) || ejected_count == max_ejected {
                t.health.restore();
            } else {
                ejected_count += 1;
            }
        }
        for t in self
            .list
            .iter_mut()
            .filter(|t| t.usable(now) && !t.health.ejected())
        {
            if !t.is_bad(config, self.median_ratio, now) {
                t.health.clear_last_resort();
            } else if ejected_count < max_ejected {
                t.health.eject(config.eject_time, now);
                ejected_count += 1;
            } else {
                t.health.mark_last_resort(config.eject_time, now);
            }
        }
    }

    fn median(&self, now: Duration) -> f64 {
        let list = self.list.iter().filter(|t| t.usable(now));
        let mut ratios: Vec<f64> = list.map(|t| t.health.ratio).collect();
        if ratios.is_empty() {
            return 1.0;
        }
        let at = (ratios.len() - 1) / 2;
        *ratios
            .select_nth_unstable_by(at, |a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal))
            .1
    }

    /// Returns the target for the next start, or `None` if no suitable target has a free slot.
    pub(crate) fn place(&self, request: &PlacementRequest<'_>, now: Duration) -> Option<usize> {
        let mut best = None;
        for (i, t) in self.list.iter().enumerate() {
            // A probe may take ten times as long, so only requests whose deadlines leave that time
            // are used.
            let skip =
                t.health.is_probe() && !request.tolerates_slow || request.tried.contains(&t.name);
            if !t.has_free_slot()
                || skip
                || !t.health.is_worth_starting(request.depth_per_slot, now)
            {
                continue;
            }
            let cost = t.cost();
            if best.is_none_or(|(_, min_cost)| cost < min_cost) {
                best = Some((i, cost));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Returns whether a target other than those tried is usable, now or later.
    pub(crate) fn has_other(&self, tried: &[Arc<str>], now: Duration) -> bool {
        self.list
            .iter()
            .any(|t| t.usable(now) && !tried.contains(&t.name))
    }

    pub(crate) fn start(&mut self, at: usize, ticket: u64, config: &PoolConfig, now: Duration) {
        let t = &mut self.list[at];
        t.health.started(config.eject_time, now);
        t.running.push(ticket);
        let busy = t.busy();
        t.limits.record_busy(busy, now);
    }

    pub(crate) fn report(
        &mut self,
        name: &str,
        report: LoadReport,
        config: &PoolConfig,
        now: Duration,
    ) {
        if let Some(t) = self.list.iter_mut().find(|t| &*t.name == name) {
            t.take_report(report, config, now);
            self.stale = true;
        }
    }

    /// Closes a target for a time, after which it gets one request at first.
    pub(crate) fn back_off(&mut self, name: &str, time: Duration, now: Duration) {
        if let Some(t) = self.list.iter_mut().find(|t| &*t.name == name) {
            let returns_at = t.health.close_until(now.saturating_add(time));
            t.limits.ramp(returns_at);
            self.stale = true;
        }
    }

    /// Records that a run has lasted `ratio` times as long as expected and has not ended.
    pub(crate) fn record_late_run(&mut self, at: usize, ratio: f64) {
        self.list[at].health.record(ratio, false);
        self.stale = true;
    }

    /// Frees the slot of a run. Returns true if its target is neither slow nor ejected, so that its
    /// time may count in the estimate of its kind: a slow target's times must not.
    pub(crate) fn finish(&mut self, end: &Finished, config: &PoolConfig, now: Duration) -> bool {
        let median_ratio = self.median_ratio;
        let t = &mut self.list[end.target];
        t.running.retain(|x| *x != end.ticket);
        let busy = t.busy();
        let usual = !t.is_bad(config, median_ratio, now) && !t.health.ejected();
        let good = match end.outcome {
            Outcome::Ok => {
                t.health.record_success();
                t.health.record(end.ratio, true);
                end.ratio <= config.eject_ratio * median_ratio.max(1.0)
            }
            Outcome::Failed | Outcome::TimedOut => {
                t.health.record_failure();
                false
            }
            Outcome::Refused => {
                t.limits.shed(busy, now);
                if busy == 0 {
                    t.health.back_off(now);
                }
                false
            }
            Outcome::Died => false,
            Outcome::Cancelled => return false,
        };
        if t.health.is_probe() {
            if t.health.record_probe(good, config.eject_time, now) {
                t.limits.ramp(now);
            }
            self.stale = true;
        } else if !good || t.health.ratio > config.eject_ratio {
            self.stale = true;
        }
        usual
    }

    /// Records a crash of the process: the target backs off, and returns cold.
    pub(crate) fn record_crash(&mut self, at: usize, now: Duration) {
        let t = &mut self.list[at];
        // What the process wanted ended with it.
        t.health.reopen();
        let returns_at = t.health.back_off(now);
        t.limits.ramp(returns_at);
        self.stale = true;
    }

    /// Chooses the target on which a suspect will run alone, and isolates it.
    pub(crate) fn isolate(&mut self, tried: &[Arc<str>]) -> Option<usize> {
        let fits = |t: &Target| t.limit > 0 && !t.health.is_probe() && !tried.contains(&t.name);
        let list = self.list.iter().enumerate().filter(|(_, t)| fits(t));
        let at = list.min_by_key(|(_, t)| t.busy())?.0;
        self.list[at].isolated = true;
        self.stale = true;
        Some(at)
    }

    pub(crate) fn release(&mut self, at: usize) {
        self.list[at].isolated = false;
        self.stale = true;
    }
}
