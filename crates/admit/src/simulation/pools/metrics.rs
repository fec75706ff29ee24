//! Reports of the targets, summaries of the pools, and results that are sampled.

use std::{sync::Arc, time::Duration};

use crate::{
    LoadReport,
    simulation::{
        pools::{Event, Simulation},
        scenario::{REPORT_INTERVAL, REPORT_LAG},
    },
};

impl Simulation<'_> {
    /// Sends the reports and the summaries, which arrive later.
    pub(super) fn send_reports(&mut self, now: Duration) {
        if now >= self.scenario.length {
            return;
        }
        self.events.push(now + REPORT_INTERVAL, Event::SendReports);
        for target in 0..self.targets.len() {
            if let Some(report) = self.targets[target].report(target, self.scenario, now) {
                self.events
                    .push(now + REPORT_LAG, Event::Report { target, report });
            }
        }
        let loads = self.pools.iter().map(|p| p.load(now)).collect();
        self.events.push(now + REPORT_LAG, Event::Summary { loads });
        for p in &self.pools {
            let state = p.state(now);
            let out = state.targets.iter().filter(|t| t.ejected).count();
            let share = out as f64 / state.targets.len() as f64;
            self.results.ejected = self.results.ejected.max(share);
        }
    }

    pub(super) fn report(&mut self, target: usize, report: LoadReport, now: Duration) {
        let pool = self.scenario.deployment.domain(target);
        let name = Arc::clone(&self.names[target]);
        self.pools[pool].report(&name, report, now);
        if report.leaving {
            self.leaving.entry(target).or_insert(now);
            self.drained(target, now);
        }
        self.poll(pool, now);
    }

    pub(super) fn drained(&mut self, target: usize, now: Duration) {
        if let Some(since) = self.leaving.get(&target).copied()
            && self.targets[target].running.is_empty()
            && self.results.drain.is_none()
        {
            self.results.drain = Some(now - since);
        }
    }
}
