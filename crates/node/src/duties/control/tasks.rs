//! Calls of the control duty to the platform and to other hosts, each a task of its own.
//!
//! The duty itself never waits: a store that does not answer must not delay a heartbeat.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::{pieces::Pieces, wire};
use dunlinrock_schema::{
    config::Config,
    coord::Root,
    store::{Listed, Listing},
};
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::{
    duties::{
        ledger::{self, LedgerReport},
        pools::{self, PoolReport},
    },
    metrics::{Count, Metrics},
    operate, ring,
    store::{HostList, ROOT_KEY, Store},
    wire::Client,
};

/// What a task brings back.
#[derive(Debug)]
pub(super) enum Done {
    /// The platform's list.
    Listing(Listing),
    /// A newer root and the configuration it names.
    Root { revision: u64, config: Box<Config> },
    /// State of the ledger.
    Ledger(LedgerReport),
    /// The host is off the platform's list, as far as that could be done.
    Withdrawn,
    /// State of the pools owned here.
    Pools(Vec<PoolReport>),
    /// The answer of another host to a heartbeat.
    Answer(Bytes),
}

/// Where tasks bring their results. Bounded by what the duty starts: one of each kind at a time and
/// one a peer.
pub(super) type Results = mpsc::UnboundedSender<Done>;

/// Time a watch of the root waits in the store.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause after a failed store call, so that a store that is down is not called without end.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Time a heartbeat may take.
const BEAT_TIME: Duration = Duration::from_secs(1);

/// Reads the list again and again.
pub(super) fn poll_list(list: HostList, me: Listed, every: Duration, results: Results) {
    tokio::spawn(async move {
        let mut announced = false;
        loop {
            if !announced {
                announced = list.announce(&me).await.is_ok();
            }
            match list.read().await {
                Ok(listing) => {
                    if results.send(Done::Listing(listing)).is_err() {
                        return;
                    }
                }
                Err(e) => log::debug!(error:% = e; "the list of hosts was not read"),
            }
            tokio::time::sleep(every).await;
        }
    });
}

/// Watches the root and fetches each configuration that it names.
pub(super) fn watch_root(store: Store, metrics: Metrics, results: Results) {
    tokio::spawn(async move {
        let mut held = Pieces::new();
        let mut known = u64::MAX;
        loop {
            metrics.count(Count::StoreCalls);
            match next_root(&store, known, &mut held).await {
                Ok(Some((version, revision, config))) => {
                    known = version;
                    let config = Box::new(config);
                    if results.send(Done::Root { revision, config }).is_err() {
                        return;
                    }
                }
                Ok(None) => {}
                Err(e) => {
                    metrics.count(Count::StoreFailures);
                    log::debug!(error:% = e; "the root was not read");
                    tokio::time::sleep(STORE_PAUSE).await;
                }
            }
        }
    });
}

async fn next_root(
    store: &Store,
    known: u64,
    held: &mut Pieces,
) -> anyhow::Result<Option<(u64, u64, Config)>> {
    let Some(found) = store.watch(ROOT_KEY, known, WATCH_TIME).await? else {
        return Ok(None);
    };
    let Some(value) = found.value else {
        // No configuration was applied yet: a watch for the version of an absent key waits.
        let Some(found) = store.watch(ROOT_KEY, found.version, WATCH_TIME).await? else {
            return Ok(None);
        };
        let Some(value) = found.value else {
            return Ok(None);
        };
        return fetch(store, found.version, &value, held).await.map(Some);
    };
    fetch(store, found.version, &value, held).await.map(Some)
}

async fn fetch(
    store: &Store,
    version: u64,
    value: &[u8],
    held: &mut Pieces,
) -> anyhow::Result<(u64, u64, Config)> {
    let root: Root = wire::decode(value)?;
    let config = operate::fetch(store, &root, held).await?;
    Ok((version, root.now.revision, config))
}

/// Sends a heartbeat and brings its answer back.
pub(super) fn beat(client: Client, to: SocketAddr, frame: Vec<u8>, results: Results) {
    tokio::spawn(async move {
        let answer = client.post(to, super::CONTROL_PATH, frame, BEAT_TIME).await;
        if let Ok(answer) = answer
            && answer.status == StatusCode::OK
        {
            // The duty is gone only when the host ends.
            let _ = results.send(Done::Answer(answer.body));
        }
    });
}

/// Asks the pools duty for its state.
pub(super) fn ask_pools(ring: &ring::Sender<pools::Input>, results: Results) {
    let (reply, answer) = oneshot::channel();
    // A full ring: the next tick asks again.
    if ring.push(pools::Input::Ask(reply)).is_err() {
        return;
    }
    tokio::spawn(async move {
        if let Ok(reports) = answer.await {
            let _ = results.send(Done::Pools(reports));
        }
    });
}

/// Asks the ledger duty for its state.
pub(super) fn ask_ledger(ring: &ring::Sender<ledger::Input>, results: Results) {
    let (reply, answer) = oneshot::channel();
    // A full ring: the next tick asks again.
    if ring.push(ledger::Input::Ask(reply)).is_err() {
        return;
    }
    tokio::spawn(async move {
        if let Ok(report) = answer.await {
            let _ = results.send(Done::Ledger(report));
        }
    });
}

/// Announces that this host is leaving.
pub(super) fn announce(list: HostList, me: Listed) {
    tokio::spawn(async move {
        if let Err(e) = list.announce(&me).await {
            log::warn!(error:% = e; "the list was not told that this host leaves");
        }
    });
}

/// Takes the host off the list; one that does not answer lags a little more than usual.
pub(super) fn withdraw(list: HostList, name: Arc<str>, results: Results) {
    tokio::spawn(async move {
        if let Err(e) = list.withdraw(&name).await {
            log::warn!(error:% = e; "the list was not told that this host is gone");
        }
        let _ = results.send(Done::Withdrawn);
    });
}
