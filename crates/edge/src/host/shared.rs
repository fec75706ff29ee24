//! State shared by the threads of a host.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use dunlinrock_decide::admit::direct::{
    HostShare, LoadCollector, LoadFigure, OwnShare, RecentHosts, Reporter, TokenGrant, ToldLoad,
};
use dunlinrock_node::clock::Clock;
use tokio::sync::{mpsc, watch};

use super::freshness::{Freshness, max_key_age};
use crate::{
    control::QuarantineChange,
    limits::{GrantError, JOIN_DELAY, TokenIssuer, TokenRequest},
    links::{Links, Neighbors},
    meters::Meters,
    model::{Config, Dialect, HostEntry, Item, PlatformStore, Revision},
    notices::TargetNotices,
    replica::{Changes, ConfigUpdate, ConfigUpdateError, Replica, View},
    settings::{ReloadableSettings, Settings},
    store::Store,
};

/// Changes of the quarantine that wait to be announced; a crash makes one for each request that the
/// target ran.
const MAX_QUARANTINE_CHANGES: usize = 64;

/// Phase of the host's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host serves callers.
    Serving,
    /// A graceful shutdown has started.
    Draining,
    /// Callers are no longer served.
    Stopped,
}

/// How far followers can be updated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watermark {
    /// Highest revision under which a change was published.
    pub publish_revision: Revision,
    /// Version of the configuration.
    pub version: u64,
}

/// State shared by the threads of a host.
#[derive(Debug)]
pub struct Shared {
    /// Settings that the host started with; those that can be reloaded are in `reloadable`.
    pub settings: Settings,
    /// Reloadable settings, as last read from the file.
    pub reloadable: ArcSwap<ReloadableSettings>,
    /// The platform's store.
    pub store: Store,
    /// The platform's headers, paths and formats.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// Snapshot that requests are served from.
    pub view: ArcSwap<View>,
    /// How far followers can be updated; changes wake those that wait.
    pub changed: watch::Sender<Watermark>,
    /// Phase of the host.
    pub phase: watch::Sender<Phase>,
    /// Counters and histograms.
    pub meters: Meters,
    replica: Mutex<Replica>,
    history: Mutex<ViewHistory>,
    /// When the store last confirmed the replica.
    pub freshness: Freshness,
    /// Changes of the quarantine for the other hosts.
    pub(crate) quarantine_changes: mpsc::Sender<QuarantineChange>,
    /// Requests that this host has announced, with the revisions of their entries.
    announced: Mutex<BTreeMap<u64, Revision>>,
    /// Tokens of the limit shares that this host owns.
    pub(crate) token_issuer: TokenIssuer,
    /// Loads of targets that other hosts report to this one.
    loads: Mutex<LoadCollector>,
    /// This host's links to the targets.
    pub links: Arc<Links>,
    /// What targets have said about themselves to this host.
    pub notices: TargetNotices,
}

/// What a view takes over from earlier ones.
#[derive(Debug)]
struct ViewHistory {
    /// Until when the targets of formerly evacuated domains count as cold.
    cold_until: BTreeMap<Arc<str>, Duration>,
    sharers: RecentHosts,
    own_share: OwnShare<Revision>,
}

impl ViewHistory {
    fn open(first_start: bool) -> ViewHistory {
        ViewHistory {
            cold_until: BTreeMap::new(),
            sharers: RecentHosts::open(),
            own_share: OwnShare::open(JOIN_DELAY, first_start),
        }
    }
}

impl Shared {
    /// Opens the state; also returns the changes of the quarantine to announce.
    pub(super) fn open(
        settings: Settings,
        store: PlatformStore,
        dialect: Dialect,
    ) -> (Arc<Shared>, mpsc::Receiver<QuarantineChange>) {
        let (quarantine_changes, changes) = mpsc::channel(MAX_QUARANTINE_CHANGES);
        let clock = Clock::open();
        let history = ViewHistory::open(settings.first_start);
        let shared = Arc::new(Shared {
            links: Arc::new(Links::open(clock)),
            notices: TargetNotices::default(),
            quarantine_changes,
            reloadable: ArcSwap::from_pointee(settings.reloadable.clone()),
            settings,
            store: Store::open(store),
            dialect,
            clock,
            view: ArcSwap::from_pointee(View::default()),
            changed: watch::channel(Watermark::default()).0,
            phase: watch::channel(Phase::Serving).0,
            meters: Meters::open(),
            replica: Mutex::new(Replica::open()),
            history: Mutex::new(history),
            freshness: Freshness::default(),
            announced: Mutex::default(),
            token_issuer: TokenIssuer::open(),
            loads: Mutex::new(LoadCollector::open()),
        });
        (shared, changes)
    }

    /// Announces a change of the quarantine to other hosts.
    pub(crate) fn announce_quarantine(&self, change: QuarantineChange) {
        // A full queue costs only the announcement: this host acts on its own record.
        if self.quarantine_changes.try_send(change).is_err() {
            self.meters.count("quarantine_unannounced");
        }
    }

    /// Locks the announced requests.
    pub(crate) fn announced(&self) -> MutexGuard<'_, BTreeMap<u64, Revision>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the replica.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether callers should use this host.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        let serves = |config: &Arc<Config>| config.workspaces.is_empty() || self.keys_are_fresh();
        *self.phase.borrow() == Phase::Serving
            && view.config.as_ref().is_some_and(serves)
            && !self.links.is_isolated()
    }

    /// Advances to a later phase.
    pub fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|held| {
            let later = phase > *held;
            *held = (*held).max(phase);
            later
        });
    }

    /// Applies changes and publishes the new view.
    pub fn apply_changes(&self, changes: Changes) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.apply_changes(changes, now) {
            self.publish(&replica, now);
        }
    }

    /// Applies deferred removals that are due.
    pub fn apply_deferred(&self) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.apply_deferred(now) {
            self.publish(&replica, now);
        }
    }

    /// Applies a configuration update and changes from another host. Both are published at once, so
    /// that a request never meets a route whose targets are still to come.
    ///
    /// # Errors
    ///
    /// When the update cannot be read or does not fit the active version; the changes are not
    /// applied then.
    pub fn apply_update(
        &self,
        update: Option<&ConfigUpdate>,
        changes: Changes,
    ) -> Result<(), ConfigUpdateError> {
        let now = self.now();
        let mut replica = self.replica();
        let before = replica.change_count();
        let applied = update.map_or(Ok(()), |update| replica.apply_update(update));
        if applied.is_ok() {
            replica.apply_changes(changes, now);
        }
        // Some patches may have been applied before one that does not fit.
        if replica.change_count() > before {
            self.publish(&replica, now);
        }
        applied
    }

    /// Applies a full read; the removal of items that are not in it is deferred by `left`.
    pub fn replace(&self, at: Revision, items: Vec<Item>, left: Duration) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.replace_deferring(at, items, left, now) {
            self.publish(&replica, now);
        }
    }

    /// Returns the time since the store last confirmed the replica.
    pub fn age(&self) -> Duration {
        self.freshness.age()
    }

    /// Returns this host's share of the limits that hosts divide.
    pub fn host_share(&self) -> HostShare {
        let age = self.age();
        self.view.load().host_share(age, self.now())
    }

    /// Whether the known keys are fresh enough to serve callers by.
    pub fn keys_are_fresh(&self) -> bool {
        let revoke = self.reloadable.load().revoke;
        revoke.is_none_or(|revoke| self.age() <= max_key_age(revoke))
    }

    /// Grants tokens of the limit shares that this host owns.
    pub(crate) fn grant_tokens(
        &self,
        request: &TokenRequest,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, GrantError> {
        if *self.phase.borrow() != Phase::Serving {
            return Err(GrantError::NoLease);
        }
        let age = self.age();
        let (view, rules) = (self.view.load(), self.reloadable.load().limit);
        let (me, issuer) = (&self.settings.name, &self.token_issuer);
        let grants = issuer.grant(me, request, (age, &view), &rules)?;
        let count: u32 = grants.values().map(|grants| grants.count).sum();
        self.meters.add("tokens_given", count as usize);
        Ok(grants)
    }

    /// Records a report of targets' loads, and returns what the host that reports its own requests
    /// is told; nothing if the report is about a region.
    pub(crate) fn collect_loads(
        &self,
        reporter: Reporter,
        sent: Duration,
        figures: &[LoadFigure],
    ) -> Vec<ToldLoad> {
        let (view, now) = (self.view.load(), self.now());
        let mut loads = self.loads();
        if !loads.record(reporter, sent, figures, now) {
            self.meters.count("loads_late");
        }
        if reporter.region.is_some() {
            return Vec::new();
        }
        let targets = view.services.values().flatten();
        let targets = targets.map(|known| (known.target.process_hash(), known.target.slots));
        loads.answer(reporter.host, targets, now)
    }

    /// Returns the sums of this region's loads, and what its targets said after `since`.
    pub(crate) fn region_loads(&self, since: Duration) -> Vec<LoadFigure> {
        let (mut loads, now) = (self.loads(), self.now());
        let (meters, reporters) = (&self.meters, loads.reporters(now));
        meters.gauge("loads_reporters", reporters as u64);
        loads.region_figures(since, now)
    }

    fn loads(&self) -> MutexGuard<'_, LoadCollector> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the reloadable settings of a newly read file.
    pub fn reload(&self, settings: Settings) {
        let fixed = self.settings.restart_changes(&settings).join(",");
        let changed = settings.reloadable != **self.reloadable.load();
        self.reloadable.store(Arc::new(settings.reloadable));
        // Views contain the regions of failure domains.
        self.publish(&self.replica(), self.now());
        log::info!(
            target: "host", event = "reload", changed = changed, next_start = &*fixed;
            "the settings file was read"
        );
    }

    /// Returns the targets, and the other hosts, to check this host's links with.
    pub(crate) fn neighbors(&self) -> Neighbors {
        let view = self.view.load();
        let targets = view.services.values().flatten();
        let targets = targets.map(|known| Arc::clone(&known.target));
        let hosts = view.hosts.values();
        Neighbors {
            targets: self.notices.prefer_open(targets.collect(), self.now()),
            hosts: hosts
                .filter(|host| host.name != self.settings.name)
                .cloned()
                .collect(),
        }
    }

    /// Returns this host's entry for the store.
    pub fn host_entry(&self, distance: u32) -> HostEntry {
        HostEntry {
            name: Arc::clone(&self.settings.name),
            domain: Arc::clone(&self.settings.domain),
            callers: self.settings.listen.callers,
            peers: self.settings.listen.peers,
            distance,
            power: (self.settings.processor * 100.0).ceil() as u32,
            link: self.settings.link,
        }
    }

    fn publish(&self, replica: &Replica, now: Duration) {
        let (before, live) = (self.view.load_full(), self.reloadable.load());
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::open(replica, &live.domains, &history.cold_until, &before);
        let returned: Vec<_> = before
            .evacuated
            .difference(&view.evacuated)
            .cloned()
            .collect();
        if !returned.is_empty() {
            // Targets that got no requests for a while are cold, and report it with their next
            // heartbeat; the requests for their affinity keys would all return before that.
            let services = view.config.iter().flat_map(|c| c.services.values());
            let cold = services.map(|s| s.cold).max().unwrap_or_default();
            history
                .cold_until
                .extend(returned.into_iter().map(|domain| (domain, now + cold)));
            view = View::open(replica, &live.domains, &history.cold_until, &before);
        }
        self.token_issuer.retain_owned(&self.settings.name, &view);
        view.sharer_hashes = history
            .sharers
            .update(&before.host_hashes, &view.host_hashes, now);
        let own = view.limit_owners.created(&self.settings.name);
        let is_read = replica.synced_revision() > Revision::NONE;
        history.own_share.update(own, is_read, now);
        view.own_share = history.own_share;
        crate::trace::log_view_change(&before, &view);
        self.view.store(Arc::new(view));
        self.changed.send_replace(Watermark {
            publish_revision: replica.publish_revision(),
            version: replica.version(),
        });
    }
}
