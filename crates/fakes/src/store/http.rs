//! HTTP interface of the store, following RFC 9110 (conditional requests) and RFC 7240
//! (`Prefer: wait`).

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::store::Keys;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;

use super::{
    OutageKind, Shared, StoreOptions,
    state::{Precondition, State},
};
use crate::{
    response::{
        Body, ConnectionAborted, HandlerResult, empty, full_body, json, number, param, read_body,
        text,
    },
    token_bucket::TokenBucket,
};

/// Header that ties a key to a lease.
const LEASE: &str = "store-lease";

/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// Handles one request.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    if let Some(control) = path.strip_prefix("/fake/") {
        return Ok(handle_control(&shared, control, req.uri()));
    }
    if let Some(down) = active_outage(&shared) {
        return outage_response(down);
    }
    if let Some(key) = path.strip_prefix("/v1/kv/").filter(|key| !key.is_empty()) {
        return match *req.method() {
            Method::GET => read(&shared, key, req.headers()).await,
            Method::PUT | Method::DELETE => write(&shared, key, req).await,
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if path == "/v1/keys" {
        return list_keys(&shared, req.uri()).await;
    }
    match path.strip_prefix("/v1/leases") {
        Some(rest) => lease(&shared, rest.trim_start_matches('/'), &req).await,
        None => Ok(text(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Returns the active outage, if any, and counts the call as failed.
fn active_outage(shared: &Shared) -> Option<OutageKind> {
    let mut state = shared.lock();
    let down = state.down;
    state.counts.failed += u64::from(down.is_some());
    down
}

fn outage_response(down: OutageKind) -> HandlerResult {
    match down {
        OutageKind::Unavailable => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "the store is down")),
        OutageKind::Close | OutageKind::Refuse => Err(ConnectionAborted),
    }
}

/// Reads a key. With `If-None-Match` and `Prefer: wait`, waits for a change of it first.
async fn read(shared: &Shared, key: &str, headers: &HeaderMap) -> HandlerResult {
    let known = etag_version(headers, header::IF_NONE_MATCH.as_str());
    let wait = known.and(wait(headers));
    if let Some(res) = check_rate(shared, |state| {
        match wait {
            Some(_) => state.counts.watches += 1,
            None => state.counts.reads += 1,
        }
        &mut state.reads
    }) {
        return Ok(res);
    }
    apply_delay(shared).await;
    let end = shared.now() + wait.unwrap_or_default();
    // Subscribes before the first read, so that no change is missed between a read and a wait.
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let now = shared.now();
        let next = {
            let state = shared.current();
            if let Some(down) = state.down {
                return outage_response(down);
            }
            if known != Some(state.version(key)) {
                return Ok(value_response(&state, key));
            }
            state.next_expiry().map_or(end, |due| due.min(end))
        };
        if now >= end {
            return Ok(not_modified(known.unwrap_or_default()));
        }
        let _ = tokio::time::timeout(next.saturating_sub(now), changed.changed()).await;
    }
}

fn value_response(state: &State, key: &str) -> Response<Body> {
    let mut res = match state.entry(key) {
        Some(entry) => Response::new(full_body(entry.body.clone())),
        None => text(StatusCode::NOT_FOUND, "no such key"),
    };
    set_etag(&mut res, state.version(key));
    res
}

fn not_modified(version: u64) -> Response<Body> {
    let mut res = empty(StatusCode::NOT_MODIFIED);
    set_etag(&mut res, version);
    res
}

/// Writes or deletes a key if its precondition holds.
async fn write(shared: &Shared, key: &str, req: Request<Incoming>) -> HandlerResult {
    if let Some(res) = check_rate(shared, |state| {
        state.counts.writes += 1;
        &mut state.writes
    }) {
        return Ok(res);
    }
    let precondition = match etag_version(req.headers(), header::IF_MATCH.as_str()) {
        Some(version) => Precondition::Version(version),
        None if req.headers().contains_key(header::IF_MATCH) => {
            return Ok(text(StatusCode::BAD_REQUEST, "If-Match is not a version"));
        }
        None => Precondition::Always,
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
    let (res, dropped) = {
        let mut state = shared.current();
        if !state.holds(key, precondition) {
            state.counts.conflicts += 1;
            (precondition_failed(&state, key), false)
        } else if lease.is_some_and(|id| !state.has_lease(id)) {
            (text(StatusCode::NOT_FOUND, "no such lease"), false)
        } else {
            let res = match delete {
                true => deleted(&mut state, key),
                false => written(&mut state, key, body, lease),
            };
            let dropped = state.drop_next > 0;
            state.drop_next -= u64::from(dropped);
            state.counts.lost += u64::from(dropped);
            (res, dropped)
        }
    };
    shared.announce();
    apply_delay(shared).await;
    let withheld = shared.lock().withheld_key.as_deref() == Some(key);
    if withheld {
        std::future::pending::<()>().await;
    }
    if dropped {
        Err(ConnectionAborted)
    } else {
        Ok(res)
    }
}

fn written(state: &mut State, key: &str, body: bytes::Bytes, lease: Option<u64>) -> Response<Body> {
    let status = match state.entry(key) {
        Some(_) => StatusCode::OK,
        None => StatusCode::CREATED,
    };
    let version = state.write(key, body, lease);
    let mut res = empty(status);
    set_etag(&mut res, version);
    res
}

fn deleted(state: &mut State, key: &str) -> Response<Body> {
    match state.remove(key) {
        true => empty(StatusCode::NO_CONTENT),
        false => text(StatusCode::NOT_FOUND, "no such key"),
    }
}

fn precondition_failed(state: &State, key: &str) -> Response<Body> {
    let mut res = text(StatusCode::PRECONDITION_FAILED, "the version differs");
    set_etag(&mut res, state.version(key));
    res
}

async fn list_keys(shared: &Shared, uri: &Uri) -> HandlerResult {
    if let Some(res) = check_rate(shared, |state| {
        state.counts.listings += 1;
        &mut state.reads
    }) {
        return Ok(res);
    }
    apply_delay(shared).await;
    let prefix = param(uri, "prefix").unwrap_or_default();
    let keys = shared.current().keys(prefix);
    Ok(json(&Keys { keys }))
}

/// Grants, renews or ends a lease.
async fn lease(shared: &Shared, id: &str, req: &Request<Incoming>) -> HandlerResult {
    if let Some(res) = check_rate(shared, |state| {
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
    apply_delay(shared).await;
    Ok(res)
}

/// Counts a call and takes a token for it. Returns a 429 response if none is available.
fn check_rate(
    shared: &Shared,
    count: impl FnOnce(&mut State) -> &mut TokenBucket,
) -> Option<Response<Body>> {
    let mut state = shared.lock();
    let wait = count(&mut state).try_take(shared.now()).err()?;
    state.counts.limited += 1;
    let mut res = text(StatusCode::TOO_MANY_REQUESTS, "over the rate limit");
    let after = wait.as_secs().saturating_add(1);
    res.headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(after));
    Some(res)
}

async fn apply_delay(shared: &Shared) {
    let delay = shared.lock().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

/// Parses the version in an entity tag.
fn etag_version(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value = headers.get(name)?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}

/// Parses `wait=SECONDS` in a `Prefer` header.
fn wait(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("prefer")?.to_str().ok()?;
    let parts = value.split([',', ';']).map(str::trim);
    let seconds = parts.filter_map(|p| p.strip_prefix("wait=")).next()?;
    let wait = Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?;
    Some(wait.min(MAX_WAIT))
}

fn set_etag(res: &mut Response<Body>, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert(header::ETAG, value);
    }
}

/// Handles a fault control, or returns the counts.
fn handle_control(shared: &Shared, control: &str, uri: &Uri) -> Response<Body> {
    match control {
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
        "lose" => shared.lock().drop_next = number(uri, "writes").unwrap_or(1),
        "lapse" => {
            let expired = number(uri, "lease").is_some_and(|id| shared.lock().end_lease(id));
            shared.announce();
            if !expired {
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
