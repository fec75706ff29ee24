//! HTTP connections of a caller: lookups and single attempts.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time beyond the deadline for which the caller waits for a response. A host that gives up a
/// request at its deadline reports whether it ran; a caller that disconnects at the same moment
/// would miss that report.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Media type of an error response.
const PROBLEM: &str = "application/problem+json";

/// Result of a lookup at one host.
#[derive(Debug)]
pub(super) enum LookupResult {
    /// The hosts of the service.
    Found(Hosts),
    /// The host does not know the service.
    Rejected,
    /// The host could not be reached or cannot answer now.
    Failed,
}

/// Result of one attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// A target's complete response.
    Answer(StatusCode, Bytes),
    /// A host's error response.
    Problem(Problem),
    /// The connection failed, so the host has not received the request.
    NotSent,
    /// No complete response arrived; the request may have run.
    Incomplete,
}

/// Values of the request headers of an attempt.
pub(super) struct AttemptHeaders<'a> {
    pub(super) caller: &'a Arc<str>,
    pub(super) deadline: Instant,
    /// Idempotency key and the record of its earlier attempts.
    pub(super) key: Option<(&'a str, String)>,
}

/// Connection pool of one caller.
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

    /// Looks up the hosts of a service at one host.
    pub(super) async fn hosts(
        &self,
        at: SocketAddr,
        service: &str,
        time: Duration,
    ) -> LookupResult {
        let uri = format!("http://{at}/v1/hosts/{service}");
        let Ok(req) = Request::get(uri).body(Full::default()) else {
            return LookupResult::Rejected;
        };
        let Ok(Ok((status, _, body))) = tokio::time::timeout(time, self.exchange(req)).await else {
            return LookupResult::Failed;
        };
        if status.is_client_error() {
            return LookupResult::Rejected;
        }
        match serde_json::from_slice(&body) {
            Ok(hosts) if status == StatusCode::OK => LookupResult::Found(hosts),
            _ => LookupResult::Failed,
        }
    }

    /// Sends one attempt of a request to a host.
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
