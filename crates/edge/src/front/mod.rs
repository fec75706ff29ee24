//! Front end: accepts callers' connections and sends their requests to targets.

mod accept;
mod access;
mod admit;
mod ask;
mod attempt;
mod body_memory;
mod bounded_stream;
mod caller_stream;
mod connection;
mod entry;
mod forward;
mod homes;
mod idle;
mod idle_callers;
mod idle_limit;
mod loads;
mod lost_links;
mod no_target;
mod notices;
mod pipeline;
mod quarantine;
mod request;
mod request_log;
mod response;
mod returns;
mod second_send;
mod select;
mod start_ramp;
mod targets;
mod tokens;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use dunlinrock_decide::{
    admit::direct::{
        BodyBudget, EntryGate, FailureRate, IdleLimits, LatencyEstimator, RetryBudget, ReturnBook,
        StartPaces,
    },
    steer::hash,
};
use dunlinrock_node::wire::Client;
use http::Request;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, runtime::Builder, task::LocalSet, time::Instant};

pub use self::caller_stream::CallerStream;
use self::{
    body_memory::ResponseMemory,
    forward::Forwarder,
    homes::RouteRuns,
    idle::ConnectionCounter,
    idle_callers::{ConnectionUsage, IdleTracker},
    loads::LoadExchange,
    pipeline::Pipeline,
    quarantine::KnownQuarantine,
    request::CallerConnection,
    request_log::RequestLog,
    targets::TargetTable,
    tokens::Tokens,
};
use crate::{
    control::MAX_TOKEN_BYTES,
    host::{Phase, Shared},
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

/// Delay between the start of a graceful shutdown and the first closed connection. Until then
/// callers are served as before: lookups that name this host have mostly expired by then, and
/// callers that were disconnected earlier would reconnect to it.
const CLOSE_DELAY: Duration = Duration::from_millis(1000);

/// Fraction of the grace period after which new requests are refused. Running requests have the
/// other half to finish.
const ACCEPT_FRACTION: f64 = 0.5;

/// Fraction of the grace period after which the process ends, whatever still runs.
const DRAIN_FRACTION: f64 = 0.9;

/// How long a connection is read after its last response. Callers close it when they see the
/// half-close, a round trip later. A request that arrives in this time is not answered, so it must
/// stay below what a caller may lose unnoticed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(120);

/// How much longer than the callers' idle limit a connection is kept, so that the host is never the
/// side that closes first.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Maximum interval between two checks whether a connection is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a caller may take to read a response while the memory for responses is short.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(2);

/// Interval between two checks whether the last request has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State of the front end; used by one thread only.
#[derive(Debug)]
struct Front {
    shared: Arc<Shared>,
    /// Hash of this host's name.
    name_hash: u64,
    targets: TargetTable,
    retry_budgets: RefCell<BTreeMap<Arc<str>, RetryBudget>>,
    latencies: RefCell<BTreeMap<Arc<str>, LatencyEstimator>>,
    /// Runs of each route whose targets report how fast they are.
    route_runs: RefCell<BTreeMap<Arc<str>, RouteRuns>>,
    /// Failure rate of the targets of each service.
    failure_rates: RefCell<BTreeMap<Arc<str>, FailureRate>>,
    /// How long connections to the targets of each service may rest.
    idle_limits: RefCell<IdleLimits>,
    /// Ramps of the targets that have started or recovered.
    start_paces: RefCell<StartPaces>,
    /// Last change of the view that `start_paces` has seen.
    paced_change: Cell<u64>,
    /// Admission to the queues of each service's targets.
    gates: RefCell<BTreeMap<Arc<str>, EntryGate>>,
    /// When refused callers come back to each service.
    return_books: RefCell<BTreeMap<Arc<str>, ReturnBook>>,
    /// The same without a configuration or a token.
    general_book: RefCell<ReturnBook>,
    /// Minimum time in which a connection to a target of a region was opened: an estimate of the
    /// round-trip time.
    region_rtts: RefCell<BTreeMap<Arc<str>, Duration>>,
    request_log: RequestLog,
    /// Requests being served.
    running: Cell<u32>,
    /// Open connections of callers.
    open_callers: Cell<u32>,
    /// Tracks which of them are idle.
    idle_callers: Rc<IdleTracker>,
    /// Tokens for requests of workspaces with a rate limit.
    tokens: RefCell<Tokens>,
    /// Exchange of the targets' loads with other hosts.
    loads: LoadExchange,
    /// Version of the configuration that `tokens` was last pruned for.
    pruned_version: Cell<u64>,
    /// HTTP client for calls to other hosts.
    client: Client,
    /// Counts connections to targets.
    target_connections: Rc<ConnectionCounter>,
    /// Requests that crash their targets.
    quarantine: KnownQuarantine,
    /// Connections to other hosts for forwarded requests.
    forwarder: Forwarder,
    /// Whether the links to the targets were lost when they were last looked at.
    was_lost: Cell<bool>,
    /// Memory for request bodies.
    body_budget: RefCell<BodyBudget>,
    /// Memory for responses.
    response_memory: ResponseMemory,
    /// Whether the number of connections was near the limit at the last check.
    near_limit: Cell<bool>,
    /// When the graceful shutdown started.
    draining_since: Cell<Option<Instant>>,
}

/// Spawns the front-end thread. It ends when a graceful shutdown is complete.
pub(crate) fn spawn(shared: Arc<Shared>, listener: TcpListener) -> anyhow::Result<JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("callers".to_owned());
    let run = move || LocalSet::new().block_on(&runtime, run(shared, listener));
    Ok(thread.spawn(run)?)
}

async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(target: "host", error:% = e; "cannot use the callers' listener");
            return;
        }
    };
    let target_connections = ConnectionCounter::open(shared.settings.connections.max_idle());
    let name_hash = hash::hash_str(&shared.settings.name);
    let response_memory = ResponseMemory::open(shared.settings.memory);
    let front = Rc::new(Front {
        forwarder: Forwarder::open(Rc::clone(&target_connections), response_memory.clone()),
        response_memory,
        was_lost: Cell::new(false),
        name_hash,
        targets: TargetTable::default(),
        idle_callers: Rc::default(),
        target_connections,
        tokens: RefCell::default(),
        loads: LoadExchange::default(),
        pruned_version: Cell::new(0),
        client: Client::open_from(Some(shared.settings.listen.peers.ip()), MAX_TOKEN_BYTES),
        body_budget: RefCell::new(BodyBudget::open(shared.settings.memory)),
        quarantine: KnownQuarantine::open(),
        near_limit: Cell::new(false),
        shared,
        retry_budgets: RefCell::default(),
        latencies: RefCell::default(),
        route_runs: RefCell::default(),
        failure_rates: RefCell::default(),
        idle_limits: RefCell::new(IdleLimits::open()),
        start_paces: RefCell::new(StartPaces::open()),
        paced_change: Cell::new(0),
        gates: RefCell::default(),
        return_books: RefCell::default(),
        general_book: RefCell::new(Front::general_book(name_hash)),
        region_rtts: RefCell::default(),
        request_log: RequestLog::open(),
        running: Cell::new(0),
        open_callers: Cell::new(0),
        draining_since: Cell::new(None),
    });
    tokio::task::spawn_local(loads::share(Rc::clone(&front)));
    let mut phase = front.shared.phase.subscribe();
    tokio::select! {
        () = accept::accept(&front, &listener) => {}
        () = accept::gauge(&front) => {}
        // The sender is in `shared`.
        _ = phase.wait_for(|phase| *phase > Phase::Serving) => {}
    }
    front.draining_since.set(Some(Instant::now()));
    tokio::select! {
        () = accept::accept(&front, &listener) => {}
        () = drained(&front) => {}
    }
}

/// Waits until a graceful shutdown is complete: new requests are refused and the last one has
/// ended, or the grace period is over.
async fn drained(front: &Front) {
    let grace = front.shared.reloadable.load().grace;
    tokio::time::sleep(grace.mul_f64(ACCEPT_FRACTION)).await;
    let deadline = Instant::now() + grace.mul_f64(DRAIN_FRACTION - ACCEPT_FRACTION);
    while front.running.get() > 0 && Instant::now() < deadline {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Responses that are ready are still being written.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 2).await;
}

impl Front {
    /// Whether new requests are refused because the host is about to stop.
    fn rejects_new(&self) -> bool {
        let take = self.shared.reloadable.load().grace.mul_f64(ACCEPT_FRACTION);
        self.draining_since
            .get()
            .is_some_and(|since| since.elapsed() >= take)
    }

    /// Whether connections are closed after the next response.
    fn closes_connections(&self) -> bool {
        self.draining_since
            .get()
            .is_some_and(|since| since.elapsed() >= CLOSE_DELAY)
    }
}

/// Counts an open connection of a caller until it is dropped.
struct OpenGuard(Rc<Front>);

impl OpenGuard {
    fn count(front: &Rc<Front>) -> OpenGuard {
        front.open_callers.set(front.open_callers.get() + 1);
        OpenGuard(Rc::clone(front))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_callers.set(self.0.open_callers.get() - 1);
    }
}

/// Serves a connection that may have waited for `waited` in the listen queue. If the host is at its
/// connection limit (`is_full`), the request is refused.
async fn serve_connection(front: Rc<Front>, stream: TcpStream, waited: Duration, is_full: bool) {
    let _open = OpenGuard::count(&front);
    if let Err(e) = stream.set_nodelay(true) {
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
    let connection = CallerConnection {
        stream: CallerStream::open(stream),
        pipeline: Pipeline::default(),
        waited: Cell::new(waited),
        is_full,
    };
    let caller_stream = connection.stream.clone();
    let usage = ConnectionUsage::open(&front.idle_callers);
    let idle_time = if is_full {
        REFUSAL_TIMEOUT
    } else {
        limits.idle + IDLE_SLACK
    };
    let service = service_fn(|request: Request<Incoming>| {
        let used = usage.start();
        // Paused here, before the library reads on: behind a request without a body the next one
        // begins.
        let pause = request
            .body()
            .is_end_stream()
            .then(|| caller_stream.pause_reads());
        let served = request::serve(&front, &connection, request);
        async move {
            let _guards = (used, pause);
            served.await
        }
    });
    // The library's timeout for a head counts the pause between two requests as part of the second
    // head and closes without a response, so idle connections are closed here instead.
    let served = http1::Builder::new()
        .max_buf_size(limits.head.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(caller_stream.clone()), service);
    let served = tokio::select! {
        served = served => served,
        () = usage.idle_for(idle_time) => Ok(()),
        () = caller_stream.unread_for(MAX_UNREAD_TIME, || front.response_memory.is_pressed()) => {
            front.shared.meters.count("slow_closed");
            Ok(())
        }
    };
    caller_stream.linger(LINGER_TIMEOUT).await;
    if let Err(e) = served {
        log::debug!(target: "host", error:% = e; "a caller's connection failed");
    }
}
