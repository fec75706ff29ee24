//! Keeps what this host believes up to date: from a reader, or from the store itself.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_node::{
    clock::{millis, since_boot},
    wire::Client,
};

use super::{
    changes::{
        ChangesRequest, ChangesResponse, MAX_RESPONSE_BYTES, ReceivedChanges, STALE_AGE,
        request_changes,
    },
    tree::tree_position,
};
use crate::{
    host::{Shared, confirmed_at},
    model::{DeferredRemoval, HostEntry, Item, PlatformStoreError},
    replica::Changes,
};

/// Pause of a reader between two calls to the store. Changes of half a second come in one answer,
/// which costs one call instead of ten.
pub const READER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait for changes at the store. Heartbeats need not change anything there, and while nothing
/// does a reader's word is as old as this wait. Longer, and the hosts below would take a quiet store for a
/// lost one and read all of it for themselves, over and over: it takes a narrow link a second, in which
/// callers' answers and the next version wait. With the pause instead of it, a quiet store is called no
/// more often than a busy one.
const WATCH_TIME: Duration = READER_POLL_INTERVAL;

/// Pause of a host that reads for itself while no reader answers.
const FALLBACK_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Pause after a failed call, doubled with each up to [`LONGEST_PAUSE`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failed calls: a store that is back is noticed within it.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long a host that did not answer is passed over. Asked again at once, it would hold up every
/// round by the time that an answer may take.
const PEER_BACKOFF: Duration = Duration::from_secs(3);

/// How long a target or host whose entry vanished while the store was away is still believed in:
/// entries that lapsed meanwhile are back within two seconds of the store's return.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Answers of other hosts from this size on have a line of their own, in bytes: a link of 10 Mbit/s needs
/// 50 ms for it, and callers' answers wait meanwhile.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;

/// Whether entries may have lapsed while this host did not reach the store, given the age of its word
/// as it returns.
///
/// Where other hosts gave it fresh word meanwhile, the store was away for this host alone. Were it to
/// hold removals back all the same, hosts that ask it would go on sending to a target that has left:
/// its word is fresh again, and nothing tells them to ask another.
pub fn may_have_expired(age: Duration) -> bool {
    age > STALE_AGE
}

/// State of the follower.
struct Follower {
    shared: Arc<Shared>,
    client: Client,
    /// Whether the store dropped the history after what is believed: all of it is read.
    compacted: bool,
    /// Until when hosts that did not answer are passed over.
    backoff_until: BTreeMap<SocketAddr, Duration>,
    /// Whether the store answered the last call.
    is_store_reached: bool,
    backoff: Duration,
    /// Until when entries that vanish are kept.
    defer_until: Duration,
}

/// What a call to the store gave.
enum WatchResult {
    /// Items.
    Items,
    /// The word that nothing changed, after a wait.
    Nothing,
}

/// Follows for as long as the host lives.
pub(super) async fn follow(shared: Arc<Shared>) {
    let peers = shared.settings.listen.peers;
    let mut follower = Follower {
        client: Client::open_from(Some(peers.ip()), MAX_RESPONSE_BYTES),
        shared,
        compacted: false,
        backoff_until: BTreeMap::new(),
        is_store_reached: true,
        backoff: MIN_BACKOFF,
        defer_until: Duration::ZERO,
    };
    loop {
        follower.step().await;
    }
}

impl Follower {
    async fn step(&mut self) {
        let settings = &self.shared.settings;
        let tree_position = tree_position(
            &settings.name,
            &self.shared.view.load().hosts,
            &self.shared.reloadable.load().domains,
        );
        let is_reader = tree_position.is_reader;
        // A reader that the store does not serve follows the other one, and goes on trying.
        if !is_reader || !self.is_store_reached {
            let is_followed = self.poll_any(&tree_position.sources).await;
            if is_followed && !is_reader {
                return;
            }
        }
        let start = self.shared.now();
        // What other hosts told goes up to a revision of the store as well. Read from the beginning
        // each time that its sources fail, the store would answer with all items instead of some.
        let at = self.shared.replica().synced_revision();
        let result = match at == 0 || self.compacted {
            true => self.read().await,
            false => self.watch(at).await,
        };
        match result {
            // The wait stood for the pause, unless the answer came at once.
            Ok(WatchResult::Nothing) if is_reader => {
                let waited = self.shared.now() - start;
                tokio::time::sleep(READER_POLL_INTERVAL.saturating_sub(waited)).await;
            }
            Ok(_) => {
                let interval = if is_reader {
                    READER_POLL_INTERVAL
                } else {
                    FALLBACK_POLL_INTERVAL
                };
                tokio::time::sleep(interval).await;
            }
            Err(e) => self.failed(&e).await,
        }
    }

    /// Asks hosts in turn until one has fresh word.
    async fn poll_any(&mut self, hosts: &[Arc<HostEntry>]) -> bool {
        for host in hosts {
            if self.poll_host(host.peers).await {
                return true;
            }
        }
        false
    }

    async fn read(&mut self) -> Result<WatchResult, PlatformStoreError> {
        let (start, age, sent) = (self.shared.now(), self.shared.age(), since_boot());
        let snapshot = (self.shared.store.list)(()).await?;
        self.shared.meters.count("store_read");
        log::info!(
            target: "store", event = "read", items = snapshot.items.len(),
            took_ms = millis(self.shared.now() - start), age_ms = millis(age);
            "everything was read"
        );
        self.store_regained();
        self.compacted = false;
        self.shared
            .replace(snapshot.revision, snapshot.items, self.removal_delay());
        self.shared.freshness.confirm(sent);
        Ok(WatchResult::Items)
    }

    async fn watch(&mut self, at: u64) -> Result<WatchResult, PlatformStoreError> {
        let sent = since_boot();
        let batch = (self.shared.store.watch)((at, WATCH_TIME)).await?;
        self.store_regained();
        let result = match batch.items.is_empty() {
            true => WatchResult::Nothing,
            false => WatchResult::Items,
        };
        self.shared
            .apply_changes(self.defer_removals(batch.items, batch.revision));
        self.shared.freshness.confirm(sent);
        Ok(result)
    }

    /// How much longer entries that vanish are kept.
    fn removal_delay(&self) -> Duration {
        self.defer_until.saturating_sub(self.shared.now())
    }

    /// Parts entries that vanished just after the store's return from what is taken at once.
    fn defer_removals(&self, items: Vec<Item>, reached: u64) -> Changes {
        let left = self.removal_delay();
        let (items, vanished): (_, Vec<_>) = items
            .into_iter()
            .partition(|item| left.is_zero() || item.entry.is_some());
        let deferred = |Item { key, rev, .. }| DeferredRemoval { key, rev, left };
        if !vanished.is_empty() {
            log::info!(
                target: "belief", event = "held_back", entries = vanished.len(), left_ms = millis(left);
                "entries that vanished may have lapsed while the store was away"
            );
        }
        Changes {
            items,
            endings: vanished.into_iter().map(deferred).collect(),
            reached,
            ..Changes::default()
        }
    }

    async fn failed(&mut self, error: &PlatformStoreError) {
        match error {
            PlatformStoreError::Compacted => {
                log::info!(target: "store", event = "history_dropped"; "read anew");
                self.compacted = true;
            }
            _ => {
                if std::mem::replace(&mut self.is_store_reached, false) {
                    log::warn!(target: "store", event = "lost", error:% = error; "the store is lost");
                }
                for seed in self.shared.reloadable.load().seeds.clone() {
                    if self.shared.view.load().config.is_none() && self.poll_host(seed).await {
                        break;
                    }
                }
                tokio::time::sleep(self.backoff).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// The store answered.
    fn store_regained(&mut self) {
        self.backoff = MIN_BACKOFF;
        if !std::mem::replace(&mut self.is_store_reached, true) {
            let age = self.shared.age();
            if may_have_expired(age) {
                self.defer_until = self.shared.now() + REMOVAL_DELAY;
            }
            log::info!(target: "store", event = "regained", age_ms = millis(age), keeps = may_have_expired(age); "the store is back");
        }
    }

    /// Asks another host for changes; tells whether its word is fresh enough to follow it.
    async fn poll_host(&mut self, address: SocketAddr) -> bool {
        let now = self.shared.now();
        let is_backed_off = self
            .backoff_until
            .get(&address)
            .is_some_and(|until| now < *until);
        if is_backed_off || address == self.shared.settings.listen.peers {
            return false;
        }
        let request = {
            let replica = self.shared.replica();
            ChangesRequest {
                reached: replica.synced_revision(),
                version: replica.version(),
            }
        };
        let sent = since_boot();
        let answer = request_changes(&self.client, address, &request).await;
        let took = self.shared.now() - now;
        let received = answer.map_err(anyhow::Error::from);
        match received.and_then(|received| self.apply_response(address, received, sent, took)) {
            Ok(age) => {
                self.backoff_until.remove(&address);
                age < STALE_AGE
            }
            Err(e) => {
                self.shared.meters.count("source_failed");
                log::warn!(
                    target: "peers", event = "source_failed", host:% = address, error:% = e,
                    took_ms = millis(took), age_ms = millis(self.shared.age());
                    "the next source is asked"
                );
                self.backoff_until.insert(address, now + PEER_BACKOFF);
                false
            }
        }
    }

    /// Takes an answer in; gives the age of the word in it. Where its news of the configuration are of no
    /// use, nothing of it confirms what is believed: the next source is asked, at last the store, which
    /// gives the version whole.
    fn apply_response(
        &self,
        address: SocketAddr,
        received: ReceivedChanges,
        sent: Duration,
        took: Duration,
    ) -> anyhow::Result<Duration> {
        let response = self.note_cost(address, received, took);
        self.shared
            .apply_update(response.news.as_ref(), response.changes)?;
        let at = confirmed_at(sent, took, response.held, response.age);
        self.shared.freshness.confirm(at);
        Ok(response.age)
    }

    /// Notes what an answer cost.
    fn note_cost(
        &self,
        address: SocketAddr,
        received: ReceivedChanges,
        took: Duration,
    ) -> ChangesResponse {
        let ReceivedChanges { response, size } = received;
        self.shared.meters.add("peer_in_bytes", size);
        if size >= LARGE_RESPONSE_BYTES {
            log::info!(
                target: "peers", event = "large_answer", host:% = address, bytes = size,
                items = response.changes.items.len(), took_ms = millis(took), age_ms = millis(response.age);
                "many changes at once"
            );
        }
        if let Some(keys) = response
            .changes
            .whole
            .as_ref()
            .and_then(|w| w.keys.as_ref())
        {
            log::info!(
                target: "peers", event = "keys_told", host:% = address, keys = keys.len(), reached = response.changes.reached;
                "what is not among them is gone: the source does not know every removal"
            );
        }
        response
    }
}
