//! Bytes that hosts send each other for a large configuration.
//!
//! Guards against links that are full of repeated configurations. While the operators'
//! configuration grew to some thousand routes, one host answered that a route of the acknowledged
//! version does not exist, and requests reached targets long after these had announced that they
//! leave. Each version was sent in full to each host, in part over links of 10 Mbit/s that carried
//! the answers to eight followers. A response that was incomplete after 650 ms was aborted and
//! requested again elsewhere, until all links were full of copies. Byte counters and log lines
//! about aborted responses distinguished this cause from dead hosts and from a lack of processor
//! time.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_edge::{
    control::FAN_OUT,
    host::Host,
    model::{Config, Entry, HostEntry, Route, Target},
    settings::Settings,
};
use support::{
    MemoryStore, Relay, config, dialect, host_entry, reweighted, settings, target, wait_until,
};

/// Bytes per second of the narrowest link that a host may have: 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 10_000_000 / 8;

/// Maximum bytes that a host may be sent for a change. A change may take 2 s to be active on every
/// host, over a few hops, so a host must have forwarded it to all its followers within one hop's
/// time. Traffic of callers on the same link is not taken into account.
const MAX_CHANGE_BYTES: usize = LINK_BYTES_PER_S / FAN_OUT;

/// Number of routes in a large configuration.
const MANY_ROUTES: usize = 4200;

/// Number of routes added at once.
const ADDED_ROUTES: usize = 1400;

fn large(version: u64, routes: usize) -> Config {
    support::large(config(version), routes)
}

/// A host that reads the store, and a follower that receives changes only from it, over a relay.
struct Pair {
    store: MemoryStore,
    link: Relay,
    reader: Host,
    follower: Host,
}

impl Pair {
    fn open(config: Config, rate: Option<usize>) -> Pair {
        let link = Relay::open(rate);
        let store = MemoryStore::open();
        store.put("config", Entry::Config(Arc::new(config)));
        let reader = HostEntry {
            peers: link.address(),
            ..host_entry("h1", 0)
        };
        store.put("h1", Entry::Host(Arc::new(reader)));
        let reader = Host::spawn(settings(), store.platform_store_unlisted(), dialect())
            .expect("the host starts");
        wait_until(|| reader.shared().is_ready());
        link.connect_to(reader.shared().settings.listen.peers);
        let unavailable = MemoryStore::open();
        unavailable.set_unavailable(true);
        let mut settings = Settings {
            name: "h2".into(),
            ..settings()
        };
        settings.reloadable.seeds = vec![link.address()];
        let follower = Host::spawn(settings, unavailable.platform_store_unlisted(), dialect())
            .expect("the host starts");
        Pair {
            store,
            link,
            reader,
            follower,
        }
    }

    /// Returns the bytes sent over the link until the follower meets the condition after a change
    /// of the store.
    fn link_bytes(
        &self,
        change: impl FnOnce(&MemoryStore),
        arrived: impl Fn(&Host) -> bool,
    ) -> usize {
        let before = self.link.bytes();
        change(&self.store);
        wait_until(|| arrived(&self.follower));
        self.link.bytes() - before
    }
}

fn version(host: &Host) -> u64 {
    let view = host.shared().view.load();
    view.config.as_ref().map_or(0, |config| config.version)
}

/// Returns the bytes sent over the link for a change of versions. The new version must arrive
/// unchanged.
fn config_change_bytes(old: Config, new: Config) -> usize {
    let pair = Pair::open(old, None);
    wait_until(|| version(&pair.follower) == 1);
    let new = Arc::new(new);
    let (entry, version_number) = (Arc::clone(&new), new.version);
    let bytes = pair.link_bytes(
        |store| store.put("config", Entry::Config(entry)),
        |host| version(host) == version_number,
    );
    let replicated = pair.follower.shared().view.load().config.clone();
    assert_eq!(
        sorted(&replicated.expect("the follower has a version")),
        sorted(&new)
    );
    bytes
}

/// An operator changes the weights of one route among thousands. A host must not be sent all routes
/// again: on a narrow link, this takes most of the time within which the change must be active, for
/// each follower of the same host.
#[test]
fn a_change_of_one_route_sends_few_bytes_however_many_there_are() {
    let config = large(1, MANY_ROUTES);
    let bytes = config_change_bytes(config.clone(), reweighted(config));
    assert!(
        bytes <= MAX_CHANGE_BYTES,
        "{bytes} bytes for one route of {MANY_ROUTES}"
    );
}

/// An operator adds a third of all routes at once.
#[test]
fn many_new_routes_send_no_more_than_a_link_carries_in_time() {
    let bytes = config_change_bytes(large(1, MANY_ROUTES - ADDED_ROUTES), large(2, MANY_ROUTES));
    assert!(
        bytes <= MAX_CHANGE_BYTES,
        "{bytes} bytes for {ADDED_ROUTES} routes"
    );
}

/// A target leaves just after a change of the configuration. It must not get requests for as long
/// as the transfer of the configuration takes.
#[test]
fn a_leaving_target_is_announced_despite_a_large_configuration() {
    let config = large(1, MANY_ROUTES);
    let pair = Pair::open(config.clone(), None);
    let target_entry = |leaving| {
        Entry::Target(Arc::new(Target {
            leaving,
            ..target("t1", "127.0.0.1:1".parse().unwrap())
        }))
    };
    pair.store.put("t1", target_entry(false));
    wait_until(|| version(&pair.follower) == 1 && !target_ids(&pair.follower).is_empty());
    let bytes = pair.link_bytes(
        |store| {
            store.put("config", Entry::Config(Arc::new(reweighted(config))));
            store.put("t1", target_entry(true));
        },
        |host| target_ids(host).is_empty(),
    );
    assert!(
        bytes <= MAX_CHANGE_BYTES,
        "{bytes} bytes before the target's state"
    );
}

/// A host starts while the store is unavailable, and its source serves others over the same link.
/// The response takes seconds and must complete: if it were aborted and requested again, none would
/// ever be complete.
#[test]
fn a_slow_response_is_not_aborted() {
    let pair = Pair::open(large(1, MANY_ROUTES), Some(LINK_BYTES_PER_S / FAN_OUT));
    wait_until(|| version(&pair.follower) == 1 || pair.link.aborted() > 0);
    assert_eq!(pair.link.aborted(), 0, "responses were aborted");
    assert!(pair.reader.shared().is_ready());
}

fn target_ids(host: &Host) -> Vec<Arc<str>> {
    let view = host.shared().view.load();
    let targets = view.services.values().flatten();
    targets.map(|known| Arc::clone(&known.target.id)).collect()
}

/// Returns the routes by host name and prefix, because their order has no meaning.
fn sorted(config: &Config) -> BTreeMap<(Arc<str>, Arc<str>), Route> {
    let routes = config.routes.iter();
    let routes = routes.map(|r| {
        let key = (Arc::clone(&r.host), Arc::clone(&r.prefix));
        (key, Route::clone(r))
    });
    routes.collect()
}
