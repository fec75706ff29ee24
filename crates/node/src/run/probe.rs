//! What became of a target that ended an exchange without a response.

use std::{net::SocketAddr, time::Duration};

use dunlinrock_decide::admit::Outcome;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use tokio::{net::TcpStream, time::timeout};

use crate::view::View;

/// Timeout for connecting to a target that closed a connection early; a target that accepts within
/// it counts as alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection must stay open. A process takes some milliseconds to exit; only
/// the request whose connection broke waits for this.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(50);

/// Other targets that are tried when one does not accept.
const WITNESSES: usize = 4;

/// Distinguishes a target that crashed from one that only closed a connection, and from one that
/// this host does not reach.
///
/// A kept-alive connection that a live target closes just as a request is sent looks the same as a
/// crash. If it counted as a crash, an innocent request would become a suspect. A crashed target
/// does not accept a new connection, so one attempt to connect distinguishes the two. Over lost
/// links no target does: unless another one accepts a connection that stays open, nothing is
/// concluded.
pub(super) async fn outcome(address: SocketAddr, witnesses: &[SocketAddr]) -> Outcome {
    if is_alive(address).await || !(witnesses.is_empty() || any_is_alive(witnesses).await) {
        return Outcome::Failed;
    }
    Outcome::Died
}

/// Draws targets of any pool, other than the one at `address`, to compare it with.
pub(super) fn witnesses(view: &View, address: SocketAddr) -> Vec<SocketAddr> {
    let pools = view.pools.values();
    let all = pools.flat_map(|pool| pool.targets.values().copied());
    let others = all.filter(|other| *other != address);
    others.choose_multiple(&mut rand::rng(), WITNESSES)
}

/// Whether a target accepts a connection that stays open.
///
/// While a process exits, its listener may outlive its connections for a moment and accept: then
/// the new connection breaks too, as it does where links are cut one after the other.
async fn is_alive(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        return false;
    };
    let mut byte = [0];
    let closed = timeout(PROBE_HOLD_TIME, stream.peek(&mut byte)).await;
    !matches!(closed, Ok(Ok(0) | Err(_)))
}

async fn any_is_alive(addresses: &[SocketAddr]) -> bool {
    let mut checks: FuturesUnordered<_> = addresses.iter().map(|a| is_alive(*a)).collect();
    while let Some(is_alive) = checks.next().await {
        if is_alive {
            return true;
        }
    }
    false
}
