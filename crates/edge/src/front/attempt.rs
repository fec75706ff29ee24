//! One attempt at one target.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_decide::admit::direct::{Evidence, FailureRate};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use tokio::time::Instant;

use super::{
    Front,
    access::Rights,
    connection::{Broken, Link, Whole},
    request_log::Sent,
    select::Place,
    targets::Lane,
};
use crate::model::{Credentials, Route};

/// What is sent to targets.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) id: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    /// How the caller said who it is.
    pub(super) presented: Credentials,
    pub(super) body: Bytes,
    /// When the caller stops waiting, or the route's timeout is over.
    pub(super) end: Instant,
    /// Sends that no log line tells yet.
    pub(super) unsaid: RefCell<Vec<Sent>>,
}

/// How one attempt ended.
pub(super) enum Tried {
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

impl Front {
    /// Sends a request to one target.
    pub(super) async fn attempt(&self, rights: &Rights, place: &Place, work: &Work) -> Tried {
        let route = &*rights.route;
        let lane = &place.lane;
        let _visit = lane.enter();
        self.sends(rights, place, work);
        let (start, sent) = (Instant::now(), Cell::new(false));
        let exchange = self.exchange(rights, place, work, &sent);
        let exchanged = tokio::time::timeout_at(work.end, exchange).await;
        let (tried, evidence) = match exchanged {
            Err(_) if sent.get() => (Tried::Late, self.blames(route, start.elapsed())),
            Err(_) => (
                Tried::Unsent("no connection in time".to_owned()),
                Some(Evidence::Down),
            ),
            Ok(Err(Broken::Moved)) => (Tried::Moved, None),
            Ok(Err(Broken::Unsent(cause))) => (Tried::Unsent(cause), Some(Evidence::Down)),
            Ok(Err(Broken::Sent(cause))) => (Tried::Lost(cause), Some(Evidence::Bad)),
            Ok(Err(Broken::Silent(cause))) => (Tried::Lost(cause), Some(Evidence::Down)),
            Ok(Ok(whole)) => self.judge(lane, work, whole),
        };
        let mut evidence = evidence;
        if matches!(tried, Tried::Answered(_)) {
            let (time, slots) = (start.elapsed(), lane.target.slots);
            if self.forecast(&route.name).is_slow(time, place.busy, slots) {
                evidence = Some(Evidence::Bad);
            }
            self.note_time(&route.name, time, place);
        }
        self.learn(lane, evidence);
        tried
    }

    /// What a request that got no answer in time says about its target: something only if it had the
    /// time that a sound one needs.
    ///
    /// Load: targets that run many times slower. Without this nothing ever spoke against them, and
    /// their objects' requests ended at them, late, one after the other.
    fn blames(&self, route: &Route, time: Duration) -> Option<Evidence> {
        (time >= route.objective).then_some(Evidence::Bad)
    }

    /// Exchanges on a kept connection, or on a new one.
    async fn exchange(
        &self,
        rights: &Rights,
        place: &Place,
        work: &Work,
        sent: &Cell<bool>,
    ) -> Result<Whole, Broken> {
        let lane = &place.lane;
        loop {
            let kept = lane.take();
            let mut link = match kept {
                Some(link) => link,
                None => self.connect(place).await?,
            };
            if !self.still_allows(rights, place, work) {
                return Err(Broken::Moved);
            }
            let was_used = link.is_used();
            sent.set(true);
            let exchanged = tokio::select! {
                exchanged = link.exchange(self.request(rights, lane, work)) => exchanged,
                () = fell(lane, &rights.route) => Err(Broken::Sent("the target is down".to_owned())),
            };
            match exchanged {
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

    /// Opens a connection, and notes how long the way takes. The shortest time counts: longer ones hold
    /// lost packets, and the target's and this host's own delays.
    async fn connect(&self, place: &Place) -> Result<Link, Broken> {
        let start = Instant::now();
        let link = Link::open(place.lane.target.address, &self.links).await?;
        let time = start.elapsed();
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(Arc::clone(&place.region)).or_insert(time);
        *way = (*way).min(time);
        Ok(link)
    }

    /// Whether what is believed now still sends the request where it is about to go.
    ///
    /// Opening a connection between regions takes some hundred milliseconds. A host that was cut off
    /// and has just learned of a newer configuration would send a request by the old one, also out
    /// of the regions that may run it; a target that began to leave would get one more.
    fn still_allows(&self, rights: &Rights, place: &Place, work: &Work) -> bool {
        let trust = self.trust();
        let view = self.shared.view.load();
        if view.change == place.number {
            return true;
        }
        let now = self.rights(&view, trust, &work.headers, &work.uri, work.presented);
        let target = &place.lane.target;
        let listed = view.services.get(&target.service);
        let listed = listed.is_some_and(|list| list.iter().any(|k| k.target.id == target.id));
        listed && now.is_ok_and(|now| now == *rights)
    }

    fn request(&self, rights: &Rights, lane: &Lane, work: &Work) -> Request<Full<Bytes>> {
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
        if rights.guarded {
            headers.remove(&dialect.credentials);
            headers.remove(&dialect.workspace);
        }
        let name = rights
            .workspace
            .as_ref()
            .map(|w| HeaderValue::try_from(&*w.name));
        if let Some(Ok(name)) = name {
            headers.insert(&dialect.workspace, name);
        }
        if let Ok(left) = HeaderValue::try_from(left.to_string()) {
            headers.insert(&dialect.time_left, left);
        }
        if let Ok(id) = HeaderValue::try_from(&*lane.target.id) {
            headers.insert(&dialect.expected_target, id);
        }
        request
    }

    /// Whether an answer belongs to a request. A target may answer twice, and the second answer
    /// comes where that of the next request is expected.
    fn is_own(&self, work: &Work, whole: &Whole) -> bool {
        let echoed = whole.headers.get(&self.shared.dialect.request_id);
        echoed.is_some_and(|id| id.as_bytes() == work.id.as_bytes())
    }

    /// Tells what an answer is worth, and what it says about the target.
    fn judge(&self, lane: &Lane, work: &Work, whole: Whole) -> (Tried, Option<Evidence>) {
        let dialect = &self.shared.dialect;
        let load = (dialect.parse_load)(&whole.headers);
        if let Some(load) = load {
            lane.report(load, self.shared.now());
        }
        let status = whole.status;
        if whole.headers.contains_key(&dialect.not_run) || status == StatusCode::MISDIRECTED_REQUEST
        {
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
        let stamped = whole.headers.contains_key(&dialect.signature);
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

    /// Whether the targets of a service turn so much away that another one is no better.
    pub(super) fn is_bad_common(&self, service: &Arc<str>) -> bool {
        let shares = self.bad.borrow();
        shares.get(service).is_some_and(FailureRate::is_high)
    }

    fn learn(&self, lane: &Lane, evidence: Option<Evidence>) {
        let mut aside = lane.aside.borrow_mut();
        let Some(evidence) = evidence else {
            aside.cancel_probe();
            return;
        };
        let mut shares = self.bad.borrow_mut();
        let share = shares.entry(Arc::clone(&lane.target.service)).or_default();
        share.record(evidence);
        let is_new = aside.on_end(evidence, *share, self.shared.now());
        drop(shares);
        let is_down = aside.is_down();
        drop(aside);
        if is_down && evidence == Evidence::Down {
            lane.close();
            lane.fell.notify_waiters();
        }
        if is_new {
            self.set_aside(lane, evidence);
        }
    }
}

/// Waits until the target is known to be down, for a request that may then run elsewhere. One that
/// may run once only is better left waiting: the target may yet answer it.
async fn fell(lane: &Lane, route: &Route) {
    match route.repeatable {
        true => lane.fell.notified().await,
        false => std::future::pending().await,
    }
}
