//! The speed of the targets.

use std::time::Duration;

use crate::{
    LoadReport,
    simulation::{Fault, Scenario},
};

/// Times as long as usual that a cold target takes at first.
const COLD: f64 = 3.0;

/// Runs that warm its caches.
const WARM_RUNS: f64 = 200.0;

/// One target's side of the play.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    /// Numbers of the runs on it.
    pub(super) running: Vec<u64>,
    /// Its process is being restarted until then.
    pub(super) down: Duration,
    runs: f64,
    cold_at: Option<Duration>,
}

impl Target {
    /// Times as long as usual that a run takes which starts now.
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

    /// What it says about itself; nothing if its reports are lost.
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
