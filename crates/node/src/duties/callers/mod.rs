//! Serves callers: lookups and calls. The pools that this host owns run on the same thread.

mod call;
mod lookup;

use std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration};

use http_body_util::Full;
use tokio::{net::TcpListener, sync::watch};
use viz::{Body, Request, Response, Router, StatusCode, Tree};

use super::{pools, spawn};
use crate::{ring, run::Clients, serve, shared::Shared};

/// Spawns the worker on a bound listener. It ends when `stop` is true, the last response has been
/// sent, and the pools have been stopped.
pub fn open(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    pools: ring::Receiver<pools::Input>,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    spawn("callers", move || async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!(error:% = e; "the callers' listener cannot be used");
                return;
            }
        };
        let limits = limits(&shared);
        let pools = pools::drive(shared.clock, shared.fence.clone(), pools);
        let tree = Arc::new(Tree::from(router(shared)));
        let (Ok(()), ()) = futures::join!(serve::serve(listener, tree, limits, stop), pools);
    })
}

fn limits(shared: &Shared) -> serve::ConnectionLimits {
    let limits = &shared.limits;
    let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    serve::ConnectionLimits {
        connections: size(limits.connections.get()),
        header_bytes: size(limits.header_bytes),
        header_time: Duration::from_millis(limits.header_ms.get()),
    }
}

fn router(shared: Arc<Shared>) -> Router {
    let clients = Clients::open(&shared);
    let (look, ready) = (Arc::clone(&shared), Arc::clone(&shared));
    Router::new()
        .get("/v1/hosts/:service", move |request: Request| {
            let shared = Arc::clone(&look);
            async move { Ok(lookup::answer(&shared, &request)) }
        })
        .get("/v1/ready", move |_: Request| {
            let shared = Arc::clone(&ready);
            async move { Ok(readiness(&shared)) }
        })
        .any("/v1/call/*", move |request: Request| {
            let (shared, clients) = (Arc::clone(&shared), clients.clone());
            async move { Ok(call::answer(&shared, &clients, request).await) }
        })
}

/// Returns 200 if callers may use this host, and 503 if it is not ready yet or is shutting down.
fn readiness(shared: &Shared) -> Response {
    let view = shared.view.load();
    let (status, text) = match (view.ready, view.leaving) {
        (true, false) => (StatusCode::OK, "ready\n"),
        (_, true) => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        (false, _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    let mut response = Response::new(Body::from(Full::from(text)));
    *response.status_mut() = status;
    response
}

/// Returns the address of the caller on this connection.
fn peer(request: &Request) -> Option<SocketAddr> {
    request
        .extensions()
        .get::<Option<SocketAddr>>()
        .copied()
        .flatten()
}
