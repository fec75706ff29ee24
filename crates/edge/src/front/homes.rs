//! Two homes for the objects of services whose targets report how fast they are.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::{
    admit::direct::RunTimes,
    steer::affinity::{self, AffinityConfig, Candidate, Choice, SecondHome},
};

use super::{Front, select::SelectedTarget};
use crate::model::Route;

/// Pace from which on the time of a run says nothing about whether it was cold.
const SLOW_PACE: f64 = 1.2;

/// What this host has seen of the runs of a route.
#[derive(Debug, Default)]
pub(super) struct RouteRuns {
    pub(super) times: RunTimes,
    second: SecondHome,
    /// Whether second homes were kept warm at the last run.
    was_dropped: bool,
}

impl Front {
    /// Chooses between the two homes of an object.
    pub(super) fn pick_home(
        &self,
        route: &Route,
        (hash, draw): (u64, f64),
        candidates: &[Candidate],
        paces: &[f64],
    ) -> Option<Choice> {
        let runs = self.route_runs.borrow();
        let runs = runs.get(&route.name);
        let seen = runs.map_or_else(SecondHome::open, |runs| runs.second);
        let usual = runs.and_then(|runs| runs.times.usual());
        let objective = usual
            .filter(|usual| !usual.is_zero())
            .map_or(0.0, |usual| route.objective.div_duration_f64(usual));
        let config = AffinityConfig::default();
        let known = (&seen, objective, draw);
        affinity::choose_home(hash, candidates, paces, known, &config)
    }

    /// Records the time of a complete run at a target that reports how fast it is.
    pub(super) fn record_run(&self, route: &Arc<str>, time: Duration, selected: &SelectedTarget) {
        let handle = &selected.handle;
        // A run that waited first took longer than the work does.
        if !handle.reports_pace() || selected.busy >= handle.target.slots {
            return;
        }
        let mut routes = self.route_runs.borrow_mut();
        let runs = routes.entry(Arc::clone(route)).or_default();
        let usual = runs.times.usual();
        runs.times.record(time);
        let Some(usual) = usual.filter(|usual| !usual.is_zero()) else {
            return;
        };
        if selected.pace < SLOW_PACE {
            runs.second
                .record(selected.rank, time.div_duration_f64(usual));
        }
        let is_dropped = !runs.second.is_kept();
        if std::mem::replace(&mut runs.was_dropped, is_dropped) != is_dropped {
            self.shared.meters.count("second_homes_changed");
            log::info!(
                target: "belief", event = "second_homes", route = &**route, kept = !is_dropped,
                cold = (runs.second.excess() * 100.0).round() / 100.0;
                "second homes of objects are kept warm, or no longer"
            );
        }
    }
}
