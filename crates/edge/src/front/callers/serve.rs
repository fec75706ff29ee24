//! Serves the requests of one connection.

use std::{cell::Cell, rc::Rc, time::Duration};

use http::Request;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{
    Pipeline,
    registry::ConnectionUsage,
    stream::{CallerStream, LingerLimits},
};
use crate::{
    front::{Front, MAX_UNREAD_TIME, request},
    model::Limits,
};

/// Limits on callers that apply until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    idle: Duration::from_secs(15),
};

/// Minimum size of a buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;

/// Timeout for the request on a connection that is accepted at the connection limit. The request is
/// refused, and its connection must not stay open.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller that has received all its responses must be silent before its connection is
/// closed. Callers close it when they see the half-close, a round trip later. A request that arrives
/// in this time is not answered, so it must stay below what a caller may lose unnoticed.
const LINGER_SILENCE: Duration = Duration::from_millis(120);

/// How long a caller that has received all its responses may go on sending, as one does whose upload
/// was refused before it was read.
const LINGER_SURPLUS: Duration = Duration::from_secs(5);

/// How much longer than the callers' idle limit a connection is kept, so that the host is never the
/// side that closes first.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// A caller's connection.
#[derive(Debug)]
pub(in crate::front) struct CallerConnection {
    pub(in crate::front) stream: CallerStream,
    pub(in crate::front) pipeline: Pipeline,
    /// How long the first request may have waited before the connection was accepted.
    pub(in crate::front) waited: Cell<Duration>,
    /// Whether the host was full when the connection was opened: its request is refused and the
    /// connection closed.
    pub(in crate::front) is_full: bool,
}

/// Serves a connection that may have waited for `waited` in the listen queue. If the host is at its
/// connection limit (`is_full`), the request is refused.
pub(in crate::front) async fn serve(
    front: Rc<Front>,
    stream: TcpStream,
    waited: Duration,
    is_full: bool,
) {
    let connection = CallerConnection {
        stream: CallerStream::open(stream),
        pipeline: Pipeline::default(),
        waited: Cell::new(waited),
        is_full,
    };
    let usage = ConnectionUsage::open(&front.callers, connection.stream.clone());
    if let Err(e) = connection.stream.set_nodelay() {
        log::debug!(target: "host", error:% = e; "cannot set up a caller's connection");
        return;
    }
    let limits = front
        .shared
        .view
        .load()
        .config
        .as_ref()
        .map_or(DEFAULT_LIMITS, |c| c.limits.clone());
    let idle_time = if is_full {
        REFUSAL_TIMEOUT
    } else {
        limits.idle + IDLE_SLACK
    };
    let end = serve_requests(&front, &connection, &usage, limits.head, idle_time).await;
    let linger = LingerLimits {
        silence: LINGER_SILENCE,
        stall: match end {
            ServeEnd::Complete => idle_time,
            ServeEnd::GivenUp => Duration::ZERO,
        },
        surplus: idle_time.min(LINGER_SURPLUS),
    };
    tokio::select! {
        () = connection.stream.linger(&linger) => {}
        () = usage.evicted() => {}
    }
}

/// How serving the requests of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeEnd {
    /// All responses are written, or the connection failed.
    Complete,
    /// The caller was idle, or did not read its responses.
    GivenUp,
}

/// Serves requests until one side closes the connection, or it has been idle for `idle_time`.
async fn serve_requests(
    front: &Rc<Front>,
    connection: &CallerConnection,
    usage: &ConnectionUsage,
    max_head: usize,
    idle_time: Duration,
) -> ServeEnd {
    let stream = &connection.stream;
    let service = service_fn(|request: Request<Incoming>| {
        let used = usage.start();
        // Paused here, before the library reads on: behind a request without a body the next one
        // begins.
        let pause = request.body().is_end_stream().then(|| stream.pause_reads());
        let served = request::serve(front, connection, request);
        async move {
            let _guards = (used, pause);
            served.await
        }
    });
    // The library's timeout for a head counts the pause between two requests as part of the second
    // head and closes without a response, so idle connections are closed here instead.
    let served = http1::Builder::new()
        .max_buf_size(max_head.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::select! {
        served = served => {
            if let Err(e) = served {
                log::debug!(target: "host", error:% = e; "a caller's connection failed");
            }
            ServeEnd::Complete
        }
        () = usage.idle_for(idle_time) => ServeEnd::GivenUp,
        () = stream.unread_for(MAX_UNREAD_TIME, || front.response_memory.is_pressed()) => {
            front.shared.meters.count("slow_closed");
            ServeEnd::GivenUp
        }
    }
}
