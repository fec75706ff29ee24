//! Handles `/v1/call/{service}/{path}` (any method): runs a caller's request on a target.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::once::Key;
use dunlinrock_decide::steer::hash::hash_parts;
use dunlinrock_schema::{api::Run, config::Service};
use http_body_util::Full;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;
use viz::{Body, Request, Response, header::HeaderValue};

use super::peer;
use crate::{
    call::{BodyLimits, Call, answer_fields, read_body, target_fields, timeout_field},
    metrics::Counter,
    run::{Clients, dispatch, relay, run_keyed},
    shared::Shared,
    wire::{self, Answer, CallError, ProblemKind},
};

/// Path prefix before the service's name.
const PREFIX: &str = "/v1/call/";

pub(super) async fn answer(shared: &Arc<Shared>, clients: &Clients, request: Request) -> Response {
    shared.metrics.increment(Counter::Calls);
    let started_at = Instant::now();
    let id: Arc<str> = format!("{:x}-{:x}", shared.me.incarnation, shared.ticket()).into();
    let result = run(shared, clients, request, &id).await;
    shared.metrics.time("call.time", started_at.elapsed());
    match result {
        Ok(answer) => {
            shared.metrics.increment(Counter::Answered);
            to_response(answer, &id)
        }
        Err(error) => {
            shared.metrics.increment(counter(error.run));
            log::debug!(
                request = &*id, kind = error.kind.name(), run:% = error.run,
                detail = &*error.detail; "call failed"
            );
            error.response(&id)
        }
    }
}

fn counter(run: Run) -> Counter {
    match run {
        Run::No => Counter::NotRun,
        Run::Unknown => Counter::Unknown,
        Run::Yes => Counter::Ran,
    }
}

fn to_response(answer: Answer, id: &str) -> Response {
    let mut response = Response::new(Body::from(Full::from(answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer_fields(&answer.headers);
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(wire::REQUEST, id);
    }
    response
}

async fn run(
    shared: &Arc<Shared>,
    clients: &Clients,
    request: Request,
    id: &Arc<str>,
) -> Result<Answer, CallError> {
    let received_at = Instant::now();
    let view = shared.view.load_full();
    if !view.ready {
        return Err(not_ready(&request));
    }
    let (name, path) = split_path(&request)?;
    let Some(service) = view.service(name) else {
        let detail = format!("no service {name} in revision {}", view.revision);
        return Err(CallError::not_run(ProblemKind::UnknownService, detail));
    };
    let timeout = timeout(&request, service)?;
    let address = peer(&request).map(|address| address.ip());
    let address = address.ok_or_else(|| malformed("the connection has no address"))?;
    let (name, path): (Arc<str>, Arc<str>) = (name.into(), path.into());
    let (head, body) = request.into_parts();
    let body = read_body(body, BodyLimits::open(&shared.limits)).await?;
    let call = new_call(CallParts {
        id,
        name,
        path,
        method: head.method,
        headers: &head.headers,
        body,
        address,
        service,
        region: &shared.me.region,
        deadline: received_at + timeout,
    })?;
    if call.repeatable {
        return dispatch(shared, clients, &call).await;
    }
    let key = idempotency_key(&call)?;
    let me = shared.me.incarnation;
    if key.owner.incarnation == me || key.witness.incarnation == me {
        run_keyed(shared, clients, &call, key).await
    } else {
        relay(shared, clients, &call, &key).await
    }
}

/// Returns the error of a host that is not ready. Such a host cannot know whether an earlier
/// attempt with the same idempotency key ran, so a request with a key gets `run: unknown`.
fn not_ready(request: &Request) -> CallError {
    let detail = "this host holds no configuration yet, or is catching up";
    let error = match request.headers().contains_key(wire::KEY) {
        true => CallError::unknown(ProblemKind::NotReady, detail),
        false => CallError::not_run(ProblemKind::NotReady, detail),
    };
    error.retry_after(Duration::from_millis(500))
}

fn malformed(detail: &str) -> CallError {
    CallError::not_run(ProblemKind::Malformed, detail)
}

/// Returns the service and the path for the target, including the query.
fn split_path(request: &Request) -> Result<(&str, &str), CallError> {
    let path_and_query = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let rest = path_and_query.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    match (service, path) {
        ("", _) => Err(malformed(
            "the path names no service: /v1/call/{service}/{path}",
        )),
        (_, "") => Ok((service, "/")),
        (_, path) if path.starts_with('/') => Ok((service, path)),
        _ => Err(malformed(
            "a query needs a path: /v1/call/{service}/{path}?{query}",
        )),
    }
}

/// Returns the caller's timeout for the request, within the service's limits.
fn timeout(request: &Request, service: &Service) -> Result<Duration, CallError> {
    let default = Duration::from_millis(service.deadline_ms.get());
    let max = Duration::from_millis(service.longest_ms.get());
    timeout_field(request.headers(), default, max)
}

/// Parts of a caller's request from which the [`Call`] is created.
struct CallParts<'a> {
    id: &'a Arc<str>,
    name: Arc<str>,
    path: Arc<str>,
    method: Method,
    headers: &'a HeaderMap,
    body: Bytes,
    address: IpAddr,
    service: &'a Service,
    region: &'a Arc<str>,
    deadline: Instant,
}

fn new_call(parts: CallParts<'_>) -> Result<Call, CallError> {
    let CallParts {
        id,
        name,
        path,
        method,
        headers,
        body,
        address,
        service,
        region,
        deadline,
    } = parts;
    let caller = caller_hash(headers, service, address)?;
    let path_only = path.split('?').next().unwrap_or_default();
    let first_segment = path_only.split('/').nth(1).unwrap_or_default();
    let kind = hash_parts(&[method.as_str().as_bytes(), first_segment.as_bytes()]);
    let fingerprint = hash_parts(&[method.as_str().as_bytes(), path.as_bytes(), &body]);
    Ok(Call {
        request: Arc::clone(id),
        headers: target_fields(headers),
        deadline,
        region: Arc::clone(region),
        client: address,
        caller,
        topic: hash_parts(&[path_only.as_bytes()]),
        kind,
        fingerprint,
        identity: hash_parts(&[&caller.to_be_bytes(), &fingerprint.to_be_bytes()]),
        repeatable: service
            .repeatable
            .iter()
            .any(|name| **name == *method.as_str()),
        key: header_text(headers, wire::KEY)?,
        attempts: header_text(headers, wire::ATTEMPTS)?,
        hops: 0,
        service: name,
        method,
        path,
        body,
    })
}

/// Returns the hash of the caller's name from the service's caller header, or else of its address.
fn caller_hash(headers: &HeaderMap, service: &Service, address: IpAddr) -> Result<u64, CallError> {
    let named = header_text(headers, &service.caller_header)?;
    Ok(match named {
        Some(name) => hash_parts(&[name.as_bytes()]),
        None => hash_parts(&[address.to_string().as_bytes()]),
    })
}

/// Returns the value of a header field, if the request has it.
fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<Arc<str>>, CallError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(malformed(&format!("the field {name} is not plain ASCII"))),
    }
}

/// Returns the idempotency key of a request, which is required unless its method is idempotent.
fn idempotency_key(call: &Call) -> Result<Key, CallError> {
    let Some(text) = &call.key else {
        let detail = format!(
            "{} requests of {} run at most once and need the field {}: the binding of a look-up, a dot, a nonce",
            call.method,
            call.service,
            wire::KEY
        );
        return Err(CallError::not_run(ProblemKind::KeyMissing, detail));
    };
    text.parse()
        .map_err(|e: dunlinrock_coord::once::KeyError| malformed(&e.to_string()))
}
