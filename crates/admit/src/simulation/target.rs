//! Simulated targets: their speed and their load reports.

use std::time::Duration;

use crate::{
    LoadReport,
    simulation::{Fault, Scenario},
};

/// Initial factor on the service time of a cold target.
const COLD: f64 = 3.0;

/// Runs after which its caches are warm.
const WARM_RUNS: f64 = 200.0;

/// State of a simulated target.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    /// Ids of the runs on it.
    pub(super) running: Vec<u64>,
    /// Time until which its process restarts.
    pub(super) down: Duration,
    runs: f64,
    cold_at: Option<Duration>,
}

impl Target {
    /// Returns the factor on the service time of a run that starts now.
    pub(super) fn factor(&mut self, number: usize, scenario: &Scenario, now: Duration) -> f64 {
        let mut factor = 1.0;
        for fault in &scenario.faults {
            match *fault {
                Fault::Slow {
                    target,
                    factor: f,
                    from,
                } if target == number && now >= from => {
                    factor *= f;
                }
                Fault::Cold { target, at } if target == number && now >= at => {
                    if self.cold_at.is_none() {
                        self.cold_at = Some(at);
                        self.runs = 0.0;
                    }
                    let part = (self.runs / WARM_RUNS).min(1.0);
                    factor *= COLD - (COLD - 1.0) * part;
                    self.runs += 1.0;
                }
                _ => {}
            }
        }
        factor
    }

    /// Returns its load report, or `None` if its reports are lost.
    pub(super) fn report(
        &self,
        number: usize,
        scenario: &Scenario,
        now: Duration,
    ) -> Option<LoadReport> {
        let busy = self.running.len() as u32;
        let mut report = LoadReport {
            busy,
            slots: scenario.deployment.slots,
            leaving: false,
            cold: false,
        };
        for fault in &scenario.faults {
            match *fault {
                Fault::Leave { target, at } if target == number => report.leaving = now >= at,
                Fault::Cold { target, at } if target == number => {
                    report.cold = now >= at && now < at + Duration::from_secs(2);
                }
                Fault::FalseReports => match number % 3 {
                    0 => report.busy = 100,
                    1 => {
                        report = LoadReport {
                            busy: 0,
                            slots: 100,
                            ..report
                        }
                    }
                    _ => return None,
                },
                _ => {}
            }
        }
        Some(report)
    }
}
