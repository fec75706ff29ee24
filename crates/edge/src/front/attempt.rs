//! One attempt to run a request at one target.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_decide::admit::direct::{Evidence, FailureRate};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use tokio::time::{Instant, error::Elapsed};

use super::{
    Front,
    access::Access,
    connection::{BufferedResponse, ExchangeError, TargetConnection},
    forward::Forwarded,
    request_log::Sent,
    select::SelectedTarget,
    targets::TargetHandle,
};
use crate::model::{Credentials, Fingerprint, Reported, Route};

/// How long a target must have been silent for a timeout to be a sign that it is gone. A target
/// that answers others is slow.
const SILENCE: Duration = Duration::from_millis(500);

/// A request as it is sent to targets.
#[derive(Debug)]
pub(super) struct OutboundRequest {
    pub(super) id: Arc<str>,
    /// Identity of the request across its repeats.
    pub(super) fingerprint: Fingerprint,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    /// Credentials of the caller.
    pub(super) credentials: Credentials,
    pub(super) body: Bytes,
    /// What the host that forwarded the request tells; `None` if it comes from a caller.
    pub(super) forwarded: Option<Forwarded>,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Instant,
    /// The caller's own deadline.
    pub(super) caller_deadline: Instant,
    /// Until when an answer is within the route's objective.
    pub(super) objective_end: Instant,
    /// Attempts that are not in a log line yet.
    pub(super) unlogged: RefCell<Vec<Sent>>,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    Answered(BufferedResponse),
    /// The target did not run it and never will.
    NotRun(String),
    /// Nothing was sent.
    NotSent(String),
    /// It may have run; the result is unknown.
    Lost(String),
    /// Timed out; it may have run.
    TimedOut,
    /// Nothing was sent, because the request must now go to another target.
    Rerouted,
}

impl Front {
    /// Sends a request to one target.
    pub(super) async fn attempt(
        self: &Rc<Front>,
        access: &Access,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
    ) -> AttemptResult {
        let route = &*access.route;
        let handle = &selected.handle;
        let _in_flight = handle.track_request();
        self.log_sent(access, selected, outbound);
        let (start, sent) = (Instant::now(), Cell::new(None));
        let exchange = self.exchange(access, selected, outbound, &sent);
        let exchanged = tokio::time::timeout_at(outbound.deadline, exchange).await;
        let examined = exchanged.as_ref().map(Result::as_ref);
        self.examine_target(handle, examined, sent.get().unwrap_or_default())
            .await;
        let (result, evidence) = match exchanged {
            Err(_) if sent.get().is_some() => (
                AttemptResult::TimedOut,
                self.timeout_evidence(route, start.elapsed()),
            ),
            Err(_) => (
                AttemptResult::NotSent("no connection in time".to_owned()),
                Some(Evidence::Down),
            ),
            Ok(Err(ExchangeError::Rerouted)) => (AttemptResult::Rerouted, None),
            Ok(Err(ExchangeError::NotSent(cause) | ExchangeError::Refused(cause))) => {
                (AttemptResult::NotSent(cause), Some(Evidence::Down))
            }
            Ok(Err(ExchangeError::Broken(cause))) => {
                let cause = broken_cause(&cause, sent.get().unwrap_or_default());
                (AttemptResult::Lost(cause), Some(Evidence::Bad))
            }
            Ok(Err(ExchangeError::Sent(cause))) => {
                (AttemptResult::Lost(cause), Some(Evidence::Bad))
            }
            Ok(Err(ExchangeError::NoRoom)) => {
                let cause = "the host holds all responses that it may".to_owned();
                (AttemptResult::Lost(cause), None)
            }
            Ok(Err(ExchangeError::Unreachable(cause))) => {
                (AttemptResult::Lost(cause), Some(Evidence::Down))
            }
            Ok(Ok(response)) => {
                let rate = (self.shared.dialect.parse_rate)(&response.headers);
                let (result, evidence) = self.classify(handle, outbound, response);
                let is_own = matches!(
                    result,
                    AttemptResult::Answered(_) | AttemptResult::NotRun(_)
                );
                if is_own && evidence != Some(Evidence::Down) {
                    self.record_rate(handle, rate);
                }
                (result, evidence)
            }
        };
        let mut evidence = evidence;
        if let AttemptResult::Answered(response) = &result {
            let (time, slots) = (start.elapsed(), handle.target.slots);
            if self
                .latency(&route.name)
                .is_slow(time, selected.busy, slots)
            {
                evidence = Some(Evidence::Bad);
            }
            self.record_time(&route.name, time, selected);
            // A failure may come at once, and says nothing about how long runs take.
            if response.status.is_success() {
                self.record_run(&route.name, time, selected);
            }
            handle.lost.borrow_mut().record_answer();
            self.record_success(outbound.fingerprint);
            self.record_served(&handle.target.service);
            self.shared
                .notices
                .record_answer(&handle.target, self.shared.now());
        }
        self.record_evidence(handle, evidence);
        result
    }

    /// Looks for signs that a target's process is gone, in an exchange that may have timed out.
    ///
    /// A connection that broke is followed by a check before the request may be sent again: a retry
    /// counts as sent after the crash only if the crash is known. The connection had rested for
    /// `rest`.
    async fn examine_target(
        self: &Rc<Front>,
        handle: &Rc<TargetHandle>,
        exchanged: Result<Result<&BufferedResponse, &ExchangeError>, &Elapsed>,
        rest: Duration,
    ) {
        match exchanged {
            // Another process answers at the address, over links that work.
            Ok(Ok(response)) if response.status == StatusCode::MISDIRECTED_REQUEST => {
                self.record_gone(handle);
            }
            Ok(Err(ExchangeError::Refused(_) | ExchangeError::Unreachable(_))) => {
                self.confirm_gone(handle).await;
            }
            Ok(Err(ExchangeError::Broken(_))) => self.examine_break(handle, rest).await,
            Ok(Err(ExchangeError::Sent(_))) => self.check_target(handle).await,
            Err(_) if handle.is_silent(SILENCE, self.shared.now()) => {
                let (front, handle) = (Rc::clone(self), Rc::clone(handle));
                tokio::task::spawn_local(async move { front.check_target(&handle).await });
            }
            Ok(Ok(_) | Err(_)) | Err(_) => {}
        }
    }

    /// Records the rate that a target's own response names.
    fn record_rate(&self, handle: &TargetHandle, reported: Reported<f64>) {
        let rate = match reported {
            Reported::Absent => None,
            Reported::Value(rate) => Some(rate),
            Reported::Malformed => {
                self.shared.meters.count("rate_malformed");
                return;
            }
        };
        let hosts = self.shared.view.load().sharer_count();
        let (mut known, now) = (handle.rate.borrow_mut(), self.shared.now());
        let before = known.rate();
        if known.record(rate, hosts, rand::random(), now) {
            log::info!(
                target: "belief", event = "target_rate", to = &*handle.target.id, from:? = before,
                rate:? = rate, hosts = hosts; "the target names another rate for all hosts"
            );
        }
    }

    /// Returns what a timeout indicates about the target: nothing, unless the attempt had as much
    /// time as a healthy target needs.
    ///
    /// Without this, targets that run many times slower would never be ejected, and the requests
    /// whose affinity key prefers them would time out one after the other.
    fn timeout_evidence(&self, route: &Route, time: Duration) -> Option<Evidence> {
        (time >= route.objective).then_some(Evidence::Bad)
    }

    /// Exchanges a request and a response on an idle connection, or on a new one. `sent` tells how
    /// long the connection had rested, once something may have been sent on it.
    async fn exchange(
        &self,
        access: &Access,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
        sent: &Cell<Option<Duration>>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let handle = &selected.handle;
        loop {
            let idle = self.take_kept(handle, access.route.repeatable);
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(selected).await?,
            };
            if !self.is_still_valid(access, selected, outbound) {
                return Err(ExchangeError::Rerouted);
            }
            let was_used = connection.is_used();
            let (rest, sent_at) = (connection.rest(), self.shared.now());
            sent.set(Some(rest));
            let run = handle.start_run(outbound.fingerprint, self.shared.clock);
            let on_head =
                |status, headers: &HeaderMap| self.record_notices(handle, status, headers);
            let request = self.request(access, handle, outbound);
            let exchanged = tokio::select! {
                exchanged = connection.exchange(request, &self.response_memory, on_head) => exchanged,
                () = wait_down(handle, &access.route) => Err(ExchangeError::Sent("the target is down".to_owned())),
            };
            match exchanged {
                Ok((response, is_reusable)) => {
                    self.record_rest(handle, rest, sent_at);
                    // What an answer to another request says of its run is not true of this one's.
                    if self.is_foreign(outbound, &response) {
                        return Err(ExchangeError::Sent("an answer to another request".into()));
                    }
                    match response.status {
                        // Another process than the expected one.
                        StatusCode::MISDIRECTED_REQUEST => run.withdraw(),
                        _ => run.finish(),
                    }
                    if is_reusable && self.matches_request(outbound, &response) {
                        handle.keep_idle(connection);
                    }
                    return Ok(response);
                }
                // The target closed an idle connection before anything was sent.
                Err(ExchangeError::NotSent(_)) if was_used => {
                    run.withdraw();
                    sent.set(None);
                }
                Err(e @ ExchangeError::NotSent(_)) => {
                    run.withdraw();
                    return Err(e);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Opens a connection and records the round-trip time to the target's region. The shortest time
    /// counts: longer ones include lost packets and delays of the target or of this host.
    async fn connect(&self, selected: &SelectedTarget) -> Result<TargetConnection, ExchangeError> {
        let start = Instant::now();
        let connection = self.open_connection(&selected.handle).await?;
        let time = start.elapsed();
        let mut rtts = self.region_rtts.borrow_mut();
        let rtt = rtts.entry(Arc::clone(&selected.region)).or_insert(time);
        *rtt = (*rtt).min(time);
        Ok(connection)
    }

    /// Opens a connection to a target, and records whether this host's links work.
    pub(super) async fn open_connection(
        &self,
        handle: &TargetHandle,
    ) -> Result<TargetConnection, ExchangeError> {
        let (links, begun) = (&self.shared.links, self.shared.now());
        let opened = TargetConnection::open(handle.target.address, &self.target_connections).await;
        match &opened {
            Ok(_) => links.record_open(),
            Err(_) => links.record_failure(begun),
        }
        opened
    }

    /// Whether the current view, and what the selected target has said since, would still send the
    /// request to it.
    ///
    /// Opening a connection between regions takes some hundred milliseconds. Without this check, a
    /// host that was cut off and has just received a newer configuration would send a request under
    /// the old one, even to a region where it may not run; and a target that started to drain would
    /// get one more.
    fn is_still_valid(
        &self,
        access: &Access,
        selected: &SelectedTarget,
        outbound: &OutboundRequest,
    ) -> bool {
        if self.is_closed(&selected.handle) {
            return false;
        }
        let freshness = self.key_freshness();
        let view = self.shared.view.load();
        if view.change == selected.change {
            return true;
        }
        let now = self.authorize(
            &view,
            freshness,
            &outbound.headers,
            &outbound.uri,
            outbound.credentials,
        );
        let target = &selected.handle.target;
        let list = view.services.get(&target.service);
        let is_listed = list.is_some_and(|list| list.iter().any(|k| k.target.id == target.id));
        is_listed && now.is_ok_and(|now| now == *access)
    }

    fn request(
        &self,
        access: &Access,
        handle: &TargetHandle,
        outbound: &OutboundRequest,
    ) -> Request<Full<Bytes>> {
        let dialect = &self.shared.dialect;
        let mut request = self.with_time_left(outbound);
        let headers = request.headers_mut();
        if access.requires_key {
            headers.remove(&dialect.credentials);
            headers.remove(&dialect.workspace);
        }
        let name = access
            .workspace
            .as_ref()
            .map(|w| HeaderValue::try_from(&*w.name));
        if let Some(Ok(name)) = name {
            headers.insert(&dialect.workspace, name);
        }
        if let Ok(id) = HeaderValue::try_from(&*handle.target.id) {
            headers.insert(&dialect.expected_target, id);
        }
        request
    }

    /// Returns the request as the caller sent it, with the time that is left.
    pub(super) fn with_time_left(&self, outbound: &OutboundRequest) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(outbound.body.clone()));
        *request.method_mut() = outbound.method.clone();
        *request.uri_mut() = outbound.uri.clone();
        *request.headers_mut() = outbound.headers.clone();
        let remaining = outbound
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        if let Ok(remaining) = HeaderValue::try_from(remaining.to_string()) {
            let headers = request.headers_mut();
            headers.insert(&self.shared.dialect.time_left, remaining);
        }
        request
    }

    /// Whether a response belongs to the request. A target may answer twice, and the second
    /// response comes where that of the next request is expected.
    fn matches_request(&self, outbound: &OutboundRequest, response: &BufferedResponse) -> bool {
        let echoed = response.headers.get(&self.shared.dialect.request_id);
        echoed.is_some_and(|id| id.as_bytes() == outbound.id.as_bytes())
    }

    /// Whether a response names another request.
    fn is_foreign(&self, outbound: &OutboundRequest, response: &BufferedResponse) -> bool {
        let has_id = response
            .headers
            .contains_key(&self.shared.dialect.request_id);
        has_id && !self.matches_request(outbound, response)
    }

    /// Classifies a response, and returns what it indicates about the target.
    fn classify(
        &self,
        handle: &TargetHandle,
        outbound: &OutboundRequest,
        response: BufferedResponse,
    ) -> (AttemptResult, Option<Evidence>) {
        let dialect = &self.shared.dialect;
        let load = (dialect.parse_load)(&response.headers);
        if let Some(load) = load {
            handle.record_load(load, self.shared.now());
            self.record_start_load(handle, load);
        }
        let status = response.status;
        if response.headers.contains_key(&dialect.not_run)
            || status == StatusCode::MISDIRECTED_REQUEST
        {
            let is_full = load.is_some_and(|l| l.running + l.waiting >= handle.target.slots);
            let evidence = match (status, is_full) {
                (StatusCode::MISDIRECTED_REQUEST, _) => Evidence::Down,
                // A target whose slots are all taken is right to shed.
                (_, true) => return (AttemptResult::NotRun(format!("{status}, full")), None),
                _ => Evidence::Bad,
            };
            return (
                AttemptResult::NotRun(format!("{status}, not run")),
                Some(evidence),
            );
        }
        if !self.matches_request(outbound, &response) {
            return (
                AttemptResult::Lost("an answer to another request".into()),
                Some(Evidence::Bad),
            );
        }
        let is_signed = response.headers.contains_key(&dialect.signature);
        let is_encoded = response.headers.contains_key(header::CONTENT_ENCODING);
        if is_encoded || (status.is_success() && !is_signed) {
            return (
                AttemptResult::Lost("not the target's own answer".into()),
                Some(Evidence::Bad),
            );
        }
        // These statuses would tell the caller that nothing ran, which the target has not said.
        let claims_not_run = [408, 429, 503].contains(&status.as_u16());
        if claims_not_run {
            return (
                AttemptResult::Lost(format!("{status} of a run")),
                Some(Evidence::Bad),
            );
        }
        let evidence = match status.is_server_error() {
            true => Evidence::Bad,
            false => Evidence::Good,
        };
        (AttemptResult::Answered(response), Some(evidence))
    }

    /// Whether failures are so common among the targets of a service that another target is no
    /// better.
    pub(super) fn failures_common(&self, service: &Arc<str>) -> bool {
        let rates = self.failure_rates.borrow();
        rates.get(service).is_some_and(FailureRate::is_high)
    }

    pub(super) fn record_evidence(
        self: &Rc<Front>,
        handle: &Rc<TargetHandle>,
        evidence: Option<Evidence>,
    ) {
        let mut ejection = handle.ejection.borrow_mut();
        // Failures over lost links say nothing about the target.
        let evidence = evidence.filter(|e| *e == Evidence::Good || !self.shared.links.is_lost());
        let Some(evidence) = evidence else {
            ejection.cancel_probe();
            return;
        };
        let mut rates = self.failure_rates.borrow_mut();
        let rate = rates.entry(Arc::clone(&handle.target.service)).or_default();
        rate.record(evidence);
        let was_ejected = ejection.is_ejected();
        let is_new = ejection.on_end(evidence, *rate, self.shared.now());
        let is_common = rate.is_high();
        drop(rates);
        let (is_down, is_ejected) = (ejection.is_down(), ejection.is_ejected());
        drop(ejection);
        self.record_start_result(handle, evidence, is_common);
        match (was_ejected, is_ejected) {
            (true, false) => self.ramp_recovered(&handle.target.id, self.shared.now()),
            (false, true) => self.record_start_failure(&handle.target.id),
            _ => {}
        }
        if is_down && evidence == Evidence::Down {
            let (front, handle) = (Rc::clone(self), Rc::clone(handle));
            tokio::task::spawn_local(async move {
                if front.confirm_gone(&handle).await {
                    handle.close_idle();
                    handle.down_notify.notify_waiters();
                }
            });
        }
        if is_new {
            self.log_ejected(handle, evidence);
        }
    }
}

fn broken_cause(cause: &str, rest: Duration) -> String {
    match rest.as_millis() {
        0 => format!("{cause}, new connection"),
        ms => format!("{cause}, kept connection after {ms} ms"),
    }
}

/// Waits until the target is known to be down, if the request may then be retried elsewhere. A
/// request that is not idempotent keeps waiting: the target may still answer it.
async fn wait_down(handle: &TargetHandle, route: &Route) {
    match route.repeatable {
        true => handle.down_notify.notified().await,
        false => std::future::pending().await,
    }
}
