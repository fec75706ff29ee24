//! One request of a caller, from its head to its answer.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_decide::admit::direct::Evidence;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    Front,
    ahead::Ahead,
    lanes::Lane,
    link::{Broken, Link, Whole, pass_on, strip},
    place::{self, NoPlace, Place},
    wire::Wire,
};
use crate::{model::Route, trace::Outcome, world::View};

/// When a caller is told to come back after a refusal for want of room, at least: a target's slot
/// frees within this time.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// And at most: longer, and callers with short deadlines would not come back at all.
const MOST_RETRY: Duration = Duration::from_secs(1);

/// When a caller is told to come back while this host cannot serve and another may.
const OTHER_HOST: Duration = Duration::from_millis(50);

/// How late an answer may be expected and still be worth a slot, in objectives of its route. While
/// there is more to do than slots, a late answer makes the next one late as well.
const PATIENCE: f64 = 1.25;

/// Least time that must be left for another run to be of use.
const LEAST_RUN: Duration = Duration::from_millis(50);

/// The caller closed its connection.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the caller has left")]
pub(super) struct Gone;

/// What is sent to targets.
#[derive(Debug)]
struct Work {
    id: Arc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// When the caller stops waiting, or the route's timeout is over.
    end: Instant,
}

/// How a request ended, for logs and metrics.
#[derive(Debug)]
pub(super) struct End {
    pub(super) outcome: Outcome,
    pub(super) cause: String,
    /// Targets that were tried, in the order of their ids.
    pub(super) tried: String,
    pub(super) response: Response<Full<Bytes>>,
}

/// What the attempts of a request have led to.
#[derive(Debug, Default)]
struct Course {
    /// Targets that are not asked again.
    tried: BTreeSet<Arc<str>>,
    /// Attempts that reached a target.
    arrived: u32,
    /// Whether one of them may have run the request.
    ran: bool,
    /// Whether the request is counted among those that the retry budget follows.
    counted: bool,
}

impl Course {
    /// Gives up. Only a request that certainly has not run is refused with the promise that it
    /// never will.
    fn give_up(&self, cause: &str, retry: Duration) -> End {
        match self.ran {
            true => lost(cause.to_owned()),
            false => refuse(cause, retry),
        }
    }
}

/// How one attempt ended.
enum Tried {
    Answered(Whole),
    /// It did not run and never will.
    Unrun(String),
    /// Nothing was sent.
    Unsent(String),
    /// It may have run.
    Lost(String),
    /// Its time is over, and it may have run.
    Late,
    /// Nothing was sent, as it is to go elsewhere by now.
    Moved,
}

/// Counts a request while it is served.
struct Running<'a>(&'a Front);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Conn {
    pub(super) wire: Wire,
    pub(super) ahead: Ahead,
}

/// Serves one request; an error closes the connection.
pub(super) async fn serve(
    front: &Rc<Front>,
    conn: &Conn,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Gone> {
    front.running.set(front.running.get() + 1);
    let _running = Running(front);
    let start = front.shared.now();
    let id = front.id_of(request.headers());
    let (head, body) = request.into_parts();
    let answer = async {
        match conn.ahead.take(&id, &head).await {
            Some(end) => end,
            None => front.answer(head, Some(body)).await,
        }
    };
    let answered = tokio::select! {
        end = answer => Ok(end),
        gone = conn.ahead.watch(front, &conn.wire) => Err(gone),
    };
    let time = front.shared.now() - start;
    match answered {
        Ok(end) => {
            front.told(&id, &end, time);
            let mut response = end.response;
            if front.says_farewell() && conn.ahead.is_empty() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response)
        }
        Err(gone) => {
            front.left(&id, time);
            Err(gone)
        }
    }
}

impl Front {
    pub(super) fn id_of(&self, headers: &HeaderMap) -> Arc<str> {
        let id = headers
            .get(&self.shared.dialect.id)
            .and_then(|v| v.to_str().ok());
        id.unwrap_or("-").into()
    }

    pub(super) async fn answer(&self, head: Parts, body: Option<Incoming>) -> End {
        let view = self.shared.view.load_full();
        self.lanes.prune(&view);
        let Some(config) = &view.config else {
            return refuse("no configuration is known yet", OTHER_HOST);
        };
        if self.is_closing() {
            return refuse("this host is about to end", Duration::ZERO);
        }
        let Some(route) = place::route(config, &head.headers, &head.uri) else {
            return no_route(&head.uri);
        };
        let body = match whole_body(body, config.limits.body).await {
            Ok(body) => body,
            Err(end) => return end,
        };
        let work = self.work(head, body, route);
        self.run(&work).await
    }

    fn work(&self, head: Parts, body: Bytes, route: &Route) -> Work {
        let left = head.headers.get(&self.shared.dialect.left);
        let left = left.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
        let left = left.map_or(route.timeout, Duration::from_millis);
        let id = self.id_of(&head.headers);
        let mut headers = head.headers;
        strip(&mut headers);
        headers.remove(header::EXPECT);
        Work {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            end: Instant::now() + left.min(route.timeout),
        }
    }

    /// Sends a request to targets until one answers, or it must be given up.
    async fn run(&self, work: &Work) -> End {
        let mut course = Course::default();
        loop {
            // What is believed may have changed since the last attempt, the route too.
            let view = self.shared.view.load_full();
            let config = view.config.as_ref();
            let Some(route) = config.and_then(|c| place::route(c, &work.headers, &work.uri)) else {
                return no_route(&work.uri);
            };
            if let Some(end) = self.step(&view, route, work, &mut course).await {
                let tried: Vec<_> = course.tried.iter().map(|id| &**id).collect();
                return End {
                    tried: tried.join(","),
                    ..end
                };
            }
        }
    }

    /// One attempt; `None` where another may follow.
    async fn step(
        &self,
        view: &View,
        route: &Arc<Route>,
        work: &Work,
        course: &mut Course,
    ) -> Option<End> {
        let object = place::object(route, (self.shared.dialect.object)(&work.headers));
        let Some(service) = place::part(route, object) else {
            return Some(course.give_up("the route has no service", MOST_RETRY));
        };
        if !std::mem::replace(&mut course.counted, true) {
            self.first(service);
        }
        let place = match self.place(view, route, service, object, &course.tried) {
            Ok(place) => place,
            Err(NoPlace::Nobody) => return Some(course.give_up("no target is left", MOST_RETRY)),
            Err(NoPlace::Cold) => return Some(course.give_up("all targets are cold", MOST_RETRY)),
        };
        if let Some((cause, retry)) = self.hopeless(route, &place, work) {
            place.lane.aside.borrow_mut().withdraw();
            return Some(course.give_up(&cause, retry));
        }
        if course.arrived > 0 && !self.second(service, view.sharers()) {
            place.lane.aside.borrow_mut().withdraw();
            return Some(course.give_up("the retry budget is spent", LEAST_RETRY));
        }
        let tried = self.attempt(route, &place, work).await;
        self.settle(route, &place, work, course, tried)
    }

    /// What follows from an attempt.
    fn settle(
        &self,
        route: &Route,
        place: &Place,
        work: &Work,
        course: &mut Course,
        tried: Tried,
    ) -> Option<End> {
        let cause = match tried {
            Tried::Answered(whole) => return Some(answered(whole)),
            Tried::Late => {
                course.tried.insert(Arc::clone(&place.lane.target.id));
                return Some(late());
            }
            Tried::Moved => return None,
            Tried::Unsent(cause) => cause,
            Tried::Unrun(cause) => {
                course.arrived += 1;
                cause
            }
            Tried::Lost(cause) => {
                course.arrived += 1;
                course.ran = true;
                cause
            }
        };
        course.tried.insert(Arc::clone(&place.lane.target.id));
        self.repeats(&work.id, &cause, course.arrived);
        let ended = course.arrived >= route.attempts || !has_time(work);
        let once = course.ran && !route.repeatable;
        (ended || once).then(|| course.give_up(&cause, LEAST_RETRY))
    }

    /// Refuses at once what could not be answered before its caller leaves. Run all the same, it
    /// would take a slot from one that can.
    fn hopeless(&self, route: &Route, place: &Place, work: &Work) -> Option<(String, Duration)> {
        let left = work.end.saturating_duration_since(Instant::now());
        let slots = place.lane.target.slots;
        let forecast = self.forecast(&route.name);
        if place.busy < forecast.room(slots, left.min(route.objective.mul_f64(PATIENCE))) {
            return None;
        }
        let wait = forecast.wait(place.busy, slots);
        let cause = format!(
            "{} has {} for {slots} slots",
            place.lane.target.id, place.busy
        );
        Some((cause, wait.clamp(LEAST_RETRY, MOST_RETRY)))
    }

    /// Sends a request to one target.
    async fn attempt(&self, route: &Route, place: &Place, work: &Work) -> Tried {
        let lane = &place.lane;
        let _visit = lane.enter();
        self.sends(
            &work.id,
            route,
            place,
            work.end.saturating_duration_since(Instant::now()),
        );
        let (start, sent) = (Instant::now(), Cell::new(false));
        let exchange = self.exchange(route, place, work, &sent);
        let exchanged = tokio::time::timeout_at(work.end, exchange).await;
        let (tried, evidence) = match exchanged {
            Err(_) if sent.get() => (Tried::Late, None),
            Err(_) => (
                Tried::Unsent("no connection in time".to_owned()),
                Some(Evidence::Down),
            ),
            Ok(Err(Broken::Moved)) => (Tried::Moved, None),
            Ok(Err(Broken::Unsent(cause))) => (Tried::Unsent(cause), Some(Evidence::Down)),
            Ok(Err(Broken::Sent(cause))) => (Tried::Lost(cause), Some(Evidence::Bad)),
            Ok(Ok(whole)) => self.judge(lane, work, whole),
        };
        if matches!(tried, Tried::Answered(_)) {
            self.note_time(&route.name, start.elapsed(), place);
        }
        self.learn(lane, evidence);
        tried
    }

    /// Exchanges on a kept connection, or on a new one.
    async fn exchange(
        &self,
        route: &Route,
        place: &Place,
        work: &Work,
        sent: &Cell<bool>,
    ) -> Result<Whole, Broken> {
        let lane = &place.lane;
        loop {
            let kept = lane.take();
            let mut link = match kept {
                Some(link) => link,
                None => Link::open(lane.target.address).await?,
            };
            if !self.still_allows(route, place, work) {
                return Err(Broken::Moved);
            }
            let was_used = link.is_used();
            sent.set(true);
            match link.exchange(self.request(lane, work)).await {
                Ok((whole, reusable)) => {
                    if reusable && self.is_own(work, &whole) {
                        lane.keep(link);
                    }
                    return Ok(whole);
                }
                // The target closed a kept connection before anything was sent.
                Err(Broken::Unsent(_)) if was_used => sent.set(false),
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether what is believed now still sends the request where it is about to go.
    ///
    /// Opening a connection between regions takes some hundred milliseconds. A host that was cut off
    /// and has just learned of a newer configuration would send a request by the old one, also out
    /// of the regions that may run it; a target that began to leave would get one more.
    fn still_allows(&self, route: &Route, place: &Place, work: &Work) -> bool {
        let view = self.shared.view.load();
        if view.number == place.number {
            return true;
        }
        let config = view.config.as_ref();
        let now = config.and_then(|c| place::route(c, &work.headers, &work.uri));
        let target = &place.lane.target;
        let listed = view.services.get(&target.service);
        let listed = listed.is_some_and(|list| list.iter().any(|k| k.target.id == target.id));
        listed && now.is_some_and(|now| **now == *route)
    }

    fn request(&self, lane: &Lane, work: &Work) -> Request<Full<Bytes>> {
        let dialect = &self.shared.dialect;
        let mut request = Request::new(Full::new(work.body.clone()));
        *request.method_mut() = work.method.clone();
        *request.uri_mut() = work.uri.clone();
        *request.headers_mut() = work.headers.clone();
        let left = work
            .end
            .saturating_duration_since(Instant::now())
            .as_millis();
        let headers = request.headers_mut();
        if let Ok(left) = HeaderValue::try_from(left.to_string()) {
            headers.insert(&dialect.left, left);
        }
        if let Ok(id) = HeaderValue::try_from(&*lane.target.id) {
            headers.insert(&dialect.expect, id);
        }
        request
    }

    /// Whether an answer belongs to a request. A target may answer twice, and the second answer
    /// comes where that of the next request is expected.
    fn is_own(&self, work: &Work, whole: &Whole) -> bool {
        let echoed = whole.headers.get(&self.shared.dialect.id);
        echoed.is_some_and(|id| id.as_bytes() == work.id.as_bytes())
    }

    /// Tells what an answer is worth, and what it says about the target.
    fn judge(&self, lane: &Lane, work: &Work, whole: Whole) -> (Tried, Option<Evidence>) {
        let dialect = &self.shared.dialect;
        let load = (dialect.load)(&whole.headers);
        if let Some(load) = load {
            lane.report(load, self.shared.now());
        }
        let status = whole.status;
        if whole.headers.contains_key(&dialect.unrun) || status == StatusCode::MISDIRECTED_REQUEST {
            let full = load.is_some_and(|l| l.running + l.waiting >= lane.target.slots);
            let evidence = match (status, full) {
                (StatusCode::MISDIRECTED_REQUEST, _) => Evidence::Down,
                // A target with all slots taken sheds rightly.
                (_, true) => return (Tried::Unrun(format!("{status}, full")), None),
                _ => Evidence::Bad,
            };
            return (Tried::Unrun(format!("{status}, not run")), Some(evidence));
        }
        if !self.is_own(work, &whole) {
            return (
                Tried::Lost("an answer to another request".into()),
                Some(Evidence::Bad),
            );
        }
        let stamped = whole.headers.contains_key(&dialect.stamp);
        let encoded = whole.headers.contains_key(header::CONTENT_ENCODING);
        if encoded || (status.is_success() && !stamped) {
            return (
                Tried::Lost("not the target's own answer".into()),
                Some(Evidence::Bad),
            );
        }
        // These would tell the caller that nothing ran, which the target has not said.
        let promises = [408, 429, 503].contains(&status.as_u16());
        if promises {
            return (
                Tried::Lost(format!("{status} of a run")),
                Some(Evidence::Bad),
            );
        }
        let evidence = match status.is_server_error() {
            true => Evidence::Bad,
            false => Evidence::Good,
        };
        (Tried::Answered(whole), Some(evidence))
    }

    fn learn(&self, lane: &Lane, evidence: Option<Evidence>) {
        let mut aside = lane.aside.borrow_mut();
        let Some(evidence) = evidence else {
            aside.withdraw();
            return;
        };
        if aside.end(evidence, self.shared.now()) {
            drop(aside);
            if evidence == Evidence::Down {
                lane.close();
            }
            self.set_aside(lane, evidence);
        }
    }
}

/// Reads a body of at most `most` bytes.
async fn whole_body(body: Option<Incoming>, most: usize) -> Result<Bytes, End> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(plain(
            StatusCode::PAYLOAD_TOO_LARGE,
            Outcome::BodyTooLarge,
            e.to_string(),
        )),
        Err(e) => Err(plain(
            StatusCode::BAD_REQUEST,
            Outcome::BodyUnreadable,
            e.to_string(),
        )),
    }
}

fn no_route(uri: &Uri) -> End {
    plain(StatusCode::NOT_FOUND, Outcome::NoRoute, uri.to_string())
}

fn has_time(work: &Work) -> bool {
    work.end.saturating_duration_since(Instant::now()) > LEAST_RUN
}

fn answered(whole: Whole) -> End {
    let outcome = match whole.status {
        status if status.is_success() => Outcome::Answered,
        _ => Outcome::FailedAtTarget,
    };
    let cause = whole.status.as_u16().to_string();
    End {
        outcome,
        cause,
        tried: String::new(),
        response: pass_on(whole),
    }
}

/// An answer of this host's own.
fn plain(status: StatusCode, outcome: Outcome, cause: String) -> End {
    let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", outcome.name()))));
    *response.status_mut() = status;
    End {
        outcome,
        cause,
        tried: String::new(),
        response,
    }
}

/// The request has not run and never will; the caller may come back.
fn refuse(cause: &str, retry: Duration) -> End {
    let mut end = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Refused,
        cause.to_owned(),
    );
    let seconds = format!("{:.2}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        end.response
            .headers_mut()
            .insert(header::RETRY_AFTER, value);
    }
    end
}

/// Nobody knows whether the request ran.
fn lost(cause: String) -> End {
    plain(StatusCode::BAD_GATEWAY, Outcome::Lost, cause)
}

/// The request was sent and its time is over.
fn late() -> End {
    plain(
        StatusCode::GATEWAY_TIMEOUT,
        Outcome::Late,
        "no answer in time".to_owned(),
    )
}
