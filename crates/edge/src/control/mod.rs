//! Control thread: follows the store, announces this host, and serves other hosts and lookups.

mod announce;
mod changes;
mod deferred;
mod follow;
mod loads;
mod quarantine;
mod tokens;
mod tree;

use std::{net::TcpListener, sync::Arc, thread::JoinHandle, time::Duration};

use dunlinrock_node::serve::{ConnectionLimits, serve};
use tokio::{
    runtime::Builder,
    sync::{mpsc, watch},
};
use viz::{Router, Tree};

pub use self::{
    changes::{LONG_POLL_TIME, STALE_AGE, long_poll_time},
    follow::{READER_POLL_INTERVAL, may_have_expired},
    tree::{FAN_OUT, STORE_READERS, TreePosition, tree_position},
};
pub(crate) use self::{
    loads::{LoadError, report_loads},
    quarantine::{CONFIRMED_TTL, QuarantineChange, confirmed},
    tokens::{MAX_TOKEN_BYTES, ask_tokens},
};
use crate::{
    host::{Phase, Shared},
    links::{self, LocalHost, NeighborsFn},
    lookup, meters,
};

/// Fractions of the control connections for each listener. Callers look up hosts every few seconds
/// and keep no connection for it; other hosts keep theirs, and a few ask each host; readiness and
/// metrics are requested at most every second.
const LOOKUP_FRACTION: f64 = 0.6;
const PEERS_FRACTION: f64 = 0.2;
const READY_FRACTION: f64 = 0.1;
const METRICS_FRACTION: f64 = 0.1;

/// Maximum size of a request head, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Timeout for reading a request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bound listeners of the control thread.
#[derive(Debug)]
pub struct Listeners {
    /// Lookups.
    pub lookup: TcpListener,
    /// Other hosts.
    pub peers: TcpListener,
    /// Readiness.
    pub ready: Option<TcpListener>,
    /// Metrics.
    pub metrics: Option<TcpListener>,
}

/// Spawns the control thread; it ends in the phase [`Phase::Stopped`].
pub(crate) fn spawn(
    shared: Arc<Shared>,
    listeners: Listeners,
    quarantine: mpsc::Receiver<QuarantineChange>,
) -> anyhow::Result<JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    Ok(thread.spawn(move || runtime.block_on(run(shared, listeners, quarantine)))?)
}

async fn run(
    shared: Arc<Shared>,
    listeners: Listeners,
    quarantine: mpsc::Receiver<QuarantineChange>,
) {
    let (stop, stopped) = watch::channel(false);
    let max = shared.settings.connections.control;
    let open = |listener: TcpListener, router: Router, fraction: f64| {
        let connections = (f64::from(max) * fraction).ceil() as usize;
        tokio::spawn(listen(listener, router, connections, stopped.clone()));
    };
    open(listeners.lookup, lookup::router(&shared), LOOKUP_FRACTION);
    let neighbors: NeighborsFn = {
        let shared = Arc::clone(&shared);
        Arc::new(move || shared.neighbors())
    };
    let peers = links::routes(changes::router(&shared), &shared.links, &neighbors);
    open(listeners.peers, peers, PEERS_FRACTION);
    if let Some(listener) = listeners.ready {
        open(listener, lookup::readiness(&shared), READY_FRACTION);
    }
    if let Some(listener) = listeners.metrics {
        open(listener, meters::router(&shared), METRICS_FRACTION);
    }
    tokio::spawn(follow::follow(Arc::clone(&shared)));
    tokio::spawn(deferred::apply_when_due(Arc::clone(&shared)));
    tokio::spawn(quarantine::announce(Arc::clone(&shared), quarantine));
    tokio::spawn(watch_links(Arc::clone(&shared), neighbors));
    tokio::spawn(count_eras(Arc::clone(&shared)));
    let announcer = tokio::spawn(announce::announce(Arc::clone(&shared)));
    let mut phase = shared.phase.subscribe();
    // The sender is in `shared`, which this thread holds.
    let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
    announcer.abort();
    stop.send_replace(true);
}

/// Counts the eras of the store.
async fn count_eras(shared: Arc<Shared>) {
    let mut eras = shared.store.eras();
    // The sender is in `shared`.
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        shared.meters.count("store_eras");
        shared.meters.gauge("store_era", era);
    }
}

/// Checks this host's links to the targets for as long as the host runs.
async fn watch_links(shared: Arc<Shared>, neighbors: NeighborsFn) {
    let settings = &shared.settings;
    let local = LocalHost {
        name: Arc::clone(&settings.name),
        domain: Arc::clone(&settings.domain),
        region: Arc::clone(&settings.region),
        peers: settings.listen.peers.ip(),
    };
    let region_of = |domain: &str| shared.reloadable.load().domains.get(domain).cloned();
    let count_check = || shared.meters.count("link_checks");
    links::watch(
        Arc::clone(&shared.links),
        local,
        neighbors,
        region_of,
        count_check,
    )
    .await;
}

async fn listen(
    listener: TcpListener,
    router: Router,
    connections: usize,
    stop: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(target: "host", error:% = e; "cannot use a listener");
            return;
        }
    };
    let limits = ConnectionLimits {
        connections,
        header_bytes: MAX_HEADER_BYTES,
        header_time: HEADER_TIMEOUT,
    };
    let Ok(()) = serve(listener, Arc::new(Tree::from(router)), limits, stop).await;
}
