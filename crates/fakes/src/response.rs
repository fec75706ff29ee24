//! Helpers that build responses and read requests.

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use serde::Serialize;

/// Error that closes the connection, before or in the middle of a response.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("the connection is closed on purpose")]
pub(crate) struct ConnectionAborted;

/// Body of a response. It may fail midway, which closes the connection.
pub(crate) type Body = BoxBody<Bytes, ConnectionAborted>;

/// Result of a handler: a response, or a closed connection.
pub(crate) type HandlerResult = Result<Response<Body>, ConnectionAborted>;

/// Returns a body that is sent completely.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a response with a short text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut res = Response::new(full_body(text.into() + "\n"));
    *res.status_mut() = status;
    res
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(full_body(Bytes::new()));
    *res.status_mut() = status;
    res
}

/// Returns a response with `value` as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut res = Response::new(full_body(bytes));
            let kind = header::HeaderValue::from_static("application/json");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res
        }
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Reads a request's body of at most `limit` bytes. Returns `None` if it is larger or truncated.
pub(crate) async fn read_body(req: Request<Incoming>, limit: usize) -> Option<Bytes> {
    let body = Limited::new(req.into_body(), limit).collect().await;
    Some(body.ok()?.to_bytes())
}

/// Returns a parameter of the query, without percent-decoding its value.
pub(crate) fn param<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Returns a parameter of the query, parsed.
pub(crate) fn number<T: std::str::FromStr>(uri: &Uri, name: &str) -> Option<T> {
    param(uri, name)?.parse().ok()
}
