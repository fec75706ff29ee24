//! Accepts connections and serves them with limits.
//!
//! `viz::serve` does not set `TCP_NODELAY`, and pipelined requests then stall for about 40 ms a
//! batch; nor does it bound connections or the time that a head may take. So connections are
//! accepted here, and `viz` routes what arrives on them.

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
    /// Connections served at once; the next waits in the listener's backlog.
    pub connections: usize,
    /// Largest head, in bytes; more is answered 431.
    pub header_bytes: usize,
    /// Time a head may take to arrive.
    pub header_time: Duration,
}

/// Time for which the other side may take nothing of an answer before its connection is closed.
///
/// Without it a caller that asks for large answers and reads none keeps its connections for good:
/// a few thousand of them take every connection a host serves, and one keeps a planned stop from
/// ending. A caller on a link that lost packets takes something every few seconds at the least.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, in milliseconds. Out of file descriptors, accept fails at once
/// and again; without the pause the loop takes the whole core just when the host needs it.
const ACCEPT_BACKOFF_MS: u64 = 20;

/// Serves `tree` on `listener` until `stop` turns true, then ends idle connections and lets each
/// busy one finish its answer.
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
    // Each open connection holds a permit: once all are back, the last answer has gone out.
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

/// Waits until `stop` turns true, or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}
