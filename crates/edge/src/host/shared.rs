//! What the duties of a host share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use dunlinrock_decide::admit::direct::{RecentHosts, TokenGrant};
use dunlinrock_node::clock::Clock;
use tokio::sync::watch;

use super::freshness::{Freshness, max_key_age};
use crate::{
    limits::{GrantError, TokenIssuer, TokenRequest},
    meters::Meters,
    model::{Config, Dialect, HostEntry, Item, PlatformStore},
    replica::{Changes, ConfigUpdate, ConfigUpdateError, Replica, View},
    settings::{ReloadableSettings, Settings},
};

/// How far the host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was asked to stop.
    Draining,
    /// Callers are no longer served.
    Stopped,
}

/// Up to where a host can be told something.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watermark {
    /// Highest revision under which an item said something new.
    pub publish_revision: u64,
    /// Version of the configuration.
    pub version: u64,
}

/// What the duties share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings, as the host started with them; those that may change are in `live`.
    pub settings: Settings,
    /// Settings that may change, as of the last reading of the file.
    pub reloadable: ArcSwap<ReloadableSettings>,
    /// The platform's store.
    pub store: PlatformStore,
    /// The platform's names.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// What requests are served by.
    pub view: ArcSwap<View>,
    /// Up to where others can be told something.
    pub changed: watch::Sender<Watermark>,
    /// Phase of the host.
    pub phase: watch::Sender<Phase>,
    /// Counters and histograms.
    pub meters: Meters,
    replica: Mutex<Replica>,
    history: Mutex<ViewHistory>,
    /// How old what is believed is.
    pub freshness: Freshness,
    /// Slices of limits that this host counts.
    pub(crate) token_issuer: TokenIssuer,
}

/// What a view takes from those before it.
#[derive(Debug, Default)]
struct ViewHistory {
    /// Until when targets of domains that were evacuated are taken for cold.
    cold_until: BTreeMap<Arc<str>, Duration>,
    sharers: RecentHosts,
}

impl Shared {
    pub(super) fn open(settings: Settings, store: PlatformStore, dialect: Dialect) -> Arc<Shared> {
        Arc::new(Shared {
            reloadable: ArcSwap::from_pointee(settings.reloadable.clone()),
            settings,
            store,
            dialect,
            clock: Clock::open(),
            view: ArcSwap::from_pointee(View::default()),
            changed: watch::channel(Watermark::default()).0,
            phase: watch::channel(Phase::Serving).0,
            meters: Meters::open(),
            replica: Mutex::new(Replica::open()),
            history: Mutex::default(),
            freshness: Freshness::default(),
            token_issuer: TokenIssuer::open(),
        })
    }

    /// What is believed.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        let serves = |config: &Arc<Config>| config.workspaces.is_empty() || self.keys_are_fresh();
        *self.phase.borrow() == Phase::Serving && view.config.as_ref().is_some_and(serves)
    }

    /// Goes on to a later phase.
    pub fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|held| {
            let later = phase > *held;
            *held = (*held).max(phase);
            later
        });
    }

    /// Takes changes in, and publishes what they change.
    pub fn apply_changes(&self, changes: Changes) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.apply_changes(changes, now) {
            self.publish(&replica, now);
        }
    }

    /// Removes what was held back for long enough.
    pub fn apply_deferred(&self) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.apply_deferred(now) {
            self.publish(&replica, now);
        }
    }

    /// Takes in what another host tells: news of the configuration, and changes. All of it is published at
    /// once: a request never meets a route whose targets are still to come.
    ///
    /// # Errors
    ///
    /// When the news cannot be read, or do not fit the version that is held; the changes are not taken then.
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
        // Of several steps some may have been taken before one that does not fit.
        if replica.change_count() > before {
            self.publish(&replica, now);
        }
        applied
    }

    /// Takes a whole reading in; what it does not name is believed in for a while longer.
    pub fn replace(&self, at: u64, items: Vec<Item>, left: Duration) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.replace_deferring(at, items, left, now) {
            self.publish(&replica, now);
        }
    }

    /// Time since what is believed was provably the store's word.
    pub fn age(&self) -> Duration {
        self.freshness.age()
    }

    /// Whether callers may be served by their keys.
    pub fn keys_are_fresh(&self) -> bool {
        let revoke = self.reloadable.load().revoke;
        revoke.is_none_or(|revoke| self.age() <= max_key_age(revoke))
    }

    /// Gives out tokens of a slice that this host counts.
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

    /// Takes up what may change while the host runs, from another reading of the settings file.
    pub fn reload(&self, settings: Settings) {
        let fixed = self.settings.restart_changes(&settings).join(",");
        let changed = settings.reloadable != **self.reloadable.load();
        self.reloadable.store(Arc::new(settings.reloadable));
        // Regions of failure domains stand in the view.
        self.publish(&self.replica(), self.now());
        log::info!(
            target: "host", event = "reload", changed = changed, next_start = &*fixed;
            "the settings file was read"
        );
    }

    /// This host, as others should know it.
    pub fn host_entry(&self, distance: u32) -> HostEntry {
        HostEntry {
            name: Arc::clone(&self.settings.name),
            domain: Arc::clone(&self.settings.domain),
            callers: self.settings.listen.callers,
            peers: self.settings.listen.peers,
            distance,
            power: (self.settings.processor * 100.0).ceil() as u32,
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
            // Targets that got nothing for a while are cold, and say so with their next heartbeat;
            // their objects would all return before that.
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
        crate::trace::log_view_change(&before, &view);
        self.view.store(Arc::new(view));
        self.changed.send_replace(Watermark {
            publish_revision: replica.publish_revision(),
            version: replica.version(),
        });
    }
}
