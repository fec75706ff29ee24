//! Calls of the control worker to the platform and to other hosts, each in its own task.
//!
//! The worker itself never waits: a store that does not answer must not delay a heartbeat.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::{
    follow::Source,
    pieces::Hash,
    root::{StoreOp, StoreReply},
    wire as coord_wire,
};
use dunlinrock_schema::{
    coord::{Message, Root},
    peer::{SteerAsk, SteerGive},
    store::{Listed, Listing},
};
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    duties::{
        ledger::{self, LedgerReport},
        pools::{self, PoolReport},
    },
    metrics::{Counter, Metrics},
    ring,
    store::{HostList, ROOT_KEY, Store, Versioned, execute},
    view::Member,
    wire::Client,
};

/// Result of a task.
#[derive(Debug)]
pub(super) enum TaskResult {
    /// The platform's list.
    Listing(Listing),
    /// A root from the store.
    Root(Root),
    /// Requested pieces.
    Pieces(Source, Vec<Arc<[u8]>>),
    /// A source that did not answer.
    Failed(Source),
    /// Response of another host to a control message.
    Answer(Arc<str>, Bytes),
    /// Response of another host to a request for traffic shares and grants.
    Steer(Arc<Member>, SteerGive),
    /// State of the ledger.
    Ledger(LedgerReport),
    /// State of the pools that this host owns.
    Pools(Vec<PoolReport>),
    /// This host was removed from the platform's list, or the removal failed.
    Deregistered,
}

/// Channel for the results of tasks. It is unbounded; the number of results is limited by the tasks
/// that the worker starts: a few messages per heartbeat, each with a timeout.
pub(super) type ResultSender = mpsc::UnboundedSender<TaskResult>;

/// Time that a watch of the root waits in the store. Each watch is one call, so a watching host
/// makes three calls a minute; a silently broken connection is noticed after this time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Backoff after a failed store call, so that an unavailable store is not called in a tight loop.
const STORE_BACKOFF: Duration = Duration::from_millis(500);
/// Number of reads of the list between two registrations of this host. With the default of one read
/// a second, a host registers every 4 s: a list that drops silent hosts after some 10 s may miss
/// one registration, and a list of 2,400 hosts receives 600 a second.
const READS_PER_REGISTRATION: u32 = 4;
/// Time for sending the last messages of a host that ends: a round trip between regions, and
/// opening a connection before it.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Timeout of a message to another host.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients and settings for the calls of tasks.
#[derive(Clone)]
pub(super) struct RemoteCalls {
    /// Name of this host.
    pub name: Arc<str>,
    pub client: Client,
    pub store: Store,
    pub list: HostList,
    pub metrics: Metrics,
    pub results: ResultSender,
}

impl RemoteCalls {
    /// Reads the list periodically, and registers the entry in `me` once every few reads. When `me`
    /// becomes `None`, removes this host from the list and ends.
    ///
    /// The platform drops hosts that stop registering. With a single registration at the start,
    /// hosts that start later would find no other host, and hosts of other domains would be
    /// forgotten here. One task both registers and deregisters, so that no registration arrives
    /// after the deregistration.
    pub(super) fn keep_registered(&self, mut me: watch::Receiver<Option<Listed>>, every: Duration) {
        let remote = self.clone();
        tokio::spawn(async move {
            let mut due = 0;
            loop {
                let now = me.borrow_and_update().clone();
                let Some(entry) = now else { break };
                if due == 0 && remote.list.register(&entry).await.is_ok() {
                    due = READS_PER_REGISTRATION;
                }
                due = due.saturating_sub(1);
                match remote.list.read().await {
                    Ok(listing) => remote.report_result(TaskResult::Listing(listing)),
                    Err(e) => log::debug!(error:% = e; "the list of hosts could not be read"),
                }
                tokio::select! {
                    () = tokio::time::sleep(every) => {}
                    changed = me.changed() => match changed {
                        Ok(()) => due = 0,
                        // The worker ended without a graceful shutdown.
                        Err(_) => return,
                    },
                }
            }
            remote.deregister().await;
        });
    }

    /// Watches the root while `on` is true.
    pub(super) fn watch_root(&self, mut on: watch::Receiver<bool>) {
        let remote = self.clone();
        tokio::spawn(async move {
            // A version that no key has, so the first watch returns at once.
            let mut known = u64::MAX;
            while on.wait_for(|on| *on).await.is_ok() {
                remote.metrics.increment(Counter::StoreCalls);
                match remote.store.watch(ROOT_KEY, known, WATCH_TIMEOUT).await {
                    Ok(Some(found)) => {
                        known = found.version;
                        remote.report_root(&found);
                    }
                    Ok(None) => {}
                    Err(e) => {
                        remote.metrics.increment(Counter::StoreFailures);
                        log::debug!(error:% = e; "the watch of the root failed");
                        tokio::time::sleep(STORE_BACKOFF).await;
                    }
                }
            }
        });
    }

    fn report_root(&self, found: &Versioned) {
        let Some(value) = &found.value else { return };
        match coord_wire::decode::<Root>(value) {
            Ok(root) => self.report_result(TaskResult::Root(root)),
            Err(e) => log::error!(error:% = e; "the root in the store cannot be decoded"),
        }
    }

    /// Reads the root once.
    pub(super) fn read_root(&self) {
        let remote = self.clone();
        tokio::spawn(async move {
            remote.metrics.increment(Counter::StoreCalls);
            match remote.store.get(ROOT_KEY).await {
                Ok(found) => remote.report_root(&found),
                Err(e) => {
                    remote.metrics.increment(Counter::StoreFailures);
                    log::debug!(error:% = e; "the root could not be read");
                    remote.report_result(TaskResult::Failed(Source::Store));
                }
            }
        });
    }

    /// Reads pieces from the store.
    pub(super) fn read_pieces(&self, hashes: Vec<Hash>) {
        let remote = self.clone();
        tokio::spawn(async move {
            let reads = hashes.into_iter().map(|hash| {
                remote.metrics.increment(Counter::StoreCalls);
                execute(&remote.store, StoreOp::ReadPiece(hash))
            });
            let mut pieces = Vec::new();
            for answer in futures::future::join_all(reads).await {
                if let StoreReply::Piece(Some(bytes)) = answer {
                    pieces.push(bytes);
                }
            }
            remote.report_result(match pieces.is_empty() {
                true => TaskResult::Failed(Source::Store),
                false => TaskResult::Pieces(Source::Store, pieces),
            });
        });
    }

    /// Sends a control message and reports its response, if there is one.
    pub(super) fn send(&self, to: &Arc<str>, address: SocketAddr, message: &Message) {
        let frame = coord_wire::encode(message);
        self.metrics.add(Counter::ControlOut, frame.len() as u64);
        let asks = matches!(message, Message::RootAsk(_) | Message::PieceAsk(_));
        let (remote, name) = (self.clone(), Arc::clone(to));
        tokio::spawn(async move {
            let sent = remote
                .client
                .post(address, super::CONTROL_PATH, frame, SEND_TIMEOUT)
                .await;
            match sent {
                Ok(answer) if answer.status == StatusCode::OK && !answer.body.is_empty() => {
                    remote
                        .metrics
                        .add(Counter::ControlIn, answer.body.len() as u64);
                    remote.report_result(TaskResult::Answer(name, answer.body));
                }
                Ok(answer) if answer.status.is_success() && !asks => {}
                other => {
                    log::debug!(to = &*name, answer:? = other.map(|a| a.status); "control message failed");
                    if asks {
                        remote.report_result(TaskResult::Failed(Source::Peer(name)));
                    }
                }
            }
        });
    }

    /// Requests the traffic shares of another host, and grants.
    pub(super) fn steer(&self, to: Arc<Member>, ask: &SteerAsk) {
        let frame = coord_wire::encode(ask);
        self.metrics.add(Counter::SteerOut, frame.len() as u64);
        let remote = self.clone();
        tokio::spawn(async move {
            let sent = remote
                .client
                .post(to.peers, super::STEER_PATH, frame, SEND_TIMEOUT)
                .await;
            let Ok(answer) = sent else { return };
            remote
                .metrics
                .add(Counter::SteerIn, answer.body.len() as u64);
            if answer.status == StatusCode::OK
                && let Ok(give) = coord_wire::decode(&answer.body)
            {
                remote.report_result(TaskResult::Steer(to, give));
            }
        });
    }

    /// Removes this host from the list. If the list does not answer, other hosts notice the
    /// shutdown a little later than usual.
    async fn deregister(&self) {
        if let Err(e) = self.list.deregister(&self.name).await {
            log::warn!(error:% = e; "this host could not be removed from the list of hosts");
        }
        // The worker ends after this result, and messages that are still being sent end with it.
        tokio::time::sleep(FLUSH_TIME).await;
        self.report_result(TaskResult::Deregistered);
    }

    /// Requests the state of the pools worker.
    pub(super) fn ask_pools(&self, queue: &ring::Sender<pools::Input>) {
        self.ask(queue, pools::Input::GetState, TaskResult::Pools);
    }

    /// Requests the state of the ledger worker.
    pub(super) fn ask_ledger(&self, queue: &ring::Sender<ledger::Input>) {
        self.ask(queue, ledger::Input::GetState, TaskResult::Ledger);
    }

    fn ask<I, R: Send + 'static>(
        &self,
        queue: &ring::Sender<I>,
        input: fn(oneshot::Sender<R>) -> I,
        to_result: fn(R) -> TaskResult,
    ) {
        let (reply, answer) = oneshot::channel();
        // If the channel is full, the next tick asks again.
        if queue.try_send(input(reply)).is_err() {
            return;
        }
        let remote = self.clone();
        tokio::spawn(async move {
            if let Ok(report) = answer.await {
                remote.report_result(to_result(report));
            }
        });
    }

    /// Reports a result. The worker only stops receiving when the host ends.
    fn report_result(&self, result: TaskResult) {
        let _ = self.results.send(result);
    }
}
