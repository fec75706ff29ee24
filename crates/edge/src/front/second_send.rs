//! A second send of a repeatable request whose run takes unusually long.

use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Admission, Evidence, SecondTarget};

use super::{
    Front,
    access::Access,
    attempt::{AttemptResult, OutboundRequest},
    request::RetryState,
    request_log::Kind,
    select::{Criteria, SelectedTarget},
    targets::TargetHandle,
};
use crate::model::Route;

impl Front {
    /// Sends a request to one target, and a second time if its run takes unusually long. Returns
    /// the send that decides, and its result; the state covers the other one.
    pub(super) async fn attempt_twice(
        self: &Rc<Front>,
        access: &Access,
        criteria: &Criteria<'_>,
        selected: SelectedTarget,
        outbound: &OutboundRequest,
        state: &mut RetryState,
    ) -> (Rc<SelectedTarget>, AttemptResult) {
        let selected = Rc::new(selected);
        let delay = self.second_delay(access, &selected, outbound, state);
        let mut first = pin!(self.attempt(access, &selected, outbound));
        let ended = match delay {
            Some(delay) => tokio::time::timeout(delay, &mut first).await,
            None => Ok(first.as_mut().await),
        };
        if let Ok(result) = ended {
            return (Rc::clone(&selected), result);
        }
        let second = self.select_second(access, criteria, &selected, outbound);
        let Some(second) = second.map(Rc::new) else {
            let result = first.await;
            return (Rc::clone(&selected), result);
        };
        let mut other = pin!(self.attempt(access, &second, outbound));
        let (is_second, result) = tokio::select! {
            result = &mut first => (false, result),
            result = &mut other => (true, result),
        };
        // If one fails, the other may still answer.
        let (is_second, result, failed) = match (is_useful(&result), is_second) {
            (true, _) => (is_second, result, None),
            (false, true) => (false, first.await, Some(result)),
            (false, false) => (true, other.await, Some(result)),
        };
        // The target's own failure is a better answer than that the other send has none.
        let (is_second, result, failed) = match (result, failed) {
            (result, Some(own @ AttemptResult::Answered(_)))
                if !matches!(result, AttemptResult::Answered(_)) =>
            {
                (!is_second, own, Some(result))
            }
            (result, failed) => (is_second, result, failed),
        };
        let (winner, loser) = match is_second {
            true => (&second, &selected),
            false => (&selected, &second),
        };
        match failed {
            Some(failed) => {
                // A refusal after this would claim that the request has not run.
                if matches!(failed, AttemptResult::Answered(_)) {
                    state.delivered += 1;
                    state.may_have_run = true;
                }
                self.after_attempt(access, loser, outbound, state, failed);
            }
            None => {
                state.delivered += 1;
                state.tried.insert(Arc::clone(&loser.handle.target.id));
                self.record_overtaken(loser, is_second);
            }
        }
        match is_second && matches!(result, AttemptResult::Answered(_)) {
            true => self.shared.meters.count("second_won"),
            false => self.shared.meters.count("second_lost"),
        }
        (Rc::clone(winner), result)
    }

    /// Returns how long after the first send a request is sent again; `None` if it is sent once.
    fn second_delay(
        &self,
        access: &Access,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
        state: &RetryState,
    ) -> Option<Duration> {
        let route: &Route = &access.route;
        let is_first = state.delivered == 0 && outbound.forwarded.is_none();
        let may_repeat = route.repeatable && route.attempts > 1;
        if !is_first || !may_repeat || !selected.handle.reports_pace() {
            return None;
        }
        let routes = self.route_runs.borrow();
        routes.get(&route.name)?.times.second_send(route.objective)
    }

    /// Selects the target of a second send: the object's other home, or the same target, which is
    /// warm; `None` if neither would run it at once, or the retry budget has none left.
    fn select_second(
        &self,
        access: &Access,
        criteria: &Criteria<'_>,
        first: &SelectedTarget,
        outbound: &OutboundRequest,
    ) -> Option<SelectedTarget> {
        let service = criteria.service;
        if self.failures_common(service) || self.quarantined_for(outbound.fingerprint).is_some() {
            return None;
        }
        let mut excluded = criteria.excluded.clone();
        excluded.insert(Arc::clone(&first.handle.target.id));
        let criteria = Criteria {
            excluded: &excluded,
            // The other home, not the one after it.
            draw: 1.0,
            ..*criteria
        };
        let (now, view) = (self.shared.now(), self.shared.view.load_full());
        let is_suitable = |handle: &TargetHandle, own| {
            let target = SecondTarget {
                slots: handle.target.slots,
                busy: handle.busy(now).saturating_sub(own),
                pace: handle.pace(now),
            };
            target.is_suitable() && self.admission(handle) == Admission::Open
        };
        let other = self.select_target(&view, access, &criteria).ok();
        let other = other.filter(|other| {
            let is_suitable = other.rank == 0 && is_suitable(&other.handle, 0);
            if !is_suitable {
                other.handle.cancel_selection();
            }
            is_suitable
        });
        let Some(other) = other else {
            let is_usual = takes_again(first) && is_suitable(&first.handle, 1);
            return (is_usual && self.try_second(service, outbound)).then(|| first.again());
        };
        if !self.try_second(service, outbound) {
            other.handle.cancel_selection();
            return None;
        }
        // Of the two homes, the one that the first send did not go to. The change is that of the
        // first selection: access was checked for that, and is checked again if the view differs.
        Some(SelectedTarget {
            rank: usize::from(first.rank == 0),
            change: first.change,
            ..other
        })
    }

    /// Takes a second send from the retry budget of a service.
    fn try_second(&self, service: &Arc<str>, outbound: &OutboundRequest) -> bool {
        let rules = self.shared.reloadable.load().budget;
        let (now, share) = (self.shared.now(), self.shared.host_share());
        // Requests without any answer come first.
        let decision = self.budget(service).try_spare(&rules, &share, now);
        if !decision.is_granted {
            self.shared.meters.count("second_refused");
            return false;
        }
        self.shared.meters.count("second_sent");
        if self.may_log(Kind::Usual) {
            log::info!(
                target: "request", event = "second_send", id = &*outbound.id, service = &**service,
                used = decision.used, left = (decision.left * 10.0).round() / 10.0;
                "its run takes unusually long: sent a second time"
            );
        }
        true
    }

    /// Records a send that is cancelled because the other one has answered.
    fn record_overtaken(self: &Rc<Front>, loser: &SelectedTarget, is_first: bool) {
        let counts = is_first && loser.handle.lost.borrow_mut().record_lost();
        let evidence = counts.then_some(Evidence::Bad);
        self.record_evidence(&loser.handle, evidence);
    }
}

/// Whether a target may get the same request again without being selected: nothing limits what this
/// host sends to it.
fn takes_again(first: &SelectedTarget) -> bool {
    let handle = &first.handle;
    let is_limited = first.is_cold || handle.rate.borrow().rate().is_some();
    !is_limited && !handle.ejection.borrow().is_ejected()
}

/// Whether a result ends the request, whatever becomes of its other send.
fn is_useful(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::Answered(response) => !response.status.is_server_error(),
        AttemptResult::TimedOut => true,
        AttemptResult::NotRun(_)
        | AttemptResult::NotSent(_)
        | AttemptResult::Lost(_)
        | AttemptResult::Rerouted => false,
    }
}
