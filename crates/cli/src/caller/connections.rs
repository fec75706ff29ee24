//! One attempt over HTTP.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_node::wire;
use dunlinrock_schema::api::{Hosts, Problem};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::Instant;

use super::CallRequest;

/// Largest answer taken, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a connection without requests is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time beyond the deadline that a host's last word is waited for. A host that gives a request up at
/// its deadline says whether it ran; a caller that hangs up at the same moment would miss that.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Media type of an error answer.
const PROBLEM: &str = "application/problem+json";

/// What one attempt gives.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// A target's whole answer.
    Answer(StatusCode, Bytes),
    /// A host's error answer.
    Problem(Problem),
    /// No connection: the host has not seen the request.
    NotSent,
    /// No whole answer: the request may have run.
    Incomplete,
}

/// The head fields of an attempt.
pub(super) struct AttemptHeaders<'a> {
    pub(super) caller: &'a Arc<str>,
    pub(super) deadline: Instant,
    /// Key and the record of its earlier attempts.
    pub(super) key: Option<(&'a str, String)>,
}

/// Connections of one caller.
pub(super) struct Connections {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Connections {
    pub(super) fn open(local_addr: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(local_addr);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Asks one host which hosts to use.
    pub(super) async fn hosts(
        &self,
        at: SocketAddr,
        service: &str,
        time: Duration,
    ) -> Option<Hosts> {
        let req = Request::get(format!("http://{at}/v1/hosts/{service}"));
        let sent = self.exchange(req.body(Full::default()).ok()?);
        let (status, _, body) = tokio::time::timeout(time, sent).await.ok()?.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Sends a request to one host.
    pub(super) async fn attempt(
        &self,
        at: SocketAddr,
        request: &CallRequest,
        head: &AttemptHeaders<'_>,
    ) -> AttemptResult {
        let remaining = head.deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(remaining.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(format!(
                "http://{at}/v1/call/{}{}",
                request.service, request.path
            ))
            .header(wire::TIMEOUT, millis)
            .header(wire::CALLER, &**head.caller);
        if let Some((key, attempts)) = &head.key {
            req = req.header(wire::KEY, *key).header(wire::ATTEMPTS, attempts);
        }
        let Ok(req) = req.body(Full::new(request.body.clone())) else {
            return AttemptResult::NotSent;
        };
        match tokio::time::timeout(remaining + RESPONSE_GRACE, self.exchange(req)).await {
            Ok(Ok((status, headers, body))) => read(status, &headers, body),
            Ok(Err(failure)) => failure,
            Err(_) => AttemptResult::Incomplete,
        }
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), AttemptResult> {
        let res = match self.client.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => return Err(AttemptResult::NotSent),
            Err(_) => return Err(AttemptResult::Incomplete),
        };
        let (head, body) = res.into_parts();
        match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(body) => Ok((head.status, head.headers, body.to_bytes())),
            Err(_) => Err(AttemptResult::Incomplete),
        }
    }
}

fn read(status: StatusCode, headers: &HeaderMap, body: Bytes) -> AttemptResult {
    let kind = headers.get(header::CONTENT_TYPE);
    if kind.is_none_or(|kind| kind != PROBLEM) {
        return AttemptResult::Answer(status, body);
    }
    match serde_json::from_slice(&body) {
        Ok(problem) => AttemptResult::Problem(problem),
        Err(_) => AttemptResult::Incomplete,
    }
}
