//! One request of a caller, from its head to its answer.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header, request::Parts};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::{
    Front,
    access::Rights,
    attempt::{Tried, Work},
    caller_stream::CallerStream,
    connection::strip,
    pipeline::Ahead,
    response::{End, answered, late, lost, refuse, whole_body},
    select::{self, NoPlace, Place},
    tokens::Token,
};
use crate::{
    model::{Credentials, Route},
    replica::View,
    trace::Outcome,
};

/// When a caller is told to come back after a refusal for want of room, at least: a target's slot
/// frees within this time.
pub(super) const LEAST_RETRY: Duration = Duration::from_millis(100);

/// And at most: longer, and callers with short deadlines would not come back at all.
pub(super) const MOST_RETRY: Duration = Duration::from_secs(1);

/// When a caller is told to come back while this host cannot serve and another may.
pub(super) const OTHER_HOST: Duration = Duration::from_millis(50);

/// When a caller is told to come back to a host that is full: idle connections are closed, and runs end,
/// within this time.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// How late an answer may be expected and still be worth a slot, in objectives of its route. While
/// there is more to do than slots, a late answer makes the next one late as well.
const PATIENCE: f64 = 2.5;

/// Least time that must be left for another run to be of use.
const LEAST_RUN: Duration = Duration::from_millis(50);

/// The caller closed its connection.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the caller has left")]
pub(super) struct Gone;

/// What the attempts of a request have led to.
#[derive(Debug, Default)]
struct Course {
    /// Targets that were asked.
    tried: BTreeSet<Arc<str>>,
    /// Those of them that are not asked again.
    passed: BTreeSet<Arc<str>>,
    /// Attempts that reached a target.
    arrived: u32,
    /// Whether one of them may have run the request.
    ran: bool,
    /// What the request needs to run, where its workspace has a limit.
    token: Option<Token>,
    /// Whether the request is counted among those that the retry budget follows.
    counted: bool,
}

impl Course {
    /// Notes whether the request's token is spent.
    fn spend(&self, is_spent: bool) {
        if let Some(token) = &self.token {
            token.spend(is_spent);
        }
    }

    /// Gives up. Only a request that certainly has not run is refused with the promise that it
    /// never will.
    fn give_up(&self, cause: &str, retry: Duration) -> End {
        match self.ran {
            true => lost(cause.to_owned()),
            false => refuse(cause, retry),
        }
    }
}

/// Counts a request while it is served.
struct Running<'a>(&'a Front);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Room for the body of a request, given back when dropped.
struct BodyRoom<'a> {
    front: &'a Front,
    bytes: u64,
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.front.bytes.borrow_mut().release(self.bytes);
    }
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Conn {
    pub(super) wire: CallerStream,
    pub(super) ahead: Ahead,
    /// How long the first request may have waited before the connection was accepted.
    pub(super) waited: Cell<Duration>,
    /// Whether the host was full when the connection was opened: it is refused and closed.
    pub(super) is_full: bool,
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
    let waited = conn.waited.take();
    // A caller that gave up while its request lay unread wants no answer, and a run for it would take
    // a slot from one that does.
    if conn.wire.is_closed() {
        front.left_unread(&id, waited);
        return Err(Gone);
    }
    let begins = body.is_end_stream();
    let answer = async {
        if conn.is_full {
            return refuse("the host holds all connections that it may", FULL_RETRY);
        }
        match conn.ahead.take(&id, &head).await {
            Some(end) => end,
            None => front.answer(head, Some(body), waited).await,
        }
    };
    let answered = tokio::select! {
        end = answer => Ok(end),
        gone = conn.ahead.watch(front, &conn.wire, begins) => Err(gone),
    };
    let time = front.shared.now() - start;
    match answered {
        Ok(end) => {
            front.told(&id, &end, time);
            let mut response = end.response;
            let closes =
                front.says_farewell() || conn.is_full || front.is_tight() || front.is_outdated();
            if closes && conn.ahead.is_empty() {
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
            .get(&self.shared.dialect.request_id)
            .and_then(|v| v.to_str().ok());
        id.unwrap_or("-").into()
    }

    /// Answers a request that may have waited unread for `waited`.
    pub(super) async fn answer(
        self: &Rc<Front>,
        head: Parts,
        body: Option<Incoming>,
        waited: Duration,
    ) -> End {
        let trust = self.trust();
        let view = self.shared.view.load_full();
        self.lanes.prune(&view);
        self.prune_tokens(&view);
        if self.is_closing() {
            return refuse("this host is about to end", Duration::ZERO);
        }
        let presented = (self.shared.dialect.parse_credentials)(&head.headers);
        let rights = match self.rights(&view, trust, &head.headers, &head.uri, presented) {
            Ok(rights) => rights,
            Err(e) => return self.turn_away(&e, &head.uri),
        };
        let left = self.left_of(&head.headers, &rights.route);
        let left = left.saturating_sub(waited);
        if left <= LEAST_RUN {
            return refuse("too little time is left", OTHER_HOST);
        }
        let end = Instant::now() + left;
        let most = view.config.as_ref().map_or(0, |c| c.limits.body);
        let Some(_room) = self.body_room(body.as_ref(), most) else {
            return refuse("the host holds all bodies that it may", FULL_RETRY);
        };
        let body = match whole_body(body, most).await {
            Ok(body) => body,
            Err(end) => return end,
        };
        let work = self.work(head, presented, body, end);
        let end = self.run(&work).await;
        if let Some(workspace) = &rights.workspace {
            let is_limited = end.outcome == Outcome::Limited;
            self.shared.meters.workspace(&workspace.name, is_limited);
        }
        end
    }

    /// Time that the caller leaves, at most the route's.
    fn left_of(&self, headers: &HeaderMap, route: &Route) -> Duration {
        let left = headers.get(&self.shared.dialect.time_left);
        let left = left.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
        left.map_or(route.timeout, Duration::from_millis)
            .min(route.timeout)
    }

    /// Takes room for a body of the length that its head tells, or of the longest that is allowed.
    fn body_room(&self, body: Option<&Incoming>, most: usize) -> Option<BodyRoom<'_>> {
        let bytes = body.map_or(0, |body| body.size_hint().upper().unwrap_or(most as u64));
        let bytes = bytes.min(most as u64);
        let has_room = self.bytes.borrow_mut().try_reserve(bytes);
        has_room.then_some(BodyRoom { front: self, bytes })
    }

    fn work(&self, head: Parts, presented: Credentials, body: Bytes, end: Instant) -> Work {
        let id = self.id_of(&head.headers);
        let mut headers = head.headers;
        strip(&mut headers);
        headers.remove(header::EXPECT);
        Work {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            presented,
            body,
            end,
            unsaid: RefCell::default(),
        }
    }

    /// Sends a request to targets until one answers, or it must be given up.
    async fn run(self: &Rc<Front>, work: &Work) -> End {
        let mut course = Course::default();
        loop {
            // What is believed may have changed since the last attempt, the route too.
            let trust = self.trust();
            let view = self.shared.view.load_full();
            let rights = self.rights(&view, trust, &work.headers, &work.uri, work.presented);
            let ended = match &rights {
                Ok(rights) => self.admitted(&view, rights, work, &mut course).await,
                Err(e) if course.ran => Some(lost(e.to_string())),
                Err(e) => Some(self.turn_away(e, &work.uri)),
            };
            if let Some(end) = ended {
                let tried: Vec<_> = course.tried.iter().map(|id| &**id).collect();
                return End {
                    tried: tried.join(","),
                    unsaid: work.unsaid.take(),
                    ..end
                };
            }
        }
    }

    /// One attempt, if the workspace's limit lets the request run. One that may have run has been let.
    async fn admitted(
        self: &Rc<Front>,
        view: &View,
        rights: &Rights,
        work: &Work,
        course: &mut Course,
    ) -> Option<End> {
        let workspace = rights.workspace.as_ref().filter(|w| w.is_limited());
        if let Some(workspace) = workspace.filter(|_| !course.ran) {
            match self.admit(view, workspace, course.token.take()).await {
                Ok(token) => course.token = Some(token),
                Err(end) => return Some(end),
            }
        }
        self.step(view, rights, work, course).await
    }

    /// One attempt; `None` where another may follow.
    async fn step(
        &self,
        view: &View,
        rights: &Rights,
        work: &Work,
        course: &mut Course,
    ) -> Option<End> {
        let route = &rights.route;
        if rights.is_homeless() {
            return Some(
                course.give_up("no region is a home of its route and workspace", MOST_RETRY),
            );
        }
        let object = select::object(route, (self.shared.dialect.affinity_key)(&work.headers));
        let Some(service) = select::part(route, object) else {
            return Some(course.give_up("the route has no service", MOST_RETRY));
        };
        if !std::mem::replace(&mut course.counted, true) {
            self.first(service);
        }
        let place = match self.place(view, rights, service, object, &course.passed) {
            Ok(place) => place,
            Err(NoPlace::Nobody) => return Some(course.give_up("no target is left", MOST_RETRY)),
            Err(NoPlace::Cold) => return Some(course.give_up("all targets are cold", MOST_RETRY)),
        };
        if let Some((cause, retry)) = self.hopeless(rights, service, &place, work) {
            place.lane.aside.borrow_mut().cancel_probe();
            return Some(course.give_up(&cause, retry));
        }
        if course.arrived > 0 && !self.second(service, view.sharer_count(), rights.rank()) {
            place.lane.aside.borrow_mut().cancel_probe();
            return Some(course.give_up("the retry budget is spent", LEAST_RETRY));
        }
        course.spend(true);
        let tried = self.attempt(rights, &place, work).await;
        let ran = !matches!(tried, Tried::Moved | Tried::Unsent(_) | Tried::Unrun(_));
        course.spend(ran || course.ran);
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
        let target = &place.lane.target;
        if !matches!(tried, Tried::Answered(_) | Tried::Moved) {
            course.tried.insert(Arc::clone(&target.id));
        }
        let is_shed = matches!(tried, Tried::Unrun(_));
        let cause = match tried {
            Tried::Answered(whole) => return Some(answered(whole)),
            Tried::Late => return Some(late()),
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
        // Where all targets shed, its own one is no worse than another, and has the object at hand.
        if !is_shed || !self.is_bad_common(&target.service) {
            course.passed.insert(Arc::clone(&target.id));
        }
        self.repeats(work, &cause, course.arrived);
        let ended = course.arrived >= route.attempts || !has_time(work);
        let once = course.ran && !route.repeatable;
        (ended || once).then(|| course.give_up(&cause, LEAST_RETRY))
    }

    /// Refuses at once what could not be answered before its caller leaves, and what would take the room
    /// of more urgent requests. Run all the same, it would take a slot from one that can.
    fn hopeless(
        &self,
        rights: &Rights,
        service: &Arc<str>,
        place: &Place,
        work: &Work,
    ) -> Option<(String, Duration)> {
        let (route, slots) = (&rights.route, place.lane.target.slots);
        let left = work.end.saturating_duration_since(Instant::now());
        let forecast = self.forecast(&route.name);
        let whole = forecast.concurrency_limit(slots, left.min(route.objective.mul_f64(PATIENCE)));
        let room = self.room_of(rights, service, place, whole);
        if place.busy < room {
            return None;
        }
        let wait = forecast.queue_delay(place.busy, slots);
        let why = match place.busy < whole {
            true => ", the rest of its queue is for more urgent ones",
            false => "",
        };
        let cause = format!(
            "{} has {} for {slots} slots{why}",
            place.lane.target.id, place.busy
        );
        Some((cause, wait.clamp(LEAST_RETRY, MOST_RETRY)))
    }

    /// Requests that a target may have for one more of a rank, where it may have `whole` for one of the
    /// most urgent.
    fn room_of(&self, rights: &Rights, service: &Arc<str>, place: &Place, whole: u32) -> u32 {
        let (now, rank) = (self.shared.now(), rights.rank());
        let mut all = self.ranks.borrow_mut();
        let ranks = all.entry(Arc::clone(service)).or_default();
        let slots = place.lane.target.slots;
        let room = ranks.concurrency_limit(rank, whole, slots, rand::random(), now);
        ranks.record(rank, place.busy >= room, now);
        room
    }
}

fn has_time(work: &Work) -> bool {
    work.end.saturating_duration_since(Instant::now()) > LEAST_RUN
}
