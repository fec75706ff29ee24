//! Handling of one request of a caller, from its head to its response.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Version, header, request::Parts};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::{
    Front,
    access::{Access, fingerprint},
    attempt::{AttemptResult, OutboundRequest},
    callers::CallerConnection,
    connection::strip_hop_by_hop,
    forward::{DECLINED, Forwarded, LeavingTarget},
    no_target::NoTarget,
    response::{RequestEnd, answered, decline, late, lost, read_body, refuse},
    select::{self, Criteria, SelectedTarget},
    tokens::Token,
};
use crate::{
    model::{Credentials, Fingerprint, Route},
    replica::View,
    trace::Outcome,
};

/// Minimum `Retry-After` of a refusal for lack of capacity: a slot of a target becomes free within
/// this time.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum `Retry-After`: beyond it, callers with short deadlines would not come back at all.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// `Retry-After` while this host cannot serve and another may.
pub(super) const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` of a host at its connection or memory limit: within this time idle connections are
/// closed and running requests end.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Minimum remaining time with which another attempt is useful.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// The caller closed its connection.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the caller disconnected")]
pub(super) struct CallerGone;

/// State of a request over its attempts.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    /// Targets and hosts that the request was sent to.
    pub(super) tried: BTreeSet<Arc<str>>,
    /// Targets that are excluded from further attempts.
    excluded: BTreeSet<Arc<str>>,
    /// Attempts that reached a target.
    pub(super) delivered: u32,
    /// Whether one of them may have run the request.
    pub(super) may_have_run: bool,
    /// Token for the request, if its workspace has a rate limit.
    pub(super) token: Option<Token>,
    /// Whether the retry budget has counted the request.
    pub(super) in_budget: bool,
    /// Times that the request was forwarded to another host.
    pub(super) forwards: u32,
}

impl RetryState {
    /// Returns the state of a request that may have been forwarded by another host.
    fn open(forwarded: Option<&Forwarded>) -> RetryState {
        RetryState {
            delivered: forwarded.map_or(0, |f| f.delivered),
            in_budget: forwarded.is_some_and(|f| f.in_budget),
            ..RetryState::default()
        }
    }

    /// Records whether the request's token is consumed.
    fn set_spent(&self, is_spent: bool) {
        if let Some(token) = &self.token {
            token.set_spent(is_spent);
        }
    }

    /// Returns the result of a request that is given up. It is refused, which promises that it
    /// never runs, only if it certainly has not run.
    pub(super) fn give_up(&self, cause: &str, retry: Duration) -> RequestEnd {
        match self.may_have_run {
            true => lost(cause.to_owned()),
            false => refuse(cause, retry),
        }
    }

    /// Returns the result of a request that this host cannot serve and another may.
    pub(super) fn give_to_others(&self, cause: &str) -> RequestEnd {
        match self.may_have_run {
            true => lost(cause.to_owned()),
            false => decline(cause, OTHER_HOST_RETRY_AFTER),
        }
    }
}

/// Counts a request while it is served.
struct RunningGuard<'a>(&'a Front);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Memory reserved for the body of a request; released when dropped.
struct BodyPermit<'a> {
    front: &'a Front,
    bytes: u64,
}

impl Drop for BodyPermit<'_> {
    fn drop(&mut self) {
        self.front.body_budget.borrow_mut().release(self.bytes);
    }
}

/// Serves one request; an error closes the connection.
pub(super) async fn serve(
    front: &Rc<Front>,
    connection: &CallerConnection,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, CallerGone> {
    front.running.set(front.running.get() + 1);
    let _running = RunningGuard(front);
    let start = front.shared.now();
    let id = front.id_of(request.headers());
    let (mut head, body) = request.into_parts();
    let forwarded = Forwarded::take(&mut head.headers);
    let is_forwarded = forwarded.is_some();
    let waited = connection.waited.take();
    // A caller that disconnected while its request lay unread needs no response, and a run for it
    // would take a slot from another request.
    if connection.stream.is_closed() {
        front.log_left_unread(&id, waited);
        return Err(CallerGone);
    }
    let may_pipeline = body.is_end_stream() && !closes_behind(&head);
    let answer = async {
        if connection.is_full {
            return decline(
                "the host holds all connections that it may",
                FULL_RETRY_AFTER,
            );
        }
        match connection.pipeline.take(&id, &head).await {
            Some(end) => end,
            None => front.answer(head, Some(body), forwarded, waited).await,
        }
    };
    let answered = tokio::select! {
        end = answer => Ok(end),
        gone = connection.pipeline.watch(front, &connection.stream, may_pipeline) => Err(gone),
    };
    let time = front.shared.now() - start;
    match answered {
        Ok(end) => {
            front.log_end(&id, &end, time);
            if let Some(deadline) = end.deadline {
                connection.stream.owe_until(deadline);
            }
            let mut response = end.response;
            if !is_forwarded {
                response.headers_mut().remove(DECLINED);
            }
            let closes = front.closes_connections()
                || connection.is_full
                || front.is_near_limit()
                || front.keys_are_stale()
                || front.shared.links.is_isolated();
            if closes && connection.pipeline.is_empty() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response)
        }
        Err(gone) => {
            front.log_cancelled(&id, time);
            Err(gone)
        }
    }
}

impl Front {
    pub(super) fn id_of(&self, headers: &HeaderMap) -> Arc<str> {
        let id = headers
            .get(&self.shared.dialect.request_id)
            .and_then(|v| v.to_str().ok());
        id.unwrap_or("-").into()
    }

    /// Answers a request that may have waited unread for `waited`.
    pub(super) async fn answer(
        self: &Rc<Front>,
        head: Parts,
        body: Option<Incoming>,
        forwarded: Option<Forwarded>,
        waited: Duration,
    ) -> RequestEnd {
        self.sync_links();
        let freshness = self.key_freshness();
        let view = self.shared.view.load_full();
        self.targets.prune(&view);
        self.sync_start_paces(&view);
        self.prune_tokens(&view);
        if self.rejects_new() {
            return decline("this host is about to end", Duration::ZERO);
        }
        if self.response_memory.is_pressed() {
            return decline("the host holds all responses that it may", FULL_RETRY_AFTER);
        }
        let credentials = (self.shared.dialect.parse_credentials)(&head.headers);
        let access = match self.authorize(&view, freshness, &head.headers, &head.uri, credentials) {
            Ok(access) => access,
            Err(e) => return self.access_denied(&e, &head.headers, &head.uri),
        };
        let caller_left = self
            .caller_time(&head.headers)
            .unwrap_or(access.route.timeout)
            .saturating_sub(waited);
        let remaining = caller_left.min(access.route.timeout.saturating_sub(waited));
        if remaining <= MIN_ATTEMPT_TIME {
            return refuse("too little time is left", OTHER_HOST_RETRY_AFTER);
        }
        let now = Instant::now();
        let times = Times {
            deadline: now + remaining,
            caller_deadline: now + caller_left,
            objective_end: now + access.route.objective.saturating_sub(waited),
        };
        let max_bytes = view.config.as_ref().map_or(0, |c| c.limits.body);
        let Some(_permit) = self.reserve_body(body.as_ref(), max_bytes) else {
            return decline("the host holds all bodies that it may", FULL_RETRY_AFTER);
        };
        let body = match read_body(body, max_bytes).await {
            Ok(body) => body,
            Err(end) => return end,
        };
        let affinity_key = (self.shared.dialect.affinity_key)(&head.headers).unwrap_or_default();
        let fingerprint = fingerprint(&head, &body, &access, affinity_key);
        let outbound = OutboundRequest {
            forwarded,
            ..self.outbound_request(head, fingerprint, credentials, body, &times)
        };
        let end = self.run(&outbound).await;
        if let Some(workspace) = &access.workspace {
            let is_limited = end.outcome == Outcome::Limited;
            self.shared.meters.workspace(&workspace.name, is_limited);
        }
        RequestEnd {
            deadline: Some(times.deadline),
            ..end
        }
    }

    /// Returns the remaining time that the caller's header states.
    pub(super) fn caller_time(&self, headers: &HeaderMap) -> Option<Duration> {
        let left = headers.get(&self.shared.dialect.time_left);
        let left = left.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
        left.map(Duration::from_millis)
    }

    /// Reserves memory for a body of the length that its headers state, or else of the maximum
    /// allowed length.
    fn reserve_body(&self, body: Option<&Incoming>, max_bytes: usize) -> Option<BodyPermit<'_>> {
        let bytes = body.map_or(0, |body| {
            body.size_hint().upper().unwrap_or(max_bytes as u64)
        });
        let bytes = bytes.min(max_bytes as u64);
        let is_reserved = self.body_budget.borrow_mut().try_reserve(bytes);
        is_reserved.then_some(BodyPermit { front: self, bytes })
    }

    fn outbound_request(
        &self,
        head: Parts,
        fingerprint: Fingerprint,
        credentials: Credentials,
        body: Bytes,
        times: &Times,
    ) -> OutboundRequest {
        let id = self.id_of(&head.headers);
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        OutboundRequest {
            id,
            fingerprint,
            method: head.method,
            uri: head.uri,
            headers,
            credentials,
            body,
            deadline: times.deadline,
            caller_deadline: times.caller_deadline,
            objective_end: times.objective_end,
            forwarded: None,
            unlogged: RefCell::default(),
        }
    }

    /// Sends a request to targets until one answers or it must be given up.
    async fn run(self: &Rc<Front>, outbound: &OutboundRequest) -> RequestEnd {
        let mut state = RetryState::open(outbound.forwarded.as_ref());
        loop {
            // The view may have changed since the last attempt, and with it the route.
            let freshness = self.key_freshness();
            let view = self.shared.view.load_full();
            let access = self.authorize(
                &view,
                freshness,
                &outbound.headers,
                &outbound.uri,
                outbound.credentials,
            );
            let ended = match &access {
                Ok(access) => {
                    self.attempt_if_admitted(&view, access, outbound, &mut state)
                        .await
                }
                Err(e) if state.may_have_run => Some(lost(e.to_string())),
                Err(e) => Some(self.access_denied(e, &outbound.headers, &outbound.uri)),
            };
            if let Some(end) = ended {
                let tried: Vec<_> = state.tried.iter().map(|id| &**id).collect();
                return RequestEnd {
                    fingerprint: Some(outbound.fingerprint),
                    tried: tried.join(","),
                    unlogged: outbound.unlogged.take(),
                    ..end
                };
            }
        }
    }

    /// Makes one attempt; returns `None` if another may follow.
    pub(super) async fn step(
        self: &Rc<Front>,
        view: &View,
        access: &Access,
        outbound: &OutboundRequest,
        state: &mut RetryState,
    ) -> Option<RequestEnd> {
        let route = &access.route;
        if access.has_no_region() {
            return Some(state.give_up(
                "no region is a home of its route and workspace",
                MAX_BACKOFF,
            ));
        }
        let hash =
            select::affinity_hash(route, (self.shared.dialect.affinity_key)(&outbound.headers));
        let Some(service) = select::pick_service(route, hash) else {
            return Some(state.give_up("the route has no service", MAX_BACKOFF));
        };
        if !std::mem::replace(&mut state.in_budget, true) {
            self.note_first_attempt(service);
        }
        let origin = outbound.forwarded.as_ref().map(|f| &f.region);
        let excluded = state.excluded.clone();
        let criteria = Criteria {
            service,
            affinity_hash: hash,
            draw: rand::random(),
            region: origin.unwrap_or(&self.shared.settings.region),
            excluded: &excluded,
        };
        let selected = match self.select_asking(view, access, &criteria).await {
            Ok(selected) => selected,
            // None was reached so far: the check may find that the links are lost.
            Err(NoTarget::Absent) if state.delivered == 0 && self.finds_loss(state).await => {
                return None;
            }
            Err(none) => return Some(state.give_up(&none.to_string(), none.retry_after())),
        };
        let place = (access, service);
        if let Some((cause, retry)) = self.shed_cause(access, service, &selected, outbound) {
            selected.handle.cancel_selection();
            return Some(self.give_up_full(place, outbound, state, (&cause, retry, true)));
        }
        if state.delivered > 0
            && let Some(cause) = self.retry_refused(access, service, &selected, outbound)
        {
            selected.handle.cancel_selection();
            return Some(self.give_up_full(place, outbound, state, (&cause, MIN_BACKOFF, false)));
        }
        state.set_spent(true);
        let (selected, result) = self
            .attempt_twice(access, &criteria, selected, outbound, state)
            .await;
        let may_have_run = !matches!(
            result,
            AttemptResult::Rerouted | AttemptResult::NotSent(_) | AttemptResult::NotRun(_)
        );
        state.set_spent(may_have_run || state.may_have_run);
        self.after_attempt(access, &selected, outbound, state, result)
    }

    /// Updates the state after an attempt, and returns the result if the request is complete.
    pub(super) fn after_attempt(
        &self,
        access: &Access,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
        state: &mut RetryState,
        result: AttemptResult,
    ) -> Option<RequestEnd> {
        let target = &selected.handle.target;
        if !matches!(result, AttemptResult::Answered(_) | AttemptResult::Rerouted) {
            state.tried.insert(Arc::clone(&target.id));
        }
        let is_shed = matches!(result, AttemptResult::NotRun(_));
        let cause = match result {
            AttemptResult::Answered(response) => {
                let mut end = answered(response);
                // The host that passes it on is bound by what the target says, too.
                if outbound.forwarded.is_some() && self.is_leaving(&selected.handle) {
                    LeavingTarget::of(target).insert(end.response.headers_mut());
                }
                return Some(end);
            }
            AttemptResult::TimedOut => return Some(late()),
            AttemptResult::Rerouted => return None,
            AttemptResult::NotSent(cause) => cause,
            AttemptResult::NotRun(cause) => {
                state.delivered += 1;
                cause
            }
            AttemptResult::Lost(cause) => {
                state.delivered += 1;
                state.may_have_run = true;
                cause
            }
        };
        // If all targets shed, the preferred target is no worse than another and is warm for this
        // affinity key.
        if !is_shed || !self.failures_common(&target.service) {
            state.excluded.insert(Arc::clone(&target.id));
        }
        self.log_failed_attempt(outbound, &cause, state.delivered);
        let ends = self.ends_after_failure(&access.route, outbound, state);
        ends.then(|| {
            let retry = self.retry_after(access, &target.service);
            let place = (access, &target.service);
            self.give_up_full(place, outbound, state, (&cause, retry, false))
        })
    }

    /// Whether no other attempt may follow one that failed.
    pub(super) fn ends_after_failure(
        &self,
        route: &Route,
        outbound: &OutboundRequest,
        state: &RetryState,
    ) -> bool {
        let ended = state.delivered >= route.attempts || !has_time(outbound);
        let once = state.may_have_run && !route.repeatable;
        ended || once
    }
}

/// Until when a request is worth an answer.
struct Times {
    /// The earlier of the caller's deadline and the route's timeout.
    deadline: Instant,
    /// The caller's own deadline.
    caller_deadline: Instant,
    /// Until when an answer is within the route's objective.
    objective_end: Instant,
}

/// Whether the connection closes behind the response because the caller says so, or speaks HTTP/1.0.
fn closes_behind(head: &Parts) -> bool {
    let options = head.headers.get_all(header::CONNECTION).iter();
    let asks_to_close = options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    asks_to_close || head.version == Version::HTTP_10
}

fn has_time(outbound: &OutboundRequest) -> bool {
    outbound.deadline.saturating_duration_since(Instant::now()) > MIN_ATTEMPT_TIME
}
