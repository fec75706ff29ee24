//! Log lines and metrics of requests, and the counters that decisions need.

use std::{cell::RefMut, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Evidence, Forecast, SharedBudget};

use super::{Front, end::End, lanes::Lane, place::Place};
use crate::{
    model::Route,
    trace::{Lines, Outcome, Told},
};

/// Lines a second on requests that end well, and on sends: a host at its usual load stays below.
const USUAL_LINES: u32 = 120;

/// Lines a second on refusals, failures and repeats. These are what somebody will ask about; the
/// budget only bounds a flood.
const FAILURE_LINES: u32 = 400;

/// Start of the process, on its own clock.
const START: Duration = Duration::ZERO;

/// Budgets of lines.
#[derive(Debug)]
pub(super) struct Say {
    usual: Lines,
    failures: Lines,
}

impl Say {
    pub(super) fn open() -> Say {
        Say {
            usual: Lines::open(USUAL_LINES),
            failures: Lines::open(FAILURE_LINES),
        }
    }

    fn asked(&self, budget: &Lines, kind: &str, now: Duration) -> bool {
        match budget.ask(now) {
            Told::Yes => true,
            Told::No => false,
            Told::After(dropped) => {
                log::warn!(target: "log", event = "dropped", kind = kind, lines = dropped; "lines were left out");
                true
            }
        }
    }
}

impl Front {
    fn may_say(&self, fails: bool) -> bool {
        let now = self.shared.now();
        match fails {
            true => self.say.asked(&self.say.failures, "failures", now),
            false => self.say.asked(&self.say.usual, "usual", now),
        }
    }

    /// A request goes to a target.
    pub(super) fn sends(&self, id: &Arc<str>, route: &Route, place: &Place, left: Duration) {
        self.shared.meters.count("sent");
        if !self.may_say(false) {
            return;
        }
        let (lane, now) = (&place.lane, self.shared.now());
        log::info!(
            target: "request", event = "sent", id = &**id, route = &*route.name,
            to = &*lane.target.id, rank = place.rank, busy = place.busy,
            slots = lane.target.slots, load_age_ms = millis(lane.load_age(now)),
            left_ms = millis(left), change = self.shared.view.load().number,
            belief_age_ms = millis(self.shared.age()); "sent"
        );
    }

    /// A request is tried again, or given up, after an attempt failed.
    pub(super) fn repeats(&self, id: &Arc<str>, cause: &str, arrived: u32) {
        self.shared.meters.count("attempt_failed");
        if self.may_say(true) {
            log::info!(
                target: "request", event = "attempt_failed", id = &**id, cause = cause,
                arrived = arrived; "an attempt failed"
            );
        }
    }

    /// A request ended.
    pub(super) fn told(&self, id: &Arc<str>, end: &End, time: Duration) {
        self.shared.meters.count(end.outcome.name());
        self.shared.meters.time("time", time);
        if self.may_say(end.outcome != Outcome::Answered) {
            log::info!(
                target: "request", event = end.outcome.name(), id = &**id, cause = &*end.cause,
                tried = &*end.tried,
                status = end.response.status().as_u16(), time_ms = millis(time),
                belief_age_ms = millis(self.shared.age()); "ended"
            );
        }
    }

    /// The caller left before its answer.
    pub(super) fn left(&self, id: &Arc<str>, time: Duration) {
        self.shared.meters.count("cancelled");
        if self.may_say(true) {
            log::info!(
                target: "request", event = "cancelled", id = &**id, time_ms = millis(time);
                "the caller has left"
            );
        }
    }

    /// A target is newly set aside.
    pub(super) fn set_aside(&self, lane: &Lane, evidence: Evidence) {
        self.shared.meters.count("set_aside");
        log::info!(
            target: "belief", event = "set_aside", to = &*lane.target.id, evidence:? = evidence;
            "a target is set aside"
        );
    }

    pub(super) fn forecast(&self, route: &Arc<str>) -> Forecast {
        self.forecasts
            .borrow()
            .get(route)
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn note_time(&self, route: &Arc<str>, time: Duration, place: &Place) {
        self.shared.meters.time("run", time);
        let mut forecasts = self.forecasts.borrow_mut();
        let forecast = forecasts.entry(Arc::clone(route)).or_default();
        forecast.note(time, place.busy, place.lane.target.slots);
    }

    pub(super) fn first(&self, service: &Arc<str>) {
        let rules = &self.shared.settings.budget;
        self.budget(service).first(rules, self.shared.now());
    }

    pub(super) fn second(&self, service: &Arc<str>, hosts: usize) -> bool {
        let rules = &self.shared.settings.budget;
        self.budget(service).second(rules, hosts, self.shared.now())
    }

    fn budget(&self, service: &Arc<str>) -> RefMut<'_, SharedBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            let budget = budgets.entry(Arc::clone(service));
            budget.or_insert_with(|| match self.shared.settings.first {
                true => SharedBudget::open(),
                false => SharedBudget::resume(START),
            })
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
