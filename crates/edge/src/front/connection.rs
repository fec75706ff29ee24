//! One connection to a target, and one exchange on it.

use std::{error::Error, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::Instant};

use super::idle::{Links, Open};

/// Time in which a connection must open. Between regions a round trip takes some tens of
/// milliseconds; a lost packet is sent again only after a second, and another target is tried
/// before that.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Time for which a target may leave what was sent to it unconfirmed, and the pause before and
/// between the probes that ask a waiting connection whether the other side is there.
///
/// A target that loses power says nothing: without these its requests wait until their deadlines,
/// and a kept connection takes the next ones too. A link that loses one packet in twenty loses four
/// in a row, which is what passes in this time, once in 160,000; the kernel's shortest probe is one
/// second.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is broken.
const PROBES: u32 = 2;

/// Largest answer taken, in bytes. Answers are passed on only once they are whole, so that one
/// which breaks off never looks complete; memory bounds how large that may be.
const ANSWER_BYTES: usize = 8 << 20;

/// How long a connection is kept idle where the target does not say.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// Part of the target's own idle time that is used: the rest covers a request on its way when the
/// target closes.
const IDLE_PART: f64 = 0.85;

/// How far an exchange came when it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    /// Certainly nothing was sent.
    Unsent(String),
    /// Nothing was sent, as the request is to go elsewhere by now.
    Moved,
    /// Something may have been sent, and no whole answer came back.
    Sent(String),
    /// The same, and the target does not answer the kernel's probes either.
    Silent(String),
}

/// A whole answer of a target.
#[derive(Debug)]
pub(super) struct Whole {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An open connection. Dropped, it is closed at once, and with it the run of a request that is on
/// it: a target stops work for a caller that is gone.
#[derive(Debug)]
pub(super) struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Until when it may be used again.
    until: Instant,
    /// Whether an exchange was completed on it.
    used: bool,
    open: Open,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, links: &Rc<Links>) -> Result<Link, Broken> {
        let unsent = |e: &dyn std::fmt::Display| Broken::Unsent(e.to_string());
        let open = Open::count(links);
        let connect = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let stream = connect
            .map_err(|_| unsent(&"no connection in time"))?
            .map_err(|e| unsent(&e))?;
        set_up(&stream).map_err(|e| unsent(&e))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| unsent(&e))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "links", error:% = e; "a connection to a target ended");
            }
        });
        let until = Instant::now() + IDLE_TIME;
        Ok(Link {
            sender,
            task,
            until,
            used: false,
            open,
        })
    }

    /// What counts the host's connections to targets.
    pub(super) fn links(&self) -> &Rc<Links> {
        self.open.links()
    }

    /// Whether another request may be sent. One that the target has closed, or on which bytes came
    /// unasked, is not ready.
    pub(super) fn is_reusable(&self) -> bool {
        self.used && self.sender.is_ready() && Instant::now() < self.until
    }

    /// Whether it was used before, so that its end says nothing about the target.
    pub(super) fn is_used(&self) -> bool {
        self.used
    }

    /// Sends a request and waits for the whole answer. Tells also whether the connection may be
    /// used again.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Whole, bool), Broken> {
        if let Err(e) = self.sender.ready().await {
            return Err(Broken::Unsent(e.to_string()));
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            // The library gives the request back where it has not begun to send it.
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let error = e.into_error();
                return Err(if unsent {
                    Broken::Unsent(error.to_string())
                } else {
                    broken(&error)
                });
            }
        };
        let (head, body) = response.into_parts();
        let closes = closes(&head.headers);
        self.until = Instant::now() + idle_time(&head.headers);
        let body = match Limited::new(body, ANSWER_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Err(Broken::Sent(e.to_string())),
        };
        self.used = true;
        let whole = Whole {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((whole, !closes))
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    words.any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// What a failure after the first byte says.
fn broken(error: &hyper::Error) -> Broken {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable) => {
            Broken::Silent(error.to_string())
        }
        _ => Broken::Sent(error.to_string()),
    }
}

fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENT_TIME))?;
    let probes = TcpKeepalive::new()
        .with_time(SILENT_TIME)
        .with_interval(SILENT_TIME);
    socket.set_tcp_keepalive(&probes.with_retries(PROBES))
}

/// The target's own idle time, from `Keep-Alive: timeout=N`, in part.
fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let mut words = value.into_iter().flat_map(|v| v.split(','));
    let seconds = words.find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u32>().ok());
    seconds.map_or(IDLE_TIME, |s| {
        Duration::from_secs(u64::from(s)).mul_f64(IDLE_PART)
    })
}

/// Takes off the headers that concern one connection only.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|word| word.trim().to_ascii_lowercase())
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

/// Makes a response of a whole answer.
pub(super) fn pass_on(whole: Whole) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    strip(response.headers_mut());
    response
}
