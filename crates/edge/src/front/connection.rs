//! One connection to a target, and one exchange on it.

use std::{error::Error, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::Instant};

use super::{
    body_memory::ResponseMemory,
    bounded_stream::{BoundedStream, ByteAllowance},
    idle::{ConnectionCounter, OpenGuard},
};

/// Timeout for opening a connection. A round trip between regions takes some tens of milliseconds;
/// a lost packet is retransmitted only after a second, and another target is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent data may stay unacknowledged, and the delay before and between keep-alive probes
/// on a silent connection.
///
/// A target that loses power sends nothing: without this its requests wait until their deadlines,
/// and an idle connection takes the next ones too. A link that loses one packet in twenty loses
/// four in a row, which is what passes in this time, once in 160,000; the kernel's shortest probe
/// interval is one second.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken. Linux gives up earlier: once the
/// user timeout is set, the first probe that is unanswered for that long is enough.
const PROBES: u32 = 2;

/// Maximum size of an accepted response, in bytes. Responses are buffered completely before they
/// are passed on, so that a truncated one never looks complete; memory bounds how large that may
/// be.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size of the head of a response, in bytes, and of the buffer that the HTTP library reads
/// into.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that arrive before the head of a response is complete, interim responses
/// included. The library may read on into the body before it hands over the head, by some buffers.
const MAX_BYTES_TO_HEAD: u64 = 4 * MAX_HEAD_BYTES as u64;

/// Maximum number of bytes that arrive for the body of a response, with their framing.
const MAX_FRAMED_BYTES: u64 = 2 * MAX_RESPONSE_BYTES as u64;

/// How long a connection is kept idle if the target does not say.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(8);

/// Fraction of the target's own idle timeout that is used; the rest covers a request on its way
/// when the target closes.
const IDLE_FRACTION: f64 = 0.85;

/// How far a failed exchange came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// Certainly nothing was sent.
    NotSent(String),
    /// Nothing was sent: no process listens at the address.
    Refused(String),
    /// Nothing was sent, because the request must now go to another target.
    Rerouted,
    /// Something may have been sent, and no complete response came back.
    Sent(String),
    /// Like `Sent`, and the connection ended before any byte of a response.
    Broken(String),
    /// Like `Sent`: this host has no memory for the response.
    NoRoom,
    /// Like `Sent`, and the target does not answer the kernel's keep-alive probes either.
    Unreachable(String),
}

/// A complete response of a target.
#[derive(Debug)]
pub(super) struct BufferedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An open connection to a target. Dropping it closes it at once, and with it ends the request that
/// runs on it: a target stops working for a disconnected caller.
#[derive(Debug)]
pub(super) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Until when the connection may be reused.
    reusable_until: Instant,
    /// How many more bytes may arrive.
    allowance: ByteAllowance,
    /// When the last exchange on it was completed; `None` before the first.
    used_at: Option<Instant>,
    open: OpenGuard,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TargetConnection {
    /// Opens a connection.
    pub(super) async fn open(
        address: SocketAddr,
        counter: &Rc<ConnectionCounter>,
    ) -> Result<TargetConnection, ExchangeError> {
        let unsent = |e: &dyn std::fmt::Display| ExchangeError::NotSent(e.to_string());
        let open = OpenGuard::count(counter);
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connect
            .map_err(|_| unsent(&"no connection in time"))?
            .map_err(|e| match e.kind() {
                io::ErrorKind::ConnectionRefused => ExchangeError::Refused(e.to_string()),
                _ => unsent(&e),
            })?;
        configure_socket(&stream).map_err(|e| unsent(&e))?;
        let allowance = ByteAllowance::open(MAX_BYTES_TO_HEAD);
        let stream = BoundedStream::open(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|e| unsent(&e))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "links", error:% = e; "connection to a target failed");
            }
        });
        let reusable_until = Instant::now() + DEFAULT_IDLE_TIME;
        Ok(TargetConnection {
            sender,
            task,
            reusable_until,
            allowance,
            used_at: None,
            open,
        })
    }

    /// Returns the counter of the host's connections to targets.
    pub(super) fn counter(&self) -> &Rc<ConnectionCounter> {
        self.open.counter()
    }

    /// Whether another request may be sent. False if the target has closed the connection or sent
    /// unsolicited bytes.
    pub(super) fn is_reusable(&self) -> bool {
        self.is_used() && self.sender.is_ready() && Instant::now() < self.reusable_until
    }

    /// Limits how long the connection may be reused.
    pub(super) fn limit_reuse(&mut self, time: Duration) {
        self.reusable_until = self.reusable_until.min(Instant::now() + time);
    }

    /// Whether the connection was used before, so that its end is no evidence about the target.
    pub(super) fn is_used(&self) -> bool {
        self.used_at.is_some()
    }

    /// Returns how long the connection has rested since its last exchange; zero for a new one.
    pub(super) fn rest(&self) -> Duration {
        self.used_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Sends a request and waits for the complete response; `on_head` gets its head as soon as that
    /// has arrived. Also returns whether the connection may be reused.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &ResponseMemory,
        on_head: impl FnOnce(StatusCode, &HeaderMap),
    ) -> Result<(BufferedResponse, bool), ExchangeError> {
        if let Err(e) = self.sender.ready().await {
            return Err(ExchangeError::NotSent(e.to_string()));
        }
        self.allowance.set(MAX_BYTES_TO_HEAD);
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            // The library returns the request if it has not begun to send it.
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let error = e.into_error();
                return Err(if unsent {
                    ExchangeError::NotSent(error.to_string())
                } else {
                    exchange_error(&error)
                });
            }
        };
        let (head, body) = response.into_parts();
        self.allowance.set(MAX_FRAMED_BYTES);
        on_head(head.status, &head.headers);
        let closes = closes(&head.headers);
        self.reusable_until = Instant::now() + idle_time(&head.headers);
        let body = memory.collect(body, MAX_RESPONSE_BYTES).await?;
        self.used_at = Some(Instant::now());
        let buffered = BufferedResponse {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((buffered, !closes))
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Classifies an error between the first sent byte and the head of a response.
fn exchange_error(error: &hyper::Error) -> ExchangeError {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable) => {
            ExchangeError::Unreachable(error.to_string())
        }
        Some(
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe,
        ) => ExchangeError::Broken(error.to_string()),
        _ if error.is_incomplete_message() => ExchangeError::Broken(error.to_string()),
        _ => ExchangeError::Sent(error.to_string()),
    }
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(KEEPALIVE_IDLE))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE);
    socket.set_tcp_keepalive(&probes.with_retries(PROBES))
}

/// Returns the usable fraction of the target's idle timeout, from `Keep-Alive: timeout=N`.
fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let mut tokens = value.into_iter().flat_map(|v| v.split(','));
    let seconds =
        tokens.find_map(|token| token.trim().strip_prefix("timeout=")?.parse::<u32>().ok());
    seconds.map_or(DEFAULT_IDLE_TIME, |s| {
        Duration::from_secs(u64::from(s)).mul_f64(IDLE_FRACTION)
    })
}

/// Removes hop-by-hop headers.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ] {
        headers.remove(name);
    }
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::CONTENT_LENGTH);
}

/// Converts a complete response of a target into the response to the caller.
pub(super) fn into_response(buffered: BufferedResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(buffered.body));
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}
