//! Tries to open connections to a sample of the targets.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::SliceRandom;
use tokio::{net::TcpStream, time::timeout};

use crate::model::Target;

/// Targets that are tried, in as many failure domains as possible: one domain that lost its power
/// must not look like a loss of this host's own.
const SAMPLE: usize = 4;

/// Timeout for opening a connection, as for a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which the first target alone is tried. Mostly it accepts, and the others are spared a
/// connection.
const FIRST_TIME: Duration = Duration::from_millis(60);

/// Result of a probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) tried: usize,
    pub(super) reached: usize,
}

/// Draws the targets to try.
pub(super) fn sample(targets: &[Arc<Target>]) -> Vec<Arc<Target>> {
    let mut all: Vec<_> = targets.iter().collect();
    all.shuffle(&mut rand::rng());
    let mut domains = BTreeSet::new();
    let (mut chosen, others): (Vec<_>, Vec<_>) = all
        .into_iter()
        .partition(|target| domains.insert(&target.domain));
    chosen.extend(others);
    chosen.truncate(SAMPLE);
    chosen.into_iter().cloned().collect()
}

/// Tries the targets until one of them accepts a connection.
pub(super) async fn probe(sample: &[Arc<Target>]) -> Probe {
    let tried = sample.len();
    let Some((first, rest)) = sample.split_first() else {
        return Probe { tried, reached: 0 };
    };
    let mut opens = FuturesUnordered::new();
    opens.push(opens_connection(first.address));
    let alone = timeout(FIRST_TIME, opens.next()).await;
    let mut is_reached = alone == Ok(Some(true));
    if !is_reached {
        let addresses = rest.iter().map(|target| target.address);
        opens.extend(addresses.map(opens_connection));
    }
    while !is_reached && let Some(is_open) = opens.next().await {
        is_reached = is_open;
    }
    Probe {
        tried,
        reached: usize::from(is_reached),
    }
}

async fn opens_connection(address: SocketAddr) -> bool {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Ok(_)))
}
