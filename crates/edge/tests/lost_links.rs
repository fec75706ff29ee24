//! Hosts that lose their links to the targets, while callers, the store and other hosts reach them.

mod support;

use std::{
    collections::BTreeSet,
    net::TcpStream,
    sync::{Arc, Mutex, mpsc::channel},
};

use dunlinrock_edge::model::{Config, KeyDigest, Workspace};
use rstest::rstest;
use support::{
    Cut, Fleet, Head, Script, ScriptedTarget, arrivals, config, get, read_all, request, wait_until,
};

/// Targets of a deployment, in two failure domains.
const TARGETS: usize = 4;

/// Requests in which a host may find out that its links are lost.
const LEARNING: usize = 4;

/// Targets that answer each request and close its connection, so that the next one needs another.
fn healthy() -> Vec<ScriptedTarget> {
    let answer = |head: &Head| {
        let fields = "Stamp: s\r\nConnection: close\r\n";
        Script::Close(head.answer_with("200 OK", fields, "run"))
    };
    let targets = (0..TARGETS).map(|_| ScriptedTarget::open(answer));
    targets.collect()
}

/// Targets that hold the first run of a request without end, and answer its repeats.
fn holding_first_runs() -> Vec<ScriptedTarget> {
    let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let targets = (0..TARGETS).map(|_| {
        let seen = Arc::clone(&seen);
        ScriptedTarget::open(move |head| {
            let is_first = seen.lock().unwrap().insert(head.id().to_owned());
            match is_first && head.get("slow").is_some() {
                true => {
                    let (sender, receiver) = channel();
                    std::mem::forget(sender);
                    Script::Wait(receiver)
                }
                false => Script::Write(head.answer("run")),
            }
        })
    });
    targets.collect()
}

/// Sends the first host a request that has three seconds, in which it may find out that its links
/// are lost. A connection that the kernel accepted just before a link began to hang takes as long.
fn call_short(fleet: &Fleet, id: &str) {
    let text = request("GET", &format!("/read/{id}"), id, "Connection: close\r\n");
    let text = text.replace("20000", "3000");
    read_all(&mut fleet.hosts[0].send(&text));
}

/// Guards against a host that refuses its callers for as long as its own links are cut, although
/// other hosts reach the targets.
#[rstest]
#[case::hang(Cut::Hang)]
#[case::reset(Cut::Reset)]
#[case::refuse_new(Cut::RefuseNew)]
#[case::accept_silent(Cut::AcceptSilent)]
#[case::accept_close(Cut::AcceptClose)]
fn a_host_that_lost_its_links_serves_through_another(#[case] cut: Cut) {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    let answer = fleet.hosts[0].call("GET", "/read/a", "before");
    assert!(answer.ends_with("run"), "{answer}");
    fleet.cut(0, cut);
    for n in 0..LEARNING {
        call_short(&fleet, &format!("l{n}"));
    }
    for n in 0..8 {
        let (method, path) = match n % 2 {
            0 => ("GET", format!("/read/{n}")),
            _ => ("POST", format!("/once/{n}")),
        };
        let id = format!("r{n}");
        let answer = fleet.hosts[0].call(method, &path, &id);
        assert!(answer.ends_with("run"), "{id}: {answer}");
        assert_eq!(arrivals(&targets, &id), 1, "{id}");
    }
}

/// Guards against requests that count as crashing their targets, on all hosts, because the links of
/// one host were cut while the targets ran them.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::refuse_new(Cut::RefuseNew)]
fn a_lost_link_is_not_taken_for_a_crash(#[case] cut: Cut) {
    let targets = holding_first_runs();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    let slow = |id: String| {
        let text = request(
            "GET",
            &format!("/read/{id}"),
            &id,
            "Slow: 1\r\nConnection: close\r\n",
        );
        fleet.hosts[0].send(&text)
    };
    let mut held: Vec<TcpStream> = (0..8).map(|n| slow(format!("s{n}"))).collect();
    for n in 0..held.len() {
        while arrivals(&targets, &format!("s{n}")) == 0 {
            std::thread::yield_now();
        }
    }
    fleet.cut(0, cut);
    for n in 0..2 * LEARNING {
        call_short(&fleet, &format!("l{n}"));
    }
    if cut == Cut::Reset {
        held.iter_mut().for_each(|stream| drop(read_all(stream)));
    }
    let metrics = fleet.metrics(0);
    assert!(!metrics.contains("suspects"), "{metrics}");
    assert_eq!(fleet.hosts[0].store.quarantined(), []);
}

/// Cuts the links of the first host, and waits until it knows.
fn cut_first(fleet: &Fleet, cut: Cut) {
    fleet.cut(0, cut);
    let links = &fleet.hosts[0].host.shared().links;
    let mut n = 0;
    while !links.is_lost() {
        call_short(fleet, &format!("cut{n}"));
        n += 1;
    }
}

/// Returns a configuration whose requests may run in one region only.
fn only_in(region: &str) -> Config {
    let mut config = config(1);
    for route in &mut config.routes {
        let mut homed = (**route).clone();
        homed.homes = BTreeSet::from([region.into()]);
        *route = Arc::new(homed);
    }
    config
}

/// Guards against a request that goes to a host in a region where it may not run.
#[rstest]
#[case::in_the_home("south", 1)]
#[case::elsewhere("north", 0)]
fn a_request_is_forwarded_only_to_hosts_in_its_homes(#[case] home: &str, #[case] expected: usize) {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &only_in(home), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    let answer = fleet.hosts[0].call("GET", "/read/a", "r");
    assert_eq!(arrivals(&targets, "r"), expected, "{answer}");
    let status = if expected == 1 { "200" } else { "503" };
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
}

/// Guards against requests that go round between hosts none of which reaches a target.
#[test]
fn a_request_is_forwarded_once_where_the_other_host_has_lost_its_links_too() {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    fleet.cut(1, Cut::RefuseNew);
    let answer = fleet.hosts[0].call("POST", "/once/a", "r");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(!answer.contains("dunlinrock-declined"), "{answer}");
    assert_eq!(arrivals(&targets, "r"), 0);
    let metrics = fleet.metrics(1);
    assert!(!metrics.contains("edge.forwarded"), "{metrics}");
}

/// Guards against a second run of a request that may run once, after the target of the other host
/// broke its connection.
#[test]
fn a_forwarded_request_that_may_run_once_is_sent_once() {
    let targets: Vec<_> = (0..TARGETS)
        .map(|_| {
            ScriptedTarget::open(|head| match head.text.starts_with("POST") {
                true => Script::Close(String::new()),
                false => Script::Write(head.answer("run")),
            })
        })
        .collect();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, Cut::Reset);
    let answer = fleet.hosts[0].call("POST", "/once/a", "r");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(arrivals(&targets, "r"), 1);
}

/// Guards against a target that works for a caller that has left, behind two hosts.
#[test]
fn a_caller_that_leaves_ends_the_run_behind_the_other_host() {
    let (sender, closed) = channel();
    let sender = Mutex::new(sender);
    let targets: Vec<_> = (0..1)
        .map(|_| {
            let sender = sender.lock().unwrap().clone();
            ScriptedTarget::open(move |head| match head.id() {
                "r" => Script::UntilClosed(sender.clone()),
                _ => Script::Write(head.answer("run")),
            })
        })
        .collect();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    let stream = fleet.hosts[0].send(&request("GET", "/read/a", "r", ""));
    while arrivals(&targets, "r") == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    closed.recv().expect("the run ends");
}

/// Guards against a target that is given more time than the caller has left.
#[test]
fn a_forwarded_request_has_the_time_that_its_caller_has_left() {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    let text = request("GET", "/read/a", "r", "Connection: close\r\n").replace("20000", "5000");
    let answer = read_all(&mut fleet.hosts[0].send(&text));
    assert!(answer.ends_with("run"), "{answer}");
    let heads = targets.iter().flat_map(ScriptedTarget::heads);
    let head = heads.into_iter().find(|head| head.id() == "r").unwrap();
    let left: u64 = head.get("left").unwrap().parse().unwrap();
    assert!(left <= 5000, "{left}");
    assert!(!head.text.contains("dunlinrock-forwarded"), "{}", head.text);
}

/// Guards against a host that goes on through others when its links are back, or that leaves its
/// targets ejected.
#[rstest]
#[case::hang(Cut::Hang)]
#[case::reset(Cut::Reset)]
fn a_host_whose_links_are_restored_sends_by_itself(#[case] cut: Cut) {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, cut);
    fleet.restore(0);
    let links = &fleet.hosts[0].host.shared().links;
    wait_until(|| !links.is_lost());
    let count = |text: &str| {
        let lines = text.lines().find(|line| line.contains("edge.forwarded "));
        lines.map(str::to_owned)
    };
    let before = count(&fleet.metrics(0));
    for n in 0..4 {
        let id = format!("r{n}");
        let answer = fleet.hosts[0].call("GET", &format!("/read/{n}"), &id);
        assert!(answer.ends_with("run"), "{answer}");
        assert_eq!(arrivals(&targets, &id), 1, "{id}");
    }
    assert_eq!(count(&fleet.metrics(0)), before);
}

/// Guards against a host that takes the end of all targets for a loss of its own links.
#[test]
fn targets_that_no_host_reaches_are_not_a_loss_of_links() {
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    fleet.cut(0, Cut::RefuseNew);
    fleet.cut(1, Cut::RefuseNew);
    for n in 0..LEARNING {
        call_short(&fleet, &format!("l{n}"));
    }
    let metrics = fleet.metrics(0);
    assert!(metrics.contains("edge.link_checks"), "{metrics}");
    assert!(!metrics.contains("edge.forwarded"), "{metrics}");
    assert!(fleet.hosts[0].host.shared().is_ready());
}

/// Guards against callers that are sent to a host without links while another one of their region
/// has them.
#[test]
fn lookups_leave_out_a_host_that_lost_its_links() {
    let targets = healthy();
    let domains = ["north-1", "north-1"];
    let fleet = Fleet::open(&domains, &config(1), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    let first = fleet.hosts[0].callers().to_string();
    let names_first = |host: usize| {
        let lookup = fleet.hosts[host].host.shared().settings.listen.lookup;
        get(lookup, "/hosts?region=north").contains(&first)
    };
    wait_until(|| (0..domains.len()).all(|host| !names_first(host)));
    assert!(fleet.hosts[0].host.shared().is_ready());
    fleet.restore(0);
    wait_until(|| (0..domains.len()).all(names_first));
}

/// Guards against callers that wait for a host that nobody can help: it says at once that it has
/// not run their request, and that it is not ready.
#[test]
fn a_host_that_nobody_can_help_refuses_and_is_not_ready() {
    let targets = healthy();
    let mut fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    let other = fleet.hosts.pop().expect("two hosts");
    other.host.start_shutdown();
    other.host.join().expect("the host stops");
    cut_first(&fleet, Cut::RefuseNew);
    let answer = fleet.hosts[0].call("POST", "/once/a", "r");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let shared = fleet.hosts[0].host.shared();
    wait_until(|| !shared.is_ready());
    fleet.restore(0);
    wait_until(|| shared.is_ready());
}

/// Guards against a second run of a request whose target answers as if a host had declined it.
#[test]
fn a_target_cannot_decline_a_request_in_the_name_of_a_host() {
    let answer = |head: &Head| {
        let fields = "Stamp: s\r\nConnection: close\r\nDunlinrock-Declined: 1\r\n";
        Script::Close(head.answer_with("200 OK", fields, "run"))
    };
    let targets: Vec<_> = (0..TARGETS).map(|_| ScriptedTarget::open(answer)).collect();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    cut_first(&fleet, Cut::RefuseNew);
    let answer = fleet.hosts[0].call("POST", "/once/a", "r");
    assert!(answer.ends_with("run"), "{answer}");
    assert_eq!(arrivals(&targets, "r"), 1);
}

/// Guards against a host that takes single targets, which happen to be all that a check tried, for
/// a loss of its own links: other hosts reach other targets.
#[test]
fn targets_that_are_down_for_all_hosts_are_not_a_loss_of_links() {
    let targets: Vec<_> = (0..2).flat_map(|_| healthy()).collect();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &targets);
    (1..targets.len()).for_each(|target| fleet.cut_target(target, Cut::RefuseNew));
    for n in 0..40 {
        call_short(&fleet, &format!("l{n}"));
    }
    let metrics = fleet.metrics(0);
    assert!(metrics.contains("edge.link_checks"), "{metrics}");
    assert!(!metrics.contains("edge.forwarded"), "{metrics}");
}

/// Guards against a key that reaches the targets through another host, or a workspace that is lost
/// on the way: the other host authenticates the caller itself.
#[test]
fn a_forwarded_request_keeps_its_workspace_and_hides_its_key() {
    let workspace = Workspace {
        name: "club".into(),
        keys: BTreeSet::from([KeyDigest::of(b"planted-key-77aa")]),
        rate: 0.0,
        burst: 0.0,
        rank: None,
        homes: BTreeSet::new(),
    };
    let config = Config {
        workspaces: vec![Arc::new(workspace)],
        ..config(1)
    };
    let targets = healthy();
    let fleet = Fleet::open(&["north-1", "south-1"], &config, &targets);
    fleet.cut(0, Cut::Reset);
    let call = |id: &str, key: &str| {
        let more = format!("Authorization: Key {key}\r\nConnection: close\r\n");
        let text = request("GET", &format!("/read/{id}"), id, &more);
        read_all(&mut fleet.hosts[0].send(&text))
    };
    while !fleet.hosts[0].host.shared().links.is_lost() {
        call("cut", "planted-key-77aa");
    }
    let answer = call("known", "planted-key-77aa");
    assert!(answer.ends_with("run"), "{answer}");
    let answer = call("unknown", "planted-key-0000");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let heads: Vec<_> = targets.iter().flat_map(ScriptedTarget::heads).collect();
    let known = heads.iter().find(|head| head.id() == "known");
    let known = known.expect("it ran through the other host");
    assert_eq!(known.get("workspace"), Some("club"));
    assert_eq!(known.get("authorization"), None);
    assert!(heads.iter().all(|head| head.id() != "unknown"));
}

/// Guards against repeats that no host pays for: a request that had reached a target is sent on only
/// within the retry budget of the host that it is forwarded to.
#[test]
fn a_forwarded_request_is_sent_again_only_within_the_other_hosts_budget() {
    let shedding = |head: &Head| {
        let fields = "Unrun: 1\r\nRunning: 0\r\nConnection: close\r\n";
        Script::Close(head.answer_with("503 Busy", fields, ""))
    };
    let targets: Vec<_> = (0..TARGETS)
        .map(|_| ScriptedTarget::open(shedding))
        .collect();
    let fleet = Fleet::open_with(&["north-1", "south-1"], &config(1), &targets, |settings| {
        settings.reloadable.budget.ratio = 0.2;
    });
    cut_first(&fleet, Cut::Reset);
    for n in 0..20 {
        let answer = fleet.hosts[0].call("GET", &format!("/read/{n}"), &format!("r{n}"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    let arrivals: usize = (0..20).map(|n| arrivals(&targets, &format!("r{n}"))).sum();
    // A host that has just started has no slack, and the ratio allows four repeats of twenty requests.
    assert!((20..=24).contains(&arrivals), "{arrivals}");
}
