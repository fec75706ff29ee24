//! Keeps this host's replica up to date, from another host or from the store itself.

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
    quarantine,
    tree::tree_position,
};
use crate::{
    host::{Shared, confirmed_at},
    model::{DeferredChange, HostEntry, Item, PlatformStoreError, Revision},
    replica::Changes,
};

/// Interval between two calls of a reader to the store. Changes of half a second come in one
/// response, which costs one call instead of ten.
pub const READER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum wait for changes at the store. Heartbeats need not change anything there, and while
/// nothing changes a reader's replica is as old as this wait. With a longer one, the hosts below
/// would take a quiet store for an unavailable one and read all of it themselves, again and again:
/// this takes a second on a narrow link, during which callers' responses and the next version wait.
/// As the wait replaces the interval, a quiet store is called no more often than a busy one.
const WATCH_TIME: Duration = READER_POLL_INTERVAL;

/// Interval between calls of a host that reads the store itself while no reader answers.
const FALLBACK_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Backoff after a failed call, doubled with each further one up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff after failed calls: a store that is available again is noticed within it.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long a host that did not answer is skipped. Asked again at once, it would delay every round
/// by a full timeout.
const PEER_BACKOFF: Duration = Duration::from_secs(3);

/// How long the removal of a target or host is deferred if its entry vanished while the store was
/// unavailable: entries that expired meanwhile are back within two seconds after the store is
/// available again.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Responses of other hosts from this size on are logged, in bytes: a link of 10 Mbit/s needs 50 ms
/// for one, and callers' responses wait meanwhile.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;

/// Whether entries may have expired while this host could not reach the store, given the age of its
/// replica when it reaches it again.
///
/// If other hosts kept the replica fresh meanwhile, the store was unavailable for this host only.
/// If it deferred removals all the same, its followers would go on sending to a target that has
/// left: the replica is fresh again, so nothing makes them ask another source.
pub fn may_have_expired(age: Duration) -> bool {
    age > STALE_AGE
}

/// State of the follower.
struct Follower {
    shared: Arc<Shared>,
    client: Client,
    /// Whether the store compacted the history after the replica's revision, so that a full read is
    /// needed.
    compacted: bool,
    /// Until when hosts that did not answer are skipped.
    backoff_until: BTreeMap<SocketAddr, Duration>,
    /// Whether the store answered the last call.
    is_store_reached: bool,
    backoff: Duration,
    /// Until when removals are deferred.
    defer_until: Duration,
}

/// Result of a call to the store.
enum WatchResult {
    /// The store returned items.
    Items,
    /// Nothing changed during the wait.
    Nothing,
}

/// Follows changes for as long as the host runs.
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
        // A reader that cannot reach the store follows the other reader, and keeps trying.
        if !is_reader || !self.is_store_reached {
            let is_followed = self.poll_any(&tree_position.sources).await;
            if is_followed && !is_reader {
                return;
            }
        }
        let start = self.shared.now();
        // Updates of other hosts also reach up to a revision of the store. If the host read from
        // the beginning each time that its sources fail, the store would return all items instead
        // of some.
        let at = self.shared.replica().synced_revision();
        let result = match self.is_behind() || self.compacted {
            true => self.read().await,
            false => match self.watch(at).await {
                Err(PlatformStoreError::OtherEra) if self.is_behind() => self.read().await,
                result => result,
            },
        };
        match result {
            // The wait replaced the interval, unless the response came at once.
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

    /// Whether nothing is known of the current era of the store.
    fn is_behind(&self) -> bool {
        let synced = self.shared.replica().synced_revision();
        synced == Revision::NONE || synced.era != self.shared.store.era()
    }

    /// Asks hosts in turn until one has a fresh replica.
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
        let snapshot = self.shared.store.list().await?;
        self.shared.meters.count("store_read");
        log::info!(
            target: "store", event = "read", items = snapshot.items.len(),
            revision:% = snapshot.revision, known:% = self.shared.replica().synced_revision(),
            took_ms = millis(self.shared.now() - start), age_ms = millis(age);
            "full read of the store"
        );
        self.store_regained();
        self.compacted = false;
        let era = self.shared.replica().synced_revision().era;
        self.shared
            .replace(snapshot.revision, snapshot.items, self.removal_delay());
        if era != snapshot.revision.era {
            quarantine::announce_lost(&self.shared);
        }
        self.shared.freshness.confirm(sent);
        Ok(WatchResult::Items)
    }

    async fn watch(&mut self, at: Revision) -> Result<WatchResult, PlatformStoreError> {
        let sent = since_boot();
        let batch = self.shared.store.watch(at, WATCH_TIME).await?;
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

    /// Returns how long a removal is deferred now.
    fn removal_delay(&self) -> Duration {
        self.defer_until.saturating_sub(self.shared.now())
    }

    /// Defers removals of entries that vanished just after the store became available again.
    fn defer_removals(&self, items: Vec<Item>, reached: Revision) -> Changes {
        let left = self.removal_delay();
        let (items, vanished): (_, Vec<_>) = items
            .into_iter()
            .partition(|item| left.is_zero() || item.entry.is_some());
        let deferred = |item| DeferredChange { item, left };
        if !vanished.is_empty() {
            log::info!(
                target: "belief", event = "held_back", entries = vanished.len(), left_ms = millis(left);
                "removals are deferred: entries may have expired while the store was unavailable"
            );
        }
        Changes {
            items,
            deferred: vanished.into_iter().map(deferred).collect(),
            reached,
            ..Changes::default()
        }
    }

    async fn failed(&mut self, error: &PlatformStoreError) {
        match error {
            PlatformStoreError::Compacted => {
                log::info!(target: "store", event = "history_dropped"; "the store compacted its history; a full read follows");
                self.compacted = true;
            }
            PlatformStoreError::OtherEra => self.back_off().await,
            _ => {
                if std::mem::replace(&mut self.is_store_reached, false) {
                    log::warn!(target: "store", event = "lost", error:% = error; "the store is unavailable");
                }
                for seed in self.shared.reloadable.load().seeds.clone() {
                    if self.shared.view.load().config.is_none() && self.poll_host(seed).await {
                        break;
                    }
                }
                self.back_off().await;
            }
        }
    }

    async fn back_off(&mut self) {
        tokio::time::sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Handles a response of the store: it is available.
    fn store_regained(&mut self) {
        self.backoff = MIN_BACKOFF;
        if !std::mem::replace(&mut self.is_store_reached, true) {
            let age = self.shared.age();
            if may_have_expired(age) {
                self.defer_until = self.shared.now() + REMOVAL_DELAY;
            }
            log::info!(target: "store", event = "regained", age_ms = millis(age), keeps = may_have_expired(age); "the store is available again");
        }
    }

    /// Requests changes from another host; returns whether its replica is fresh enough to follow
    /// it.
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
                    "asking the next source"
                );
                self.backoff_until.insert(address, now + PEER_BACKOFF);
                false
            }
        }
    }

    /// Applies a response and returns the age of the replica it came from. If its configuration
    /// update is unusable, the response confirms nothing: the next source is asked, finally the
    /// store, which returns the full version.
    fn apply_response(
        &self,
        address: SocketAddr,
        received: ReceivedChanges,
        sent: Duration,
        took: Duration,
    ) -> anyhow::Result<Duration> {
        let response = self.note_cost(address, received, took);
        self.shared.store.learn(response.changes.reached.era);
        self.shared
            .apply_update(response.news.as_ref(), response.changes)?;
        let at = confirmed_at(sent, took, response.held, response.age);
        self.shared.freshness.confirm(at);
        Ok(response.age)
    }

    /// Records the cost of a response.
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
                "large response of another host"
            );
        }
        if let Some(keys) = response
            .changes
            .whole
            .as_ref()
            .and_then(|w| w.keys.as_ref())
        {
            log::info!(
                target: "peers", event = "keys_told", host:% = address, keys = keys.len(), reached:% = response.changes.reached;
                "removing all other keys: the source does not know every removal"
            );
        }
        response
    }
}
