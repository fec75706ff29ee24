//! Calls of the control duty to the platform and to other hosts, each a task of its own.
//!
//! The duty itself never waits: a store that does not answer must not delay a heartbeat.

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

/// What a task brings back.
#[derive(Debug)]
pub(super) enum TaskResult {
    /// The platform's list.
    Listing(Listing),
    /// A root, from the store.
    Root(Root),
    /// Pieces that were asked for.
    Pieces(Source, Vec<Arc<[u8]>>),
    /// A source did not answer.
    Failed(Source),
    /// The answer of another host to a control message.
    Answer(Arc<str>, Bytes),
    /// The answer of another host to an ask for shares and room.
    Steer(Arc<Member>, SteerGive),
    /// State of the ledger.
    Ledger(LedgerReport),
    /// State of the pools owned here.
    Pools(Vec<PoolReport>),
    /// The host is off the platform's list, as far as that could be done.
    Deregistered,
}

/// Where tasks bring their results. Unbounded, and bounded by what the duty starts: a few messages
/// a heartbeat, each with an end in time.
pub(super) type ResultSender = mpsc::UnboundedSender<TaskResult>;

/// Time a watch of the root waits in the store. Each is one call, so that a watching host makes
/// three a minute; a connection that died without a word is noticed after that long.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed store call, so that a store that is down is not called without end.
const STORE_BACKOFF: Duration = Duration::from_millis(500);
/// Reads of the list between two announcements of this host. With the default of a read a second a
/// host is announced every 4 s, so that a list that drops silent hosts after some 10 s may miss one
/// announcement, and a list of 2,400 hosts takes 600 a second.
const READS_PER_REGISTRATION: u32 = 4;
/// Time for the last messages of a host that ends to go out: a round trip between regions, and a
/// new connection before it.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Time a message to another host may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// What tasks call with.
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
    /// Reads the list again and again, and announces what `me` holds every few rounds; once that is
    /// nothing, takes this host off the list and ends.
    ///
    /// The platform drops a host that falls silent. One announcement at the start would leave hosts
    /// that start later without anybody to turn to, and hosts of other domains forgotten here.
    /// Announcing and withdrawing are one task's, so that no announcement overtakes the withdrawal.
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
                    Err(e) => log::debug!(error:% = e; "the list of hosts was not read"),
                }
                tokio::select! {
                    () = tokio::time::sleep(every) => {}
                    changed = me.changed() => match changed {
                        Ok(()) => due = 0,
                        // The duty ended without a planned stop.
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
            // A version that no key has: the first watch answers at once.
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
                        log::debug!(error:% = e; "the root was not watched");
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
            Err(e) => log::error!(error:% = e; "the root in the store cannot be read"),
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
                    log::debug!(error:% = e; "the root was not read");
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

    /// Sends a control message and brings its answer back, if it has one.
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
                    log::debug!(to = &*name, answer:? = other.map(|a| a.status); "no answer");
                    if asks {
                        remote.report_result(TaskResult::Failed(Source::Peer(name)));
                    }
                }
            }
        });
    }

    /// Asks another host for its shares and for room.
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

    /// Takes the host off the list; one that does not answer lags a little more than usual.
    async fn deregister(&self) {
        if let Err(e) = self.list.deregister(&self.name).await {
            log::warn!(error:% = e; "the list was not told that this host is gone");
        }
        // The duty ends with this, and what it is still sending with it.
        tokio::time::sleep(FLUSH_TIME).await;
        self.report_result(TaskResult::Deregistered);
    }

    /// Asks the pools duty for its state.
    pub(super) fn ask_pools(&self, queue: &ring::Sender<pools::Input>) {
        self.ask(queue, pools::Input::GetState, TaskResult::Pools);
    }

    /// Asks the ledger duty for its state.
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
        // A full ring: the next tick asks again.
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

    /// The duty is gone only when the host ends.
    fn report_result(&self, result: TaskResult) {
        let _ = self.results.send(result);
    }
}
