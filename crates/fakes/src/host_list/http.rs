//! HTTP interface of the list of hosts.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::store::Listed;
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use super::Shared;
use crate::response::{Body, HandlerResult, empty, json, number, read_body, text};

/// Maximum size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Handles one request.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    if let Some(control) = path.strip_prefix("/fake/") {
        return Ok(handle_control(&shared, control, req.uri()));
    }
    if path == "/v1/hosts" && req.method() == Method::GET {
        let now = shared.now();
        let mut state = shared.lock();
        state.reads += 1;
        return Ok(json(&state.listing(now)));
    }
    let Some(name) = path.strip_prefix("/v1/hosts/") else {
        return Ok(text(StatusCode::NOT_FOUND, "no such path"));
    };
    let now = shared.now();
    match *req.method() {
        Method::PUT => Ok(announce(&shared, name, req).await),
        Method::DELETE => {
            shared.lock().deregister(name, now);
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn announce(shared: &Shared, name: &str, req: Request<Incoming>) -> Response<Body> {
    let Some(body) = read_body(req, MAX_BODY_BYTES).await else {
        return text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the announcement is too large",
        );
    };
    let listed: Listed = match serde_json::from_slice(&body) {
        Ok(listed) => listed,
        Err(e) => return text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if &*listed.name != name {
        return text(StatusCode::BAD_REQUEST, "the names differ");
    }
    let now = shared.now();
    shared.lock().announce(listed, now);
    empty(StatusCode::NO_CONTENT)
}

/// Handles a fault control.
fn handle_control(shared: &Shared, control: &str, uri: &Uri) -> Response<Body> {
    match control {
        "settle" => shared.lock().publish_pending(),
        "lag" => {
            let ms = number(uri, "ms").unwrap_or_default();
            shared.lock().options.visibility_delay = Duration::from_millis(ms);
        }
        _ => return text(StatusCode::NOT_FOUND, "no such knob"),
    }
    empty(StatusCode::NO_CONTENT)
}
