//! What hosts send each other when the configuration is large.
//!
//! Seen: while the operators' configuration grew to some thousand routes, a caller was told by one host
//! that a route does not exist which the acknowledged version has, and requests reached targets long
//! after they had said that they leave. Each version went whole to each host, some of them with a link
//! of 10 Mbit/s that eight others were served over; an answer that was not whole after 650 ms was broken
//! off and asked again elsewhere, until all links were full of copies. Counters of bytes and lines about
//! broken answers told that from dead hosts and from want of processor time.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_edge::{
    control::FAN_OUT,
    host::Host,
    model::{Config, Entry, HostEntry, Route, Target},
    settings::Settings,
};
use support::{Board, Relay, config, dialect, host_entry, reweighted, settings, target, until};

/// Bytes a second on the narrowest link that a host may have: 10 Mbit/s.
const LINK: usize = 10_000_000 / 8;

/// Most bytes that one host may be sent for a change. A change may take 2 s to be in force on every host,
/// over a few steps; a host that passes it on to all that ask it must be done within one of them, callers'
/// traffic on the same link left out of account.
const MOST: usize = LINK / FAN_OUT;

/// Routes of a large configuration.
const MANY: usize = 4200;

/// Routes that are added at once.
const GROWTH: usize = 1400;

fn large(version: u64, routes: usize) -> Config {
    support::large(config(version), routes)
}

/// A host that reads the store, and one that hears of changes from it alone, over a link.
struct Pair {
    board: Board,
    link: Relay,
    reader: Host,
    follower: Host,
}

impl Pair {
    fn open(config: Config, rate: Option<usize>) -> Pair {
        let link = Relay::open(rate);
        let board = Board::open();
        board.put("config", Entry::Config(Arc::new(config)));
        let reader = HostEntry {
            peers: link.address(),
            ..host_entry("h1", 0)
        };
        board.put("h1", Entry::Host(Arc::new(reader)));
        let reader = Host::spawn(settings(), board.feed_unlisted(), dialect()).expect("it starts");
        until(|| reader.shared().is_ready());
        link.lead_to(reader.shared().settings.listen.peers);
        let away = Board::open();
        away.set_down(true);
        let mut settings = Settings {
            name: "h2".into(),
            ..settings()
        };
        settings.reloadable.seeds = vec![link.address()];
        let follower = Host::spawn(settings, away.feed_unlisted(), dialect()).expect("it starts");
        Pair {
            board,
            link,
            reader,
            follower,
        }
    }

    /// Bytes on the link until the follower's view is as told, after a change of the board.
    fn cost(&self, change: impl FnOnce(&Board), arrived: impl Fn(&Host) -> bool) -> usize {
        let before = self.link.bytes();
        change(&self.board);
        until(|| arrived(&self.follower));
        self.link.bytes() - before
    }
}

fn version(host: &Host) -> u64 {
    let view = host.shared().view.load();
    view.config.as_ref().map_or(0, |config| config.version)
}

/// Bytes on the link for a change from one version to the next, which must arrive as it was written.
fn cost_of(old: Config, new: Config) -> usize {
    let pair = Pair::open(old, None);
    until(|| version(&pair.follower) == 1);
    let new = Arc::new(new);
    let (told, number) = (Arc::clone(&new), new.version);
    let bytes = pair.cost(
        |board| board.put("config", Entry::Config(told)),
        |host| version(host) == number,
    );
    let held = pair.follower.shared().view.load().config.clone();
    assert_eq!(sorted(&held.expect("it has a version")), sorted(&new));
    bytes
}

/// An operator changes the weights of one route among thousands. A host must not be sent the thousands
/// again: on a narrow link that takes most of the time in which the change must be in force, for each of
/// the hosts that ask the same one.
#[test]
fn a_change_of_one_route_costs_a_link_little_however_many_there_are() {
    let config = large(1, MANY);
    let bytes = cost_of(config.clone(), reweighted(config));
    assert!(bytes <= MOST, "{bytes} bytes for one route of {MANY}");
}

/// An operator adds a third of all routes at once.
#[test]
fn many_new_routes_cost_a_link_no_more_than_it_carries_in_time() {
    let bytes = cost_of(large(1, MANY - GROWTH), large(2, MANY));
    assert!(bytes <= MOST, "{bytes} bytes for {GROWTH} routes");
}

/// A target leaves just after a configuration changed. Its callers' requests must not reach it for as long
/// as the configuration takes to pass.
#[test]
fn a_leaving_target_is_told_of_beside_a_large_configuration() {
    let config = large(1, MANY);
    let pair = Pair::open(config.clone(), None);
    let leaves = |leaving| {
        Entry::Target(Arc::new(Target {
            leaving,
            ..target("t1", "127.0.0.1:1".parse().unwrap())
        }))
    };
    pair.board.put("t1", leaves(false));
    until(|| version(&pair.follower) == 1 && !listed(&pair.follower).is_empty());
    let bytes = pair.cost(
        |board| {
            board.put("config", Entry::Config(Arc::new(reweighted(config))));
            board.put("t1", leaves(true));
        },
        |host| listed(host).is_empty(),
    );
    assert!(bytes <= MOST, "{bytes} bytes before the target's leaving");
}

/// A host starts while the store is away, and the one that it asks serves others over the same link: the
/// answer takes seconds, and comes. Broken off and asked again it would never be whole.
#[test]
fn an_answer_that_comes_slowly_is_not_broken_off() {
    let pair = Pair::open(large(1, MANY), Some(LINK / FAN_OUT));
    until(|| version(&pair.follower) == 1 || pair.link.broken() > 0);
    assert_eq!(pair.link.broken(), 0, "answers were broken off");
    assert!(pair.reader.shared().is_ready());
}

fn listed(host: &Host) -> Vec<Arc<str>> {
    let view = host.shared().view.load();
    let targets = view.services.values().flatten();
    targets.map(|known| Arc::clone(&known.target.id)).collect()
}

/// Routes by what selects them: their order says nothing.
fn sorted(config: &Config) -> BTreeMap<(Arc<str>, Arc<str>), Route> {
    let routes = config.routes.iter();
    let routes = routes.map(|r| {
        let key = (Arc::clone(&r.host), Arc::clone(&r.prefix));
        (key, Route::clone(r))
    });
    routes.collect()
}
