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

use super::word::{Word, trust};
use crate::{
    limits::{Asked, Counter, NotCounting},
    meters::Meters,
    model::{Config, Dialect, Feed, HostEntry, Item},
    replica::{Changes, News, NewsError, View, World},
    settings::{Live, Settings},
};

/// How far the host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was asked to stop.
    Leaving,
    /// Callers are no longer served.
    Ended,
}

/// Up to where a host can be told something.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark {
    /// Highest revision under which an item said something new.
    pub said: u64,
    /// Version of the configuration.
    pub version: u64,
}

/// What the duties share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings, as the host started with them; those that may change are in `live`.
    pub settings: Settings,
    /// Settings that may change, as of the last reading of the file.
    pub live: ArcSwap<Live>,
    /// The platform's store.
    pub feed: Feed,
    /// The platform's names.
    pub dialect: Dialect,
    /// Time since the start.
    pub clock: Clock,
    /// What requests are served by.
    pub view: ArcSwap<View>,
    /// Up to where others can be told something.
    pub changed: watch::Sender<Mark>,
    /// Phase of the host.
    pub phase: watch::Sender<Phase>,
    /// Counters and histograms.
    pub meters: Meters,
    replica: Mutex<World>,
    past: Mutex<Past>,
    /// How old what is believed is.
    pub word: Word,
    /// Slices of limits that this host counts.
    pub(crate) counter: Counter,
}

/// What a view takes from those before it.
#[derive(Debug, Default)]
struct Past {
    /// Until when targets of domains that were evacuated are taken for cold.
    warmed: BTreeMap<Arc<str>, Duration>,
    sharers: RecentHosts,
}

impl Shared {
    pub(super) fn open(settings: Settings, feed: Feed, dialect: Dialect) -> Arc<Shared> {
        Arc::new(Shared {
            live: ArcSwap::from_pointee(settings.live.clone()),
            settings,
            feed,
            dialect,
            clock: Clock::open(),
            view: ArcSwap::from_pointee(View::default()),
            changed: watch::channel(Mark::default()).0,
            phase: watch::channel(Phase::Serving).0,
            meters: Meters::open(),
            replica: Mutex::new(World::open()),
            past: Mutex::default(),
            word: Word::default(),
            counter: Counter::open(),
        })
    }

    /// What is believed.
    pub fn replica(&self) -> MutexGuard<'_, World> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        let serves = |config: &Arc<Config>| config.workspaces.is_empty() || self.is_trusted();
        *self.phase.borrow() == Phase::Serving && view.config.as_ref().is_some_and(serves)
    }

    /// Goes on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|held| {
            let later = phase > *held;
            *held = (*held).max(phase);
            later
        });
    }

    /// Takes changes in, and publishes what they change.
    pub fn take(&self, changes: Changes) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.take(changes, now) {
            self.publish(&replica, now);
        }
    }

    /// Removes what was held back for long enough.
    pub fn settle(&self) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.settle(now) {
            self.publish(&replica, now);
        }
    }

    /// Takes in what another host tells: news of the configuration, and changes. All of it is published at
    /// once: a request never meets a route whose targets are still to come.
    ///
    /// # Errors
    ///
    /// When the news cannot be read, or do not fit the version that is held; the changes are not taken then.
    pub fn hear(&self, news: Option<&News>, changes: Changes) -> Result<(), NewsError> {
        let now = self.now();
        let mut replica = self.replica();
        let before = replica.last();
        let learned = news.map_or(Ok(()), |news| replica.learn(news));
        if learned.is_ok() {
            replica.take(changes, now);
        }
        // Of several steps some may have been taken before one that does not fit.
        if replica.last() > before {
            self.publish(&replica, now);
        }
        learned
    }

    /// Takes a whole reading in; what it does not name is believed in for a while longer.
    pub fn replace(&self, at: u64, items: Vec<Item>, left: Duration) {
        let now = self.now();
        let mut replica = self.replica();
        if replica.replace_within(at, items, left, now) {
            self.publish(&replica, now);
        }
    }

    /// Time since what is believed was provably the store's word.
    pub fn age(&self) -> Duration {
        self.word.age()
    }

    /// Whether callers may be served by their keys.
    pub fn is_trusted(&self) -> bool {
        let revoke = self.live.load().revoke;
        revoke.is_none_or(|revoke| self.age() <= trust(revoke))
    }

    /// Gives out tokens of a slice that this host counts.
    pub(crate) fn give(
        &self,
        asked: &Asked,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, NotCounting> {
        if *self.phase.borrow() != Phase::Serving {
            return Err(NotCounting::Unleased);
        }
        let age = self.age();
        let (view, rules) = (self.view.load(), self.live.load().limit);
        let (me, counter) = (&self.settings.name, &self.counter);
        let given = counter.give(me, asked, (age, &view), &rules)?;
        let count: u32 = given.values().map(|given| given.count).sum();
        self.meters.add("tokens_given", count as usize);
        Ok(given)
    }

    /// Takes up what may change while the host runs, from another reading of the settings file.
    pub fn reload(&self, settings: Settings) {
        let fixed = self.settings.fixed_changes(&settings).join(",");
        let changed = settings.live != **self.live.load();
        self.live.store(Arc::new(settings.live));
        // Regions of failure domains stand in the view.
        self.publish(&self.replica(), self.now());
        log::info!(
            target: "host", event = "reload", changed = changed, next_start = &*fixed;
            "the settings file was read"
        );
    }

    /// This host, as others should know it.
    pub fn introduce(&self, distance: u32) -> HostEntry {
        HostEntry {
            name: Arc::clone(&self.settings.name),
            domain: Arc::clone(&self.settings.domain),
            callers: self.settings.listen.callers,
            peers: self.settings.listen.peers,
            distance,
            power: (self.settings.processor * 100.0).ceil() as u32,
        }
    }

    fn publish(&self, replica: &World, now: Duration) {
        let (before, live) = (self.view.load_full(), self.live.load());
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::open(replica, &live.domains, &past.warmed, &before);
        let back: Vec<_> = before
            .evacuated
            .difference(&view.evacuated)
            .cloned()
            .collect();
        if !back.is_empty() {
            // Targets that got nothing for a while are cold, and say so with their next heartbeat;
            // their objects would all return before that.
            let services = view.config.iter().flat_map(|c| c.services.values());
            let cold = services.map(|s| s.cold).max().unwrap_or_default();
            past.warmed
                .extend(back.into_iter().map(|domain| (domain, now + cold)));
            view = View::open(replica, &live.domains, &past.warmed, &before);
        }
        self.counter.keep(&self.settings.name, &view);
        view.sharers = past.sharers.update(&before.seeds, &view.seeds, now);
        crate::trace::believed(&before, &view);
        self.view.store(Arc::new(view));
        self.changed.send_replace(Mark {
            said: replica.said(),
            version: replica.version(),
        });
    }
}
