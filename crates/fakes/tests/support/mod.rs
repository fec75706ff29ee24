//! A plain HTTP client for the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// A response with its complete body.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Runs a test's body on its own runtime.
pub(crate) fn block_on<T>(f: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(f)
}

/// Sends a request to `addr`. Fails if the connection closes before the response is complete.
pub(crate) async fn send(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<Response> {
    let (method, path) = line.split_once(' ').unwrap();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let res = client.request(req.body(Full::new(body.into()))?).await?;
    let (head, body) = res.into_parts();
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: body.collect().await?.to_bytes(),
    })
}
