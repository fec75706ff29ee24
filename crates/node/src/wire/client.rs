//! A pooled HTTP client that returns complete responses or a typed error.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Request, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for opening a connection. A round trip takes a few milliseconds within a region and some
/// tens between regions; a lost SYN is retransmitted after a second. 400 ms therefore distinguishes
/// an unreachable address from a distant one without waiting for that retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Stage that a call had reached when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No connection was opened: nothing was sent.
    Connect,
    /// The request may have been sent, and no complete response head was received.
    Head,
    /// The response head was received, its body was not received completely.
    Body,
}

/// Error of a call without a complete response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The server was not reached, or closed the connection early.
    #[error("{part:?} failed: {detail}")]
    Broken {
        /// Stage that the call had reached.
        part: Stage,
        /// Error text of the HTTP library.
        detail: String,
    },
    /// The timeout expired after the request may have been sent.
    #[error("no whole answer in {0:?}")]
    Timeout(Duration),
    /// The response began, and then no data arrived within the idle timeout.
    #[error("no more of the answer in {0:?}")]
    Stalled(Duration),
    /// The response body exceeds the limit, in bytes.
    #[error("the answer is larger than {0} bytes")]
    Large(usize),
}

impl ClientError {
    /// Returns whether the request certainly did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            ClientError::Broken {
                part: Stage::Connect,
                ..
            }
        )
    }
}

/// Timeouts for a response that may be large.
///
/// A total timeout alone aborts transfers that would have completed: a response of some hundred
/// kilobytes takes seconds over a narrow, shared link, and a retry takes as long again and adds
/// load to the link. As long as data arrives, the server is working; a server that has failed is
/// detected by the idle timeout.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Until the response head.
    pub head: Duration,
    /// Between two chunks of the body.
    pub idle: Duration,
    /// For the complete body, counted from the head on.
    pub total: Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the response.
    pub status: StatusCode,
    /// Header fields of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// A client with a connection pool; clones share the pool. It must be used on one thread's runtime.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Maximum size of a response body, in bytes.
    max_answer_bytes: usize,
}

impl Client {
    /// Creates a client that accepts response bodies of up to `max_answer_bytes`.
    pub fn open(max_answer_bytes: usize) -> Client {
        Client::open_from(None, max_answer_bytes)
    }

    /// Creates a client whose connections originate from `local`.
    ///
    /// Hosts identify one another by address. On a machine with several addresses, the system could
    /// choose another one than the host registered, and all other hosts would reject it as a
    /// non-member.
    pub fn open_from(local: Option<IpAddr>, max_answer_bytes: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_local_address(local);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            // The library would send a request again on a new connection when a pooled one turns
            // out closed. It only does so before the first byte, but whether a request goes out
            // twice is decided in one place, and that is not here.
            .retry_canceled_requests(false)
            .build(connector);
        Client {
            inner,
            max_answer_bytes,
        }
    }

    /// Sends a request and waits up to `time` for the complete response.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
    ) -> Result<Answer, ClientError> {
        match tokio::time::timeout(time, self.answer(request)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::Timeout(time)),
        }
    }

    /// Sends a request and waits for the complete response for as long as data keeps arriving
    /// within `timeouts`.
    pub async fn call_streaming(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: StreamTimeouts,
    ) -> Result<Answer, ClientError> {
        let response = tokio::time::timeout(timeouts.head, self.inner.request(request))
            .await
            .map_err(|_| ClientError::Timeout(timeouts.head))?
            .map_err(|e| head_error(&e))?;
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(timeouts.total, self.read_streaming(body, timeouts.idle))
            .await
            .map_err(|_| ClientError::Timeout(timeouts.total))??;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Posts an encoded message to a path of another host.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        time: Duration,
    ) -> Result<Answer, ClientError> {
        let request = Request::post(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| stage_error(Stage::Connect, &e))?;
        self.call(request, time).await
    }

    async fn answer(&self, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        let response = match self.inner.request(request).await {
            Ok(response) => response,
            Err(e) => return Err(head_error(&e)),
        };
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, self.max_answer_bytes).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(e) => return Err(self.body_error(&*e)),
        };
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Reads a body whose chunks arrive at intervals of at most `idle`.
    async fn read_streaming(&self, body: Incoming, idle: Duration) -> Result<Bytes, ClientError> {
        let mut body = Limited::new(body, self.max_answer_bytes);
        let mut whole = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(idle, body.frame())
                .await
                .map_err(|_| ClientError::Stalled(idle))?;
            let Some(frame) = frame else {
                return Ok(whole.freeze());
            };
            let frame = frame.map_err(|e| self.body_error(&*e))?;
            // Trailers are not used.
            if let Ok(piece) = frame.into_data() {
                whole.extend_from_slice(&piece);
            }
        }
    }

    /// Converts an error that occurred while the body was read.
    fn body_error(&self, error: &(dyn std::error::Error + 'static)) -> ClientError {
        if error.is::<LengthLimitError>() {
            return ClientError::Large(self.max_answer_bytes);
        }
        ClientError::Broken {
            part: Stage::Body,
            detail: error.to_string(),
        }
    }
}

/// Converts an error that occurred before the response head.
fn head_error(error: &legacy::Error) -> ClientError {
    match error.is_connect() {
        true => stage_error(Stage::Connect, error),
        false => stage_error(Stage::Head, error),
    }
}

fn stage_error(part: Stage, error: &dyn std::error::Error) -> ClientError {
    let detail = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    ClientError::Broken { part, detail }
}
