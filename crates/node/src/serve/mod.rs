//! Accepts connections and serves HTTP on them with limits.
//!
//! `viz::serve` does not set `TCP_NODELAY`, so pipelined requests stall for about 40 ms per batch;
//! nor does it limit the number of connections or the time for a request head. Connections are
//! therefore accepted here, and `viz` only routes the requests.

mod write_timeout;

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};
use viz::{Responder, Tree};

use self::write_timeout::WriteTimeout;

/// Limits on the connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of concurrent connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Maximum size of a request head, in bytes; a larger one is answered with 431.
    pub header_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_time: Duration,
}

/// Maximum time without progress in writing a response before the connection is closed.
///
/// Without this timeout a caller that requests large responses and reads none of them would keep
/// its connections indefinitely: a few thousand of them take every connection that a host serves,
/// and a single one keeps a graceful shutdown from ending. A caller on a lossy link still reads
/// something every few seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Backoff after a failed accept, in milliseconds. When file descriptors run out, accept keeps
/// failing immediately; without the backoff the loop would use a whole core just when the host
/// needs it.
const ACCEPT_BACKOFF_MS: u64 = 20;

/// Serves `tree` on `listener` until `stop` becomes true. Then closes idle connections and lets
/// busy ones finish their current response.
pub async fn serve(
    listener: TcpListener,
    tree: Arc<Tree>,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) -> Result<(), Infallible> {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let tree = Arc::clone(&tree);
                let (limits, stop) = (limits.clone(), stop.clone());
                tokio::spawn(async move {
                    connection(stream, peer, tree, limits, stop).await;
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!(error:% = e; "accept failed");
                tokio::time::sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            }
        }
    }
    // Each open connection holds a permit: once all permits are returned, the last response has
    // been sent.
    let all = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
    Ok(())
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    tree: Arc<Tree>,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = Responder::<SocketAddr>::new(tree, Some(peer));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes)
        .serve_connection(
            TokioIo::new(WriteTimeout::open(stream, WRITE_TIMEOUT)),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!(peer:% = peer, error:% = e; "connection ended early");
    }
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}
