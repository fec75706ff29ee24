//! A pooled HTTP client that returns whole answers or a typed failure.

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

/// Idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a connection must open. Within a region a round trip takes a few milliseconds and
/// between regions some tens; one lost SYN is sent again after a second, so that 400 ms tells a
/// dead address from a far one without waiting for that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How far a call had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No connection: not a byte was sent.
    Connect,
    /// Something may have been sent, and no whole head came back.
    Head,
    /// The head came back, the body did not come whole.
    Body,
}

/// A call that gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The other side was not reached, or broke off.
    #[error("{part:?} failed: {detail}")]
    Broken {
        /// How far the call had come.
        part: Stage,
        /// The library's words.
        detail: String,
    },
    /// The time given ran out after something may have been sent.
    #[error("no whole answer in {0:?}")]
    Timeout(Duration),
    /// The answer began, and then nothing more came for the time given.
    #[error("no more of the answer in {0:?}")]
    Stalled(Duration),
    /// The answer's body is larger than the limit, in bytes.
    #[error("the answer is larger than {0} bytes")]
    Large(usize),
}

impl ClientError {
    /// Whether the other side certainly never saw the request.
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

/// How long an answer may take that may be large.
///
/// A limit on the whole alone breaks off what would have come: an answer of some hundred kilobytes over a
/// narrow link that others use as well takes seconds, and begun anew it takes as long again and fills the
/// link besides. As long as it goes on, the other side is there; that it has gone shows by a pause.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Until its head.
    pub head: Duration,
    /// Between two pieces of its body.
    pub idle: Duration,
    /// For all of it, from the head on.
    pub total: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its header fields.
    pub headers: HeaderMap,
    /// Its body, complete.
    pub body: Bytes,
}

/// A pooled client; clones share the pool. Used on one thread's runtime.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Largest answer body taken, in bytes.
    max_answer_bytes: usize,
}

impl Client {
    /// Opens a client that takes answers up to `answer_bytes`.
    pub fn open(max_answer_bytes: usize) -> Client {
        Client::open_from(None, max_answer_bytes)
    }

    /// Opens a client whose connections come from `local`.
    ///
    /// Hosts know one another by address. On a machine with several, the system would choose
    /// another than the one that the host announced, and every other host would take it for a
    /// stranger.
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

    /// Sends a request and waits for its whole answer, at most `time`.
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

    /// Sends a request and waits for its whole answer for as long as it goes on.
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

    /// Posts a packed message to a path of another host.
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

    /// Reads a body of which a piece comes at least every `idle`.
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
            // What follows the body says nothing here.
            if let Ok(piece) = frame.into_data() {
                whole.extend_from_slice(&piece);
            }
        }
    }

    /// Why a body did not come whole.
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

/// Why no head came.
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
