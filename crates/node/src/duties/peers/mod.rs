//! Serves other hosts: requests for the pools of this host, ledger and control messages, dumps.

mod handlers;

use std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration};

use tokio::{net::TcpListener, sync::watch};
use viz::{Request, Router, Tree};

use super::{
    control::{CONTROL_PATH, STEER_PATH},
    ledger::LEDGER_PATH,
    spawn,
};
use crate::{
    run::{CALL_PATH, Clients, RUN_PATH},
    serve,
    shared::Shared,
};

/// Path of the dump.
pub const DUMP_PATH: &str = "/peer/v1/dump";
/// Maximum number of concurrent connections of other hosts. Each of 2,400 hosts may keep several,
/// but a host only talks to the hosts of its own domain and to a few relays.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum size of a request head, in bytes; hosts send few fields.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Maximum time for a request head to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Spawns the worker on a bound listener. It ends when `stop` is true and the last response has
/// been sent.
pub fn open(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    spawn("peers", move || async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!(error:% = e; "the peers' listener cannot be used");
                return;
            }
        };
        let limits = serve::ConnectionLimits {
            connections: MAX_CONNECTIONS,
            header_bytes: MAX_HEADER_BYTES,
            header_time: HEADER_TIMEOUT,
        };
        let tree = Arc::new(Tree::from(router(shared)));
        let Ok(()) = serve::serve(listener, tree, limits, stop).await;
    })
}

fn router(shared: Arc<Shared>) -> Router {
    let clients = Clients::open(&shared);
    let (run, call) = (Arc::clone(&shared), Arc::clone(&shared));
    let (ledger, control) = (Arc::clone(&shared), Arc::clone(&shared));
    let steer = Arc::clone(&shared);
    let relayed = clients.clone();
    Router::new()
        .post(RUN_PATH, move |request: Request| {
            let (shared, clients) = (Arc::clone(&run), clients.clone());
            async move { Ok(handlers::run(&shared, &clients, request).await) }
        })
        .post(CALL_PATH, move |request: Request| {
            let (shared, clients) = (Arc::clone(&call), relayed.clone());
            async move { Ok(handlers::call(&shared, &clients, request).await) }
        })
        .post(LEDGER_PATH, move |request: Request| {
            let shared = Arc::clone(&ledger);
            async move { Ok(handlers::ledger(&shared, request).await) }
        })
        .post(CONTROL_PATH, move |request: Request| {
            let shared = Arc::clone(&control);
            async move { Ok(handlers::control(&shared, request).await) }
        })
        .post(STEER_PATH, move |request: Request| {
            let shared = Arc::clone(&steer);
            async move { Ok(handlers::steer(&shared, request).await) }
        })
        .get(DUMP_PATH, move |_: Request| {
            let shared = Arc::clone(&shared);
            async move { Ok(handlers::dump(&shared).await) }
        })
}

/// Returns the address of the host on this connection.
fn peer(request: &Request) -> Option<SocketAddr> {
    request
        .extensions()
        .get::<Option<SocketAddr>>()
        .copied()
        .flatten()
}
