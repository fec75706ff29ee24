//! The load of targets, as hosts tell it to each other.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dunlinrock_edge::model::{Config, Route};
use support::{Fleet, Script, ScriptedTarget, config, request, wait_until};

/// Requests that a target may have before an object's next target gets one: twice its slots.
const FULL: usize = 8;

/// Returns a configuration in which reads are urgent.
fn urgent() -> Config {
    let mut config = config(1);
    config.routes[0] = Arc::new(Route {
        priority: 0,
        ..Route::clone(&config.routes[0])
    });
    config
}

/// Starts two targets that keep their requests, and two hosts of one region.
fn start(config: &Config) -> (Fleet, [ScriptedTarget; 2]) {
    let target = || {
        let (scripted, release) = ScriptedTarget::blocking("held");
        // The responses are never released.
        std::mem::forget(release);
        scripted
    };
    let targets = [target(), target()];
    let fleet = Fleet::open_with(&["north-1", "north-1"], config, &targets, |settings| {
        settings.reloadable.load_period = Some(Duration::from_millis(100));
        // Both targets are as near.
        for region in settings.reloadable.domains.values_mut() {
            *region = "north".into();
        }
    });
    (fleet, targets)
}

/// Sends a request for the same object to a host, and returns the target that gets it.
fn send(fleet: &Fleet, host: usize, targets: &[ScriptedTarget; 2], id: &str) -> usize {
    let stream = fleet.hosts[host].send(&request("GET", "/read/a", id, "object: a\r\n"));
    // The caller keeps waiting.
    std::mem::forget(stream);
    let got = |t: &ScriptedTarget| t.heads().iter().any(|head| head.id() == id);
    wait_until(|| targets.iter().any(got));
    targets.iter().position(got).unwrap()
}

/// Load of callers at other hosts: a host knows that a target is full that it never asked.
#[test]
fn a_host_learns_that_others_have_filled_a_target() {
    let (fleet, targets) = start(&urgent());
    let full = send(&fleet, 0, &targets, "first");
    for n in 1..FULL {
        assert_eq!(send(&fleet, 0, &targets, &format!("r{n}")), full);
    }
    wait_until(|| fleet.metrics(1).contains("edge.loads_told 1"));
    assert_ne!(send(&fleet, 1, &targets, "other"), full);
}

/// Without a route of the highest priority, hosts tell each other nothing.
#[test]
fn loads_are_shared_only_where_a_route_is_urgent() {
    let (fleet, targets) = start(&config(1));
    send(&fleet, 0, &targets, "first");
    let end = Instant::now() + Duration::from_secs(3);
    wait_until(|| Instant::now() > end);
    for host in 0..2 {
        assert!(!fleet.metrics(host).contains("edge.loads_"));
    }
}

/// A collector of an earlier release answers that it does not know the path: the hosts go by what
/// they know themselves, and do not ask it again at once.
#[test]
fn a_host_of_an_earlier_release_is_asked_once() {
    let answered = |head: &support::Head| Script::Write(head.answer_with("404 Not Found", "", ""));
    let earlier = ScriptedTarget::open(answered);
    let (fleet, targets) = start(&urgent());
    let mut entry = support::host_entry("h9", 0);
    entry.peers = earlier.address();
    // The others are weaker by far, so that it collects.
    entry.power = 10_000;
    let entry = dunlinrock_edge::model::Entry::Host(Arc::new(entry));
    fleet.hosts[0].store.put("host-h9", entry);
    wait_until(|| {
        earlier
            .heads()
            .iter()
            .any(|h| h.text.contains("/peer/v1/loads"))
    });
    let end = Instant::now() + Duration::from_secs(1);
    wait_until(|| Instant::now() > end);
    let asked = earlier.heads();
    let asked = asked.iter().filter(|h| h.text.contains("/peer/v1/loads"));
    assert_eq!(asked.count(), 1);
    send(&fleet, 0, &targets, "served");
}
