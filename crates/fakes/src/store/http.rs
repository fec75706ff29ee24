//! The store's HTTP, after RFC 9110 (conditions) and RFC 7240 (`Prefer: wait`).

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::store::Keys;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;

use super::{
    OutageKind, Shared, StoreOptions,
    state::{Condition, State},
};
use crate::{
    answer::{Answer, Body, Closed, empty, json, number, param, read_body, text, whole},
    bucket::Bucket,
};

/// Header that ties a key to a lease.
const LEASE: &str = "store-lease";

/// Longest time a watch may ask to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(300);

/// Answers one request.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    if let Some(knob) = path.strip_prefix("/fake/") {
        return Ok(turn(&shared, knob, req.uri()));
    }
    if let Some(down) = fault(&shared) {
        return refuse(down);
    }
    if let Some(key) = path.strip_prefix("/v1/kv/").filter(|key| !key.is_empty()) {
        return match *req.method() {
            Method::GET => read(&shared, key, req.headers()).await,
            Method::PUT | Method::DELETE => write(&shared, key, req).await,
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if path == "/v1/keys" {
        return list(&shared, req.uri()).await;
    }
    match path.strip_prefix("/v1/leases") {
        Some(rest) => lease(&shared, rest.trim_start_matches('/'), &req).await,
        None => Ok(text(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Finds the fault in force and counts the call as failed.
fn fault(shared: &Shared) -> Option<OutageKind> {
    let mut state = shared.lock();
    let down = state.down;
    state.counts.failed += u64::from(down.is_some());
    down
}

fn refuse(down: OutageKind) -> Answer {
    match down {
        OutageKind::Unavailable => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "the store is down")),
        OutageKind::Close | OutageKind::Refuse => Err(Closed),
    }
}

/// Reads a key, and waits for a change of it where the caller asks so.
async fn read(shared: &Shared, key: &str, headers: &HeaderMap) -> Answer {
    let known = tag(headers, header::IF_NONE_MATCH.as_str());
    let wait = known.and(wait(headers));
    if let Some(res) = admit(shared, |state| {
        match wait {
            Some(_) => state.counts.watches += 1,
            None => state.counts.reads += 1,
        }
        &mut state.reads
    }) {
        return Ok(res);
    }
    pause(shared).await;
    let end = shared.now() + wait.unwrap_or_default();
    // Subscribed before the first look, so that no change falls between a look and a wait.
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let now = shared.now();
        let next = {
            let state = shared.current();
            if let Some(down) = state.down {
                return refuse(down);
            }
            if known != Some(state.version(key)) {
                return Ok(found(&state, key));
            }
            state.next_expiry().map_or(end, |due| due.min(end))
        };
        if now >= end {
            return Ok(unchanged(known.unwrap_or_default()));
        }
        let _ = tokio::time::timeout(next.saturating_sub(now), changed.changed()).await;
    }
}

fn found(state: &State, key: &str) -> Response<Body> {
    let mut res = match state.entry(key) {
        Some(entry) => Response::new(whole(entry.body.clone())),
        None => text(StatusCode::NOT_FOUND, "no such key"),
    };
    set_tag(&mut res, state.version(key));
    res
}

fn unchanged(version: u64) -> Response<Body> {
    let mut res = empty(StatusCode::NOT_MODIFIED);
    set_tag(&mut res, version);
    res
}

/// Writes or deletes a key where its condition holds.
async fn write(shared: &Shared, key: &str, req: Request<Incoming>) -> Answer {
    if let Some(res) = admit(shared, |state| {
        state.counts.writes += 1;
        &mut state.writes
    }) {
        return Ok(res);
    }
    let condition = match tag(req.headers(), header::IF_MATCH.as_str()) {
        Some(version) => Condition::Version(version),
        None if req.headers().contains_key(header::IF_MATCH) => {
            return Ok(text(StatusCode::BAD_REQUEST, "If-Match is not a version"));
        }
        None => Condition::Always,
    };
    let lease = req.headers().get(LEASE).and_then(|v| v.to_str().ok());
    let lease = lease.and_then(|id| id.parse::<u64>().ok());
    let delete = req.method() == Method::DELETE;
    let limit = shared.lock().options.value_bytes;
    let Some(body) = read_body(req, limit).await else {
        return Ok(text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the value is too large",
        ));
    };
    let (res, lost) = {
        let mut state = shared.current();
        if !state.holds(key, condition) {
            state.counts.conflicts += 1;
            (conflict(&state, key), false)
        } else if lease.is_some_and(|id| !state.has_lease(id)) {
            (text(StatusCode::NOT_FOUND, "no such lease"), false)
        } else {
            let res = match delete {
                true => deleted(&mut state, key),
                false => written(&mut state, key, body, lease),
            };
            let lost = state.lose > 0;
            state.lose -= u64::from(lost);
            state.counts.lost += u64::from(lost);
            (res, lost)
        }
    };
    shared.announce();
    pause(shared).await;
    let held = shared.lock().hold.as_deref() == Some(key);
    if held {
        std::future::pending::<()>().await;
    }
    if lost { Err(Closed) } else { Ok(res) }
}

fn written(state: &mut State, key: &str, body: bytes::Bytes, lease: Option<u64>) -> Response<Body> {
    let status = match state.entry(key) {
        Some(_) => StatusCode::OK,
        None => StatusCode::CREATED,
    };
    let version = state.write(key, body, lease);
    let mut res = empty(status);
    set_tag(&mut res, version);
    res
}

fn deleted(state: &mut State, key: &str) -> Response<Body> {
    match state.remove(key) {
        true => empty(StatusCode::NO_CONTENT),
        false => text(StatusCode::NOT_FOUND, "no such key"),
    }
}

fn conflict(state: &State, key: &str) -> Response<Body> {
    let mut res = text(StatusCode::PRECONDITION_FAILED, "the version differs");
    set_tag(&mut res, state.version(key));
    res
}

async fn list(shared: &Shared, uri: &Uri) -> Answer {
    if let Some(res) = admit(shared, |state| {
        state.counts.listings += 1;
        &mut state.reads
    }) {
        return Ok(res);
    }
    pause(shared).await;
    let prefix = param(uri, "prefix").unwrap_or_default();
    let keys = shared.current().keys(prefix);
    Ok(json(&Keys { keys }))
}

/// Grants, renews or ends a lease.
async fn lease(shared: &Shared, id: &str, req: &Request<Incoming>) -> Answer {
    if let Some(res) = admit(shared, |state| {
        state.counts.leases += 1;
        &mut state.writes
    }) {
        return Ok(res);
    }
    let now = shared.now();
    let res = match (req.method(), id.parse::<u64>()) {
        (&Method::POST, Ok(id)) => match shared.current().renew(id, now) {
            Some(lease) => json(&lease),
            None => text(StatusCode::NOT_FOUND, "no such lease"),
        },
        (&Method::DELETE, Ok(id)) => match shared.current().end_lease(id) {
            true => empty(StatusCode::NO_CONTENT),
            false => text(StatusCode::NOT_FOUND, "no such lease"),
        },
        (&Method::POST, Err(_)) if id.is_empty() => match number(req.uri(), "ttl_ms") {
            Some(ttl) => json(&shared.current().grant(Duration::from_millis(ttl), now)),
            None => text(StatusCode::BAD_REQUEST, "ttl_ms is missing"),
        },
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    };
    shared.announce();
    pause(shared).await;
    Ok(res)
}

/// Counts a call and takes a token for it; gives the refusal where there is none.
fn admit(shared: &Shared, count: impl FnOnce(&mut State) -> &mut Bucket) -> Option<Response<Body>> {
    let mut state = shared.lock();
    let wait = count(&mut state).take(shared.now()).err()?;
    state.counts.limited += 1;
    let mut res = text(StatusCode::TOO_MANY_REQUESTS, "over the rate limit");
    let after = wait.as_secs().saturating_add(1);
    res.headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(after));
    Some(res)
}

async fn pause(shared: &Shared) {
    let delay = shared.lock().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

/// Reads an entity tag that holds a version.
fn tag(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value = headers.get(name)?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}

/// Reads `wait=SECONDS` of a `Prefer` header.
fn wait(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("prefer")?.to_str().ok()?;
    let parts = value.split([',', ';']).map(str::trim);
    let seconds = parts.filter_map(|p| p.strip_prefix("wait=")).next()?;
    let wait = Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?;
    Some(wait.min(LONGEST_WAIT))
}

fn set_tag(res: &mut Response<Body>, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert(header::ETAG, value);
    }
}

/// Turns a fault on or off, or shows the counts.
fn turn(shared: &Shared, knob: &str, uri: &Uri) -> Response<Body> {
    match knob {
        "counts" => return json(&shared.lock().counts),
        "down" => shared.down(match param(uri, "how") {
            Some("close") => OutageKind::Close,
            _ => OutageKind::Unavailable,
        }),
        "up" => shared.up(),
        "slow" => {
            let ms = number(uri, "ms").unwrap_or_default();
            shared.lock().delay = Duration::from_millis(ms);
        }
        "lose" => shared.lock().lose = number(uri, "writes").unwrap_or(1),
        "lapse" => {
            let lapsed = number(uri, "lease").is_some_and(|id| shared.lock().end_lease(id));
            shared.announce();
            if !lapsed {
                return text(StatusCode::NOT_FOUND, "no such lease");
            }
        }
        "limit" => {
            let now = shared.now();
            let mut state = shared.lock();
            let old = state.options.clone();
            let options = StoreOptions {
                writes: number(uri, "writes").unwrap_or(old.writes),
                reads: number(uri, "reads").unwrap_or(old.reads),
                burst: number(uri, "burst").unwrap_or(old.burst),
                ..old
            };
            state.set_limits(options, now);
        }
        _ => return text(StatusCode::NOT_FOUND, "no such knob"),
    }
    empty(StatusCode::NO_CONTENT)
}
