//! Admission to a target's queue, by urgency, by workspace and by booked returns, and of retries.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Place, RetryDecision, Urgency};
use tokio::time::Instant;

use super::{
    Front, access::Access, attempt::OutboundRequest, request::MIN_BACKOFF, request_log::Kind,
    select::SelectedTarget,
};

/// Latest expected response that is still worth a slot, in objectives of the route. While there is
/// more work than slots, a late response makes the next one late as well.
const MAX_WAIT_OBJECTIVES: f64 = 2.5;

impl Front {
    /// Returns why a request is shed, if it cannot be answered in time or would take queue capacity
    /// that others go before, and the time after which there may be room. Run all the same, it would
    /// take a slot from a request that can be answered.
    pub(super) fn shed_cause(
        &self,
        access: &Access,
        service: &Arc<str>,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
    ) -> Option<(String, Duration)> {
        let (route, slots) = (&access.route, selected.handle.target.slots);
        let remaining = outbound.deadline.saturating_duration_since(Instant::now());
        let latency = self.latency(&route.name);
        let limit = latency.concurrency_limit(
            slots,
            remaining.min(route.objective.mul_f64(MAX_WAIT_OBJECTIVES)),
        );
        let wait = latency.queue_delay(selected.busy, slots);
        let urgency = outbound.urgency(access, wait + latency.expected_run());
        let capacity = self.capacity_for(access, service, (selected, outbound), (urgency, limit));
        if selected.busy < capacity {
            return None;
        }
        let why = match selected.busy < limit {
            true => ", the rest of its queue is for others",
            false => "",
        };
        let cause = format!(
            "{} has {} for {slots} slots{why}",
            selected.handle.target.id, selected.busy
        );
        Some((cause, wait.max(MIN_BACKOFF)))
    }

    /// Returns how many requests a target may have in flight for one more of this urgency to be
    /// sent, where `limit` applies to the most urgent.
    fn capacity_for(
        &self,
        access: &Access,
        service: &Arc<str>,
        (selected, outbound): (&SelectedTarget, &OutboundRequest),
        (urgency, limit): (Urgency, u32),
    ) -> u32 {
        let (now, slots) = (self.shared.now(), selected.handle.target.slots);
        let workspace = access.workspace.as_ref().map(|w| &w.name);
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(Arc::clone(service)).or_default();
        let place = gate.place(urgency, workspace, now);
        let capacity = gate.concurrency_limit(place, limit, slots, now);
        let kept = match gate.is_below_floor(place.urgency, now) {
            true => 0,
            false => self.room_kept(service, urgency.priority) / self.target_count(service),
        };
        let capacity = capacity.saturating_sub(kept).max(slots);
        let is_refused = selected.busy >= capacity;
        gate.record(place, workspace, is_refused, now);
        if is_refused && selected.busy < limit {
            self.log_gave_way(service, outbound, place, (selected.busy, limit, kept));
        }
        if !is_refused {
            self.claim_room(service, urgency.priority);
        }
        capacity
    }

    /// Returns the number of a service's targets, at least 1.
    fn target_count(&self, service: &Arc<str>) -> u32 {
        let view = self.shared.view.load();
        let count = view.services.get(service).map_or(0, Vec::len);
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }

    /// Returns why another attempt is not made: its answer would come too late, or the retry budget
    /// leaves none.
    pub(super) fn retry_refused(
        &self,
        access: &Access,
        service: &Arc<str>,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
    ) -> Option<String> {
        let latency = self.latency(&access.route.name);
        let wait = latency.queue_delay(selected.busy, selected.handle.target.slots);
        let time = wait + latency.expected_run();
        if !outbound.is_in_time(time) {
            self.shared.meters.count("retries_too_late");
            return Some("another run would end too late".to_owned());
        }
        let urgency = {
            let mut gates = self.gates.borrow_mut();
            let gate = gates.entry(Arc::clone(service)).or_default();
            let now = self.shared.now();
            gate.place(outbound.urgency(access, time), None, now)
                .urgency
        };
        let retry = self.try_retry(service, outbound, urgency);
        (!retry.is_granted).then(|| spent_cause(&retry))
    }

    /// Records that a request left a target's queue to others.
    fn log_gave_way(
        &self,
        service: &Arc<str>,
        outbound: &OutboundRequest,
        place: Place,
        (busy, limit, kept): (u32, u32, u32),
    ) {
        self.shared.meters.count("gave_way");
        if self.may_log(Kind::Refusal) {
            log::info!(
                target: "request", event = "gave_way", id = &*outbound.id, service = &**service,
                priority = place.urgency.priority, is_late = place.urgency.is_late,
                is_above = place.is_above, busy = busy, limit = limit, kept = kept;
                "leaves a target's queue to others"
            );
        }
    }
}

impl OutboundRequest {
    /// Returns how urgent the request is, if its answer is expected after `time`.
    pub(super) fn urgency(&self, access: &Access, time: Duration) -> Urgency {
        Urgency {
            priority: access.priority(),
            is_late: Instant::now() + time > self.objective_end,
        }
    }

    /// Whether an answer that is expected after `time` comes before the deadline.
    pub(super) fn is_in_time(&self, time: Duration) -> bool {
        Instant::now() + time <= self.deadline
    }
}

fn spent_cause(retry: &RetryDecision) -> String {
    let RetryDecision {
        used, left, share, ..
    } = retry;
    let hosts = share.hosts;
    let slack = match share.since {
        Some(_) => "with",
        None => "without",
    };
    format!(
        "the retry budget is spent: {used} used, {left:.1} left, one of {hosts} hosts, {slack} slack"
    )
}
