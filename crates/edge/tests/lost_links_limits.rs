//! Most hosts, or all of a failure domain, lose their links to the targets; and the limits that a
//! host keeps to when it serves the callers of others.

mod support;

use std::{
    collections::BTreeSet,
    net::TcpStream,
    sync::{Arc, mpsc::channel},
};

use dunlinrock_edge::{
    model::{Config, KeyDigest, Workspace},
    settings::Settings,
};
use rstest::rstest;
use support::{
    Cut, Deployment, Fleet, Head, Script, ScriptedTarget, arrivals, config, read_all, request,
    wait_until,
};

const TARGETS: usize = 4;
const REQUESTS: usize = 30;

/// Key of the only workspace, where there is one.
const KEY: &[u8] = b"k";

/// Id of a request that targets never answer.
const HELD: &str = "held";

/// Targets that answer each request but one, and close its connection.
fn healthy() -> Vec<ScriptedTarget> {
    let answer = |head: &Head| {
        if head.id() == HELD {
            let (sender, never) = channel();
            std::mem::forget(sender);
            return Script::Wait(never);
        }
        let fields = "Stamp: s\r\nConnection: close\r\n";
        Script::Close(head.answer_with("200 OK", fields, "run"))
    };
    (0..TARGETS).map(|_| ScriptedTarget::open(answer)).collect()
}

fn call(deployment: &Deployment, method: &str, id: &str, more: &str) -> String {
    let path = if method == "GET" {
        "/read/a"
    } else {
        "/once/a"
    };
    let text = request(method, path, id, &format!("{more}Connection: close\r\n"));
    read_all(&mut deployment.send(&text.replace("20000", "3000")))
}

/// Waits until a host knows that its links are lost.
fn wait_lost(deployment: &Deployment, more: &str) {
    while !deployment.host.shared().links.is_lost() {
        call(deployment, "GET", "learning", more);
    }
}

/// Guards against hosts that take the loss of each other for the end of all targets, or forward
/// requests in a circle: two of three, all of their domain, are cut at once, and one elsewhere is
/// left.
#[rstest]
#[case::hang(Cut::Hang)]
#[case::reset(Cut::Reset)]
#[case::refuse_new(Cut::RefuseNew)]
fn most_hosts_and_all_of_a_domain_are_served_through_the_one_that_is_left(#[case] how: Cut) {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "north-1", "south-1"], &config(1), &targets);
    for host in [0, 1] {
        fleet.cut(host, how);
    }
    for host in [0, 1] {
        wait_lost(&fleet.hosts[host], "");
    }
    for n in 0..REQUESTS {
        let (method, id) = (["GET", "POST"][n % 2], format!("r{n}"));
        let answer = call(&fleet.hosts[n % 4 / 2], method, &id, "");
        assert!(answer.ends_with("run"), "{answer}");
        assert_eq!(arrivals(&targets, &id), 1);
    }
    for host in [0, 1] {
        assert_eq!(fleet.hosts[host].store.quarantined(), []);
        fleet.restore(host);
        let links = &fleet.hosts[host].host.shared().links;
        wait_until(|| !links.is_lost());
    }
}

/// Guards against a workspace that exceeds its limit because the host that it calls and the one that
/// serves it each count a part.
#[test]
fn a_workspace_keeps_to_its_limit_through_another_host() {
    let workspace = Workspace {
        name: "club".into(),
        keys: BTreeSet::from([KeyDigest::of(KEY)]),
        rate: 1.0,
        burst: 1.0,
        rank: None,
        homes: BTreeSet::new(),
    };
    let config = Config {
        workspaces: vec![Arc::new(workspace)],
        ..config(1)
    };
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config, &targets);
    let key = "Authorization: Key k\r\n";
    fleet.cut(0, Cut::RefuseNew);
    wait_lost(&fleet.hosts[0], key);
    // The other host counts by itself or through the first one, which both take seconds to begin.
    wait_until(|| call(&fleet.hosts[0], "GET", "first", key).starts_with("HTTP/1.1 200"));
    let served = (0..REQUESTS).map(|n| call(&fleet.hosts[0], "GET", &format!("r{n}"), key));
    let (served, limited): (Vec<_>, Vec<_>) = served.partition(|a| a.starts_with("HTTP/1.1 200"));
    assert!(served.len() < REQUESTS / 2, "{}", served.len());
    assert!(limited.iter().any(|a| a.starts_with("HTTP/1.1 429")));
    assert!(limited.iter().all(|a| a.contains("retry-after: ")));
}

/// Whether the host has answered already.
fn is_declined(held: &TcpStream) -> bool {
    held.set_nonblocking(true).expect("a socket");
    held.peek(&mut [0]).is_ok()
}

/// Guards against a caller that waits for a host without room for forwarded requests: that host
/// declines, and the caller is told at once that its request has not run.
#[rstest]
#[case::bodies(|settings: &mut Settings| settings.memory = 0)]
#[case::connections(|settings: &mut Settings| settings.connections.max_open = 0)]
fn a_host_without_room_declines_forwarded_requests(#[case] change: fn(&mut Settings)) {
    let targets = healthy();
    let fleet = Fleet::open_with(&["north-1", "south-1"], &config(1), &targets, |settings| {
        if &*settings.name == "h2" {
            change(settings);
        }
    });
    fleet.cut(0, Cut::RefuseNew);
    wait_lost(&fleet.hosts[0], "");
    let text = |id: &str| {
        let more = "Connection: close\r\nContent-Length: 4\r\n";
        format!("{}body", request("POST", "/once/a", id, more))
    };
    // A single body fits within any limit.
    let held = fleet.hosts[1].send(&text(HELD));
    wait_until(|| is_declined(&held) || arrivals(&targets, HELD) > 0);
    let answer = read_all(&mut fleet.hosts[0].send(&text("r")));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(arrivals(&targets, "r"), 0);
}
