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
    store::{HostList, ROOT_KEY, Store, Versioned, perform},
    view::Member,
    wire::Client,
};

/// What a task brings back.
#[derive(Debug)]
pub(super) enum Done {
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
    Withdrawn,
}

/// Where tasks bring their results. Unbounded, and bounded by what the duty starts: a few messages
/// a heartbeat, each with an end in time.
pub(super) type Results = mpsc::UnboundedSender<Done>;

/// Time a watch of the root waits in the store. Each is one call, so that a watching host makes
/// three a minute; a connection that died without a word is noticed after that long.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause after a failed store call, so that a store that is down is not called without end.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Reads of the list between two announcements of this host. With the default of a read a second a
/// host is announced every 4 s, so that a list that drops silent hosts after some 10 s may miss one
/// announcement, and a list of 2,400 hosts takes 600 a second.
const ANNOUNCE_ROUNDS: u32 = 4;
/// Time for the last messages of a host that ends to go out: a round trip between regions, and a
/// new connection before it.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Time a message to another host may take.
const SEND_TIME: Duration = Duration::from_secs(1);

/// What tasks call with.
#[derive(Clone)]
pub(super) struct Caller {
    /// Name of this host.
    pub name: Arc<str>,
    pub client: Client,
    pub store: Store,
    pub list: HostList,
    pub metrics: Metrics,
    pub results: Results,
}

impl Caller {
    /// Reads the list again and again, and announces what `me` holds every few rounds; once that is
    /// nothing, takes this host off the list and ends.
    ///
    /// The platform drops a host that falls silent. One announcement at the start would leave hosts
    /// that start later without anybody to turn to, and hosts of other domains forgotten here.
    /// Announcing and withdrawing are one task's, so that no announcement overtakes the withdrawal.
    pub(super) fn keep_listed(&self, mut me: watch::Receiver<Option<Listed>>, every: Duration) {
        let caller = self.clone();
        tokio::spawn(async move {
            let mut due = 0;
            loop {
                let now = me.borrow_and_update().clone();
                let Some(listed) = now else { break };
                if due == 0 && caller.list.announce(&listed).await.is_ok() {
                    due = ANNOUNCE_ROUNDS;
                }
                due = due.saturating_sub(1);
                match caller.list.read().await {
                    Ok(listing) => caller.bring(Done::Listing(listing)),
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
            caller.withdraw().await;
        });
    }

    /// Watches the root while `on` is true.
    pub(super) fn watch_root(&self, mut on: watch::Receiver<bool>) {
        let caller = self.clone();
        tokio::spawn(async move {
            // A version that no key has: the first watch answers at once.
            let mut known = u64::MAX;
            while on.wait_for(|on| *on).await.is_ok() {
                caller.metrics.count(Counter::StoreCalls);
                match caller.store.watch(ROOT_KEY, known, WATCH_TIME).await {
                    Ok(Some(found)) => {
                        known = found.version;
                        caller.bring_root(&found);
                    }
                    Ok(None) => {}
                    Err(e) => {
                        caller.metrics.count(Counter::StoreFailures);
                        log::debug!(error:% = e; "the root was not watched");
                        tokio::time::sleep(STORE_PAUSE).await;
                    }
                }
            }
        });
    }

    fn bring_root(&self, found: &Versioned) {
        let Some(value) = &found.value else { return };
        match coord_wire::decode::<Root>(value) {
            Ok(root) => self.bring(Done::Root(root)),
            Err(e) => log::error!(error:% = e; "the root in the store cannot be read"),
        }
    }

    /// Reads the root once.
    pub(super) fn read_root(&self) {
        let caller = self.clone();
        tokio::spawn(async move {
            caller.metrics.count(Counter::StoreCalls);
            match caller.store.get(ROOT_KEY).await {
                Ok(found) => caller.bring_root(&found),
                Err(e) => {
                    caller.metrics.count(Counter::StoreFailures);
                    log::debug!(error:% = e; "the root was not read");
                    caller.bring(Done::Failed(Source::Store));
                }
            }
        });
    }

    /// Reads pieces from the store.
    pub(super) fn read_pieces(&self, hashes: Vec<Hash>) {
        let caller = self.clone();
        tokio::spawn(async move {
            let reads = hashes.into_iter().map(|hash| {
                caller.metrics.count(Counter::StoreCalls);
                perform(&caller.store, StoreOp::ReadPiece(hash))
            });
            let mut pieces = Vec::new();
            for answer in futures::future::join_all(reads).await {
                if let StoreReply::Piece(Some(bytes)) = answer {
                    pieces.push(bytes);
                }
            }
            caller.bring(match pieces.is_empty() {
                true => Done::Failed(Source::Store),
                false => Done::Pieces(Source::Store, pieces),
            });
        });
    }

    /// Sends a control message and brings its answer back, if it has one.
    pub(super) fn send(&self, to: &Arc<str>, address: SocketAddr, message: &Message) {
        let frame = coord_wire::encode(message);
        self.metrics.add(Counter::ControlOut, frame.len() as u64);
        let asks = matches!(message, Message::RootAsk(_) | Message::PieceAsk(_));
        let (caller, name) = (self.clone(), Arc::clone(to));
        tokio::spawn(async move {
            let sent = caller
                .client
                .post(address, super::CONTROL_PATH, frame, SEND_TIME)
                .await;
            match sent {
                Ok(answer) if answer.status == StatusCode::OK && !answer.body.is_empty() => {
                    caller
                        .metrics
                        .add(Counter::ControlIn, answer.body.len() as u64);
                    caller.bring(Done::Answer(name, answer.body));
                }
                Ok(answer) if answer.status.is_success() && !asks => {}
                other => {
                    log::debug!(to = &*name, answer:? = other.map(|a| a.status); "no answer");
                    if asks {
                        caller.bring(Done::Failed(Source::Peer(name)));
                    }
                }
            }
        });
    }

    /// Asks another host for its shares and for room.
    pub(super) fn steer(&self, to: Arc<Member>, ask: &SteerAsk) {
        let frame = coord_wire::encode(ask);
        self.metrics.add(Counter::SteerOut, frame.len() as u64);
        let caller = self.clone();
        tokio::spawn(async move {
            let sent = caller
                .client
                .post(to.peers, super::STEER_PATH, frame, SEND_TIME)
                .await;
            let Ok(answer) = sent else { return };
            caller
                .metrics
                .add(Counter::SteerIn, answer.body.len() as u64);
            if answer.status == StatusCode::OK
                && let Ok(give) = coord_wire::decode(&answer.body)
            {
                caller.bring(Done::Steer(to, give));
            }
        });
    }

    /// Takes the host off the list; one that does not answer lags a little more than usual.
    async fn withdraw(&self) {
        if let Err(e) = self.list.withdraw(&self.name).await {
            log::warn!(error:% = e; "the list was not told that this host is gone");
        }
        // The duty ends with this, and what it is still sending with it.
        tokio::time::sleep(LAST_WORDS).await;
        self.bring(Done::Withdrawn);
    }

    /// Asks the pools duty for its state.
    pub(super) fn ask_pools(&self, ring: &ring::Sender<pools::Input>) {
        self.ask(ring, pools::Input::Ask, Done::Pools);
    }

    /// Asks the ledger duty for its state.
    pub(super) fn ask_ledger(&self, ring: &ring::Sender<ledger::Input>) {
        self.ask(ring, ledger::Input::Ask, Done::Ledger);
    }

    fn ask<I, R: Send + 'static>(
        &self,
        ring: &ring::Sender<I>,
        input: fn(oneshot::Sender<R>) -> I,
        done: fn(R) -> Done,
    ) {
        let (reply, answer) = oneshot::channel();
        // A full ring: the next tick asks again.
        if ring.push(input(reply)).is_err() {
            return;
        }
        let caller = self.clone();
        tokio::spawn(async move {
            if let Ok(report) = answer.await {
                caller.bring(done(report));
            }
        });
    }

    /// The duty is gone only when the host ends.
    fn bring(&self, done: Done) {
        let _ = self.results.send(done);
    }
}
