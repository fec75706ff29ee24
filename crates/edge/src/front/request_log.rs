//! Log lines and metrics of requests, and the counters that decisions need.

use std::{cell::RefMut, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Evidence, LatencyEstimator, RetryBudget};
use dunlinrock_node::clock::millis;
use tokio::time::Instant;

use super::{Front, access::Rights, attempt::Work, response::End, select::Place, targets::Lane};
use crate::{
    model::Workspace,
    trace::{Lines, Outcome, Told},
};

/// Lines a second on requests that end well, and on sends: a host at its usual load stays below.
const USUAL_LINES: u32 = 120;

/// Lines a second on requests that a target was asked for and that failed, and on their repeats. These
/// are what somebody will ask about; the budget only bounds a flood.
const FAILURE_LINES: u32 = 400;

/// Lines a second on refusals for which no target was asked. A host that cannot serve, or one
/// workspace beyond its limit, writes the same line for every request.
const REFUSAL_LINES: u32 = 200;

/// Start of the process, on its own clock.
const START: Duration = Duration::ZERO;

/// Budgets of lines.
#[derive(Debug)]
pub(super) struct Say {
    usual: Lines,
    failures: Lines,
    refusals: Lines,
}

/// What a line is about; each kind has a budget of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A request that ends well, or a send.
    Usual,
    /// A request that failed after a target was asked.
    Failure,
    /// A request that was turned away before one was.
    Refusal,
}

impl Say {
    pub(super) fn open() -> Say {
        Say {
            usual: Lines::open(USUAL_LINES),
            failures: Lines::open(FAILURE_LINES),
            refusals: Lines::open(REFUSAL_LINES),
        }
    }

    fn asked(&self, kind: Kind, now: Duration) -> bool {
        let (budget, kind) = match kind {
            Kind::Usual => (&self.usual, "usual"),
            Kind::Failure => (&self.failures, "failures"),
            Kind::Refusal => (&self.refusals, "refusals"),
        };
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

/// One send of a request to a target, and what decided it.
#[derive(Debug)]
pub(super) struct Sent {
    route: Arc<str>,
    /// Whose request it is, if anybody's.
    workspace: Option<Arc<Workspace>>,
    to: Arc<str>,
    /// How far down the object's ranking the target stands.
    rank: usize,
    /// Requests that the target had, as far as was known.
    busy: u32,
    slots: u32,
    /// Age of the load that the target reported.
    load_age: Duration,
    /// Time that was left to the request.
    left: Duration,
    /// Number of the belief.
    change: u64,
    belief_age: Duration,
    /// When it was sent, on the host's clock.
    at: Duration,
}

impl Sent {
    fn workspace(&self) -> &str {
        self.workspace.as_ref().map_or("-", |w| &*w.name)
    }

    fn say(&self, id: &str, now: Duration) {
        log::info!(
            target: "request", event = "sent", id = id, route = &*self.route, workspace = self.workspace(), to = &*self.to,
            rank = self.rank, busy = self.busy, slots = self.slots,
            load_age_ms = millis(self.load_age), left_ms = millis(self.left),
            change = self.change, belief_age_ms = millis(self.belief_age),
            held_ms = millis(now.saturating_sub(self.at)); "sent"
        );
    }

    /// The send and the answer in one line.
    fn say_answered(&self, id: &str, end: &End, time: Duration) {
        log::info!(
            target: "request", event = "answered", id = id, route = &*self.route, workspace = self.workspace(), to = &*self.to,
            rank = self.rank, busy = self.busy, slots = self.slots,
            load_age_ms = millis(self.load_age), left_ms = millis(self.left),
            change = self.change, belief_age_ms = millis(self.belief_age),
            status = end.response.status().as_u16(), time_ms = millis(time); "answered at once"
        );
    }
}

impl Front {
    pub(super) fn may_say(&self, kind: Kind) -> bool {
        self.say.asked(kind, self.shared.now())
    }

    /// A request goes to a target.
    ///
    /// The line of one that may run once is written at once: if this host is killed, somebody will
    /// want to know whether it was sent. That of another one waits for the request's end, and is part
    /// of its line if it is answered at once, which is what nearly all are.
    pub(super) fn sends(&self, rights: &Rights, place: &Place, work: &Work) {
        let route = &rights.route;
        self.shared.meters.count("sent");
        let (lane, now) = (&place.lane, self.shared.now());
        let sent = Sent {
            route: Arc::clone(&route.name),
            workspace: rights.workspace.clone(),
            to: Arc::clone(&lane.target.id),
            rank: place.rank,
            busy: place.busy,
            slots: lane.target.slots,
            load_age: lane.load_age(now),
            left: work.end.saturating_duration_since(Instant::now()),
            change: self.shared.view.load().change,
            belief_age: self.shared.age(),
            at: now,
        };
        if !route.repeatable && self.may_say(Kind::Usual) {
            sent.say(&work.id, now);
        } else {
            work.unsaid.borrow_mut().push(sent);
        }
    }

    /// A request is tried again, or given up, after an attempt failed.
    pub(super) fn repeats(&self, work: &Work, cause: &str, arrived: u32) {
        self.shared.meters.count("attempt_failed");
        self.say_held(&work.id, &work.unsaid.take(), Kind::Failure);
        if self.may_say(Kind::Failure) {
            log::info!(
                target: "request", event = "attempt_failed", id = &*work.id, cause = cause,
                arrived = arrived; "an attempt failed"
            );
        }
    }

    /// Writes the lines of sends that were held.
    fn say_held(&self, id: &str, held: &[Sent], kind: Kind) {
        for sent in held {
            if self.may_say(kind) {
                sent.say(id, self.shared.now());
            }
        }
    }

    /// A request ended. One that failed keeps the lines of all its sends.
    pub(super) fn told(&self, id: &Arc<str>, end: &End, time: Duration) {
        self.shared.meters.count(end.outcome.name());
        self.shared.meters.time("time", time);
        let fails = end.outcome != Outcome::Answered;
        if let ([sent], false) = (&*end.unsaid, fails) {
            if self.may_say(Kind::Usual) {
                sent.say_answered(id, end, time);
            }
            return;
        }
        let kind = match fails {
            false => Kind::Usual,
            true if end.tried.is_empty() && end.unsaid.is_empty() => Kind::Refusal,
            true => Kind::Failure,
        };
        self.say_held(id, &end.unsaid, kind);
        if self.may_say(kind) {
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
        if self.may_say(Kind::Failure) {
            log::info!(
                target: "request", event = "cancelled", id = &**id, time_ms = millis(time);
                "the caller has left"
            );
        }
    }

    /// The caller left before its request was read.
    pub(super) fn left_unread(&self, id: &Arc<str>, waited: Duration) {
        self.shared.meters.count("left_unread");
        if self.may_say(Kind::Refusal) {
            log::info!(
                target: "request", event = "left_unread", id = &**id, waited_ms = millis(waited);
                "the caller had left before its request was read"
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

    pub(super) fn forecast(&self, route: &Arc<str>) -> LatencyEstimator {
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
        forecast.record(time, place.busy, place.lane.target.slots);
    }

    pub(super) fn first(&self, service: &Arc<str>) {
        let rules = self.shared.reloadable.load().budget;
        self.budget(service)
            .record_request(&rules, self.shared.now());
    }

    pub(super) fn second(&self, service: &Arc<str>, hosts: usize, rank: u8) -> bool {
        let rules = self.shared.reloadable.load().budget;
        let now = self.shared.now();
        self.budget(service)
            .try_retry(&rules, hosts, rank, rand::random(), now)
    }

    fn budget(&self, service: &Arc<str>) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| {
            let budget = budgets.entry(Arc::clone(service));
            budget.or_insert_with(|| match self.shared.settings.first_start {
                true => RetryBudget::open(),
                false => RetryBudget::open_restarted(START),
            })
        })
    }
}
