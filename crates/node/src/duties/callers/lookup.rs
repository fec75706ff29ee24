//! `GET /v1/hosts/{service}`: returns the hosts that a caller should use now.
//!
//! Answers are composed when a view is published. A lookup only finds the caller's region and
//! sends one of them, without a lock or a computation, so that lookups are always served, also
//! under saturation.

use std::net::IpAddr;

use http_body_util::Full;
use viz::{
    Body, Request, Response,
    header::{CONTENT_TYPE, HeaderValue},
};

use super::peer;
use crate::{
    metrics::Counter,
    shared::Shared,
    wire::{CallError, ProblemKind},
};

/// Path prefix before the service's name.
const PREFIX: &str = "/v1/hosts/";

pub(super) fn answer(shared: &Shared, request: &Request) -> Response {
    shared.metrics.increment(Counter::Lookups);
    match find(shared, request) {
        Ok(response) => response,
        Err(error) => error.response("-"),
    }
}

fn find(shared: &Shared, request: &Request) -> Result<Response, CallError> {
    let view = shared.view.load();
    if !view.ready {
        let error = CallError::not_run(
            ProblemKind::NotReady,
            "this host holds no configuration yet",
        );
        return Err(error.retry_after(std::time::Duration::from_millis(500)));
    }
    let service = request
        .uri()
        .path()
        .strip_prefix(PREFIX)
        .unwrap_or_default();
    let client = client(request)?;
    let region = view.region(client, &shared.me.region);
    let Some(body) = view.answers.find(service, &region, client) else {
        return Err(missing(shared, service));
    };
    let mut response = Response::new(Body::from(Full::from(body)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

fn missing(shared: &Shared, service: &str) -> CallError {
    let view = shared.view.load();
    if view.services.contains_key(service) {
        return CallError::not_run(ProblemKind::Unavailable, "no host may be used now");
    }
    let detail = format!("no service {service} in revision {}", view.revision);
    CallError::not_run(ProblemKind::UnknownService, detail)
}

/// Returns the client that the lookup is for: `?client=IP`, for clients that ask on behalf of
/// others, or the address of the connection.
fn client(request: &Request) -> Result<IpAddr, CallError> {
    let asked = request.uri().query().and_then(|query| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix("client="))
    });
    if let Some(text) = asked {
        let detail = || format!("client={text} is no IP address");
        return text
            .parse()
            .map_err(|_| CallError::not_run(ProblemKind::Malformed, detail()));
    }
    let address = peer(request).map(|address| address.ip());
    address
        .ok_or_else(|| CallError::not_run(ProblemKind::Malformed, "the connection has no address"))
}
