//! Front end: accepts callers' connections and sends their requests to targets.

mod accept;
mod access;
mod admit;
mod ask;
mod attempt;
mod body_memory;
mod bounded_stream;
mod callers;
mod connection;
mod entry;
mod forward;
mod homes;
mod idle;
mod idle_limit;
mod loads;
mod lost_links;
mod no_target;
mod notices;
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
use tokio::{runtime::Builder, task::LocalSet, time::Instant};

pub use self::callers::CallerStream;
use self::{
    body_memory::ResponseMemory, callers::Registry, forward::Forwarder, homes::RouteRuns,
    idle::ConnectionCounter, loads::LoadExchange, quarantine::KnownQuarantine,
    request_log::RequestLog, targets::TargetTable, tokens::Tokens,
};
use crate::{
    control::MAX_TOKEN_BYTES,
    host::{Phase, Shared},
};

/// Delay between the start of a graceful shutdown and the first closed connection. Until then
/// callers are served as before: lookups that name this host have mostly expired by then, and
/// callers that were disconnected earlier would reconnect to it.
const CLOSE_DELAY: Duration = Duration::from_millis(1000);

/// Fraction of the grace period after which new requests are refused. Running requests have the
/// other half to finish.
const ACCEPT_FRACTION: f64 = 0.5;

/// Fraction of the grace period after which the process ends, whatever still runs.
const DRAIN_FRACTION: f64 = 0.9;

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
    callers: Rc<Registry>,
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
        callers: Rc::default(),
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

/// Waits until a graceful shutdown is complete: new requests are refused, the last one has ended and
/// its caller has received the response, or the grace period is over.
async fn drained(front: &Front) {
    let grace = front.shared.reloadable.load().grace;
    tokio::time::sleep(grace.mul_f64(ACCEPT_FRACTION)).await;
    let deadline = Instant::now() + grace.mul_f64(DRAIN_FRACTION - ACCEPT_FRACTION);
    let is_drained = || front.running.get() == 0 && front.callers.undelivered_count() == 0;
    while !is_drained() && Instant::now() < deadline {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // A caller that has just received its response may have sent the next request.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 2).await;
    let (running, unread) = (front.running.get(), front.callers.undelivered_count());
    if running > 0 || unread > 0 {
        log::warn!(
            target: "host", event = "cut", running = running, unread = unread;
            "the grace period is over: requests and unread responses are cut off"
        );
    }
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
