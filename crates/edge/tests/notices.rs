//! Targets that say in their responses that they are leaving, or that they want no requests for a
//! time. The store goes on announcing them as ready.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use dunlinrock_edge::model::{Entry, Target};
use rstest::rstest;
use support::{
    Cut, Deployment, Fleet, Head, Script, ScriptedTarget, config, get, request, settings, target,
    wait_until,
};

/// Requests that would reach every target at least once.
const MANY: usize = 24;

/// How long targets in these tests want no requests, in seconds.
const BACKOFF: f64 = 1.5;

/// A target that answers, and says that it is leaving while `leaving` is set.
fn target_that_may_leave() -> (ScriptedTarget, Arc<AtomicBool>) {
    let leaving = Arc::new(AtomicBool::new(false));
    let says_so = Arc::clone(&leaving);
    let scripted = ScriptedTarget::open(move |head: &Head| {
        let fields = match says_so.load(Ordering::SeqCst) {
            true => "Stamp: s\r\nLeaving: 1\r\n",
            false => "Stamp: s\r\n",
        };
        Script::Write(head.answer_with("200 OK", fields, "leaving"))
    });
    (scripted, leaving)
}

/// A target that rejects every request with this `Retry-After` while `shedding` is set.
fn target_that_may_shed(retry: &'static str) -> (ScriptedTarget, Arc<AtomicBool>) {
    let shedding = Arc::new(AtomicBool::new(true));
    let sheds = Arc::clone(&shedding);
    let scripted = ScriptedTarget::open(move |head: &Head| {
        let fields = format!("Unrun: 1\r\nRetry-After: {retry}\r\n");
        Script::Write(match sheds.load(Ordering::SeqCst) {
            true => head.answer_with("503 Service Unavailable", &fields, "shed"),
            false => head.answer("run"),
        })
    });
    (scripted, shedding)
}

/// Calls until the target has got a request, and returns how many it has got then.
fn call_until_reached(deployment: &Deployment, scripted: &ScriptedTarget) -> usize {
    let mut n = 0;
    while scripted.count() == 0 {
        n += 1;
        deployment.call("GET", "/read/a", &format!("first{n}"));
    }
    scripted.count()
}

/// Sends [`MANY`] requests without an affinity key, and returns how many were answered.
fn call_many(deployment: &Deployment, name: &str) -> usize {
    let answers = (0..MANY).map(|n| deployment.call("GET", "/read/a", &format!("{name}{n}")));
    answers.filter(|a| a.starts_with("HTTP/1.1 200")).count()
}

fn is_rejected(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503")
}

/// Returns the seconds after which a caller may come back.
fn retry_after(answer: &str) -> f64 {
    let mut lines = answer.lines();
    let value = lines.find_map(|line| line.strip_prefix("retry-after: "));
    value.expect("a retry time").parse().expect("seconds")
}

fn metrics(deployment: &Deployment) -> String {
    let address = deployment.host.shared().settings.listen.metrics;
    get(address.expect("metrics are served"), "/metrics")
}

/// Guards against requests at a target that has told this host that it is leaving, while the store
/// says that it is ready.
#[test]
fn a_target_that_says_that_it_is_leaving_gets_no_more_requests() {
    let (leaver, leaving) = target_that_may_leave();
    let other = ScriptedTarget::healthy("other");
    let deployment = Deployment::open(config(1), &[&leaver, &other]);
    leaving.store(true, Ordering::SeqCst);
    let reached = call_until_reached(&deployment, &leaver);
    assert_eq!(call_many(&deployment, "r"), MANY, "the other one serves");
    assert_eq!(leaver.count(), reached);
}

/// Guards against a fallback to a target that is leaving when no other is left.
#[test]
fn the_only_target_is_not_a_fallback_while_it_is_leaving() {
    let (leaver, leaving) = target_that_may_leave();
    leaving.store(true, Ordering::SeqCst);
    let deployment = Deployment::open(config(1), &[&leaver]);
    let reached = call_until_reached(&deployment, &leaver);
    for n in 0..MANY {
        let answer = deployment.call("GET", "/read/a", &format!("r{n}"));
        assert!(is_rejected(&answer), "{answer}");
    }
    assert_eq!(leaver.count(), reached);
}

/// Guards against notices that are kept with an announcement instead of with the process.
#[test]
fn a_target_that_is_leaving_stays_so_when_its_entry_lapses_and_returns() {
    let (leaver, leaving) = target_that_may_leave();
    leaving.store(true, Ordering::SeqCst);
    let other = ScriptedTarget::healthy("other");
    let deployment = Deployment::open(config(1), &[&leaver, &other]);
    let reached = call_until_reached(&deployment, &leaver);
    deployment.store.remove("t0");
    deployment.wait_until_ready();
    call_many(&deployment, "gone");
    let entry = Entry::Target(Arc::new(target("t0", leaver.address())));
    deployment.store.put("t0", entry);
    deployment.wait_until_ready();
    deployment.host.shared().reload(settings());
    assert_eq!(call_many(&deployment, "back"), MANY);
    assert_eq!(leaver.count(), reached);
}

/// Guards against a notice that is taken for one of the next process: under the same id, or at the
/// same address.
#[rstest]
#[case::same_id("t0", 1)]
#[case::same_address("t9", 0)]
fn the_next_process_is_not_bound_by_what_the_last_one_said(#[case] id: &str, #[case] born: u64) {
    let (leaver, leaving) = target_that_may_leave();
    leaving.store(true, Ordering::SeqCst);
    let deployment = Deployment::open(config(1), &[&leaver]);
    let reached = call_until_reached(&deployment, &leaver);
    leaving.store(false, Ordering::SeqCst);
    deployment.store.remove("t0");
    let next = Target {
        born,
        ..target(id, leaver.address())
    };
    deployment.store.put(id, Entry::Target(Arc::new(next)));
    deployment.wait_until_ready();
    assert_eq!(call_many(&deployment, "r"), MANY);
    assert_eq!(leaver.count(), reached + MANY);
}

/// Guards against requests, on kept and on new connections, at a target that wants none for a time.
#[test]
fn a_target_in_backoff_gets_no_requests_and_the_others_room_is_used() {
    let (shedder, shedding) = target_that_may_shed("1.5");
    let other = ScriptedTarget::healthy("other");
    let deployment = Deployment::open(config(1), &[&shedder, &other]);
    let start = Instant::now();
    let reached = call_until_reached(&deployment, &shedder);
    while start.elapsed().as_secs_f64() < BACKOFF {
        assert_eq!(call_many(&deployment, "r"), MANY);
        if start.elapsed().as_secs_f64() < BACKOFF {
            assert_eq!(shedder.count(), reached);
        }
    }
    shedding.store(false, Ordering::SeqCst);
    while shedder.count() == reached {
        call_many(&deployment, "after");
    }
}

/// Guards against a request that waits, or is sent, although all targets want none; and against a
/// time that lets its caller come back too early.
#[test]
fn a_request_for_which_all_targets_are_in_backoff_is_rejected_at_once() {
    let (long, _) = target_that_may_shed("900");
    let (short, _) = target_that_may_shed("600.5");
    let deployment = Deployment::open(config(1), &[&long, &short]);
    let first = deployment.call("GET", "/read/a", "first");
    let retry = retry_after(&first);
    assert!(
        retry > 590.0 && retry <= 600.5,
        "after both rejected: {retry}"
    );
    let reached = long.count() + short.count();
    for n in 0..MANY {
        let answer = deployment.call("GET", "/read/a", &format!("r{n}"));
        assert!(is_rejected(&answer), "{answer}");
        let retry = retry_after(&answer);
        assert!(
            retry > 590.0 && retry <= 600.5,
            "the least that remains: {retry}"
        );
    }
    assert_eq!(long.count() + short.count(), reached);
}

/// Guards against a caller that is told to come back for a target that is leaving.
#[test]
fn a_target_that_is_leaving_does_not_shorten_the_time_until_another_is_back() {
    let (leaver, leaving) = target_that_may_leave();
    leaving.store(true, Ordering::SeqCst);
    let (shedder, _) = target_that_may_shed("600");
    let deployment = Deployment::open(config(1), &[&leaver, &shedder]);
    call_until_reached(&deployment, &leaver);
    call_until_reached(&deployment, &shedder);
    let answer = deployment.call("GET", "/read/a", "last");
    assert!(
        is_rejected(&answer) && retry_after(&answer) > 590.0,
        "{answer}"
    );
}

/// Guards against the requests that waited for the end of a backoff and arrive all at once.
#[test]
fn after_its_backoff_a_target_gets_one_request_at_first() {
    let (sender, receiver) = std::sync::mpsc::channel::<()>();
    let receiver = Mutex::new(receiver);
    let scripted = ScriptedTarget::open(move |head: &Head| {
        if head.number == 0 {
            let fields = "Unrun: 1\r\nRetry-After: 0.3\r\n";
            return Script::Write(head.answer_with("503 Service Unavailable", fields, "shed"));
        }
        let _ = receiver.lock().unwrap().recv();
        Script::Write(head.answer("run"))
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    let first = deployment.call("GET", "/read/a", "first");
    assert!(is_rejected(&first), "{first}");
    let text = |n: usize| request("GET", "/read/a", &format!("r{n}"), "Connection: close\r\n");
    // The first one that is not rejected is in flight from then on.
    let mut sent = Vec::new();
    while scripted.count() == 1 {
        sent.push(deployment.send(&text(sent.len())));
        std::thread::sleep(Duration::from_millis(5));
    }
    for n in 0..MANY {
        let answer = deployment.call("GET", "/read/a", &format!("b{n}"));
        assert!(is_rejected(&answer), "{answer}");
    }
    assert_eq!(scripted.count(), 2);
    drop(sender);
    wait_until(|| {
        deployment
            .call("GET", "/read/a", "last")
            .starts_with("HTTP/1.1 200")
    });
}

/// Values that ask for no time, or cannot be read, close no target.
#[rstest]
#[case::zero("0", false)]
#[case::negative("-3", true)]
#[case::garbled("soon", true)]
#[case::exponent("1e3", true)]
#[case::infinite("inf", true)]
fn a_time_that_is_none_or_cannot_be_read_is_no_backoff(
    #[case] retry: &'static str,
    #[case] is_malformed: bool,
) {
    let (scripted, shedding) = target_that_may_shed(retry);
    let deployment = Deployment::open(config(1), &[&scripted]);
    call_until_reached(&deployment, &scripted);
    shedding.store(false, Ordering::SeqCst);
    assert_eq!(call_many(&deployment, "r"), MANY);
    let metrics = metrics(&deployment);
    assert_eq!(metrics.contains("backoff_malformed"), is_malformed);
    assert!(!metrics.contains("target_backoffs"));
}

/// Guards against a time that overflows and ends at once.
#[test]
fn a_time_beyond_all_measure_does_not_end_at_once() {
    let (scripted, _) = target_that_may_shed("99999999999999999999999999");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let reached = call_until_reached(&deployment, &scripted);
    for n in 0..MANY {
        let answer = deployment.call("GET", "/read/a", &format!("r{n}"));
        assert!(is_rejected(&answer), "{answer}");
        assert!(retry_after(&answer) >= 3600.0);
    }
    assert_eq!(scripted.count(), reached);
}

/// Guards against a host that passes on, through another host, that a target is leaving, and sends
/// to it itself once its links are back.
#[test]
fn a_notice_behind_another_host_binds_the_first_host_too() {
    let targets: Vec<_> = (0..2).map(|_| target_that_may_leave()).collect();
    let (scripted, leaving): (Vec<_>, Vec<_>) = targets.into_iter().unzip();
    let fleet = Fleet::open(&["north-1", "south-1"], &config(1), &scripted);
    fleet.cut(0, Cut::RefuseNew);
    leaving[0].store(true, Ordering::SeqCst);
    while scripted[0].count() == 0 {
        fleet.hosts[0].call("GET", "/read/a", "through");
    }
    leaving[0].store(false, Ordering::SeqCst);
    fleet.restore(0);
    wait_until(|| !fleet.hosts[0].host.shared().links.is_lost());
    let reached = scripted[0].count();
    assert_eq!(call_many(&fleet.hosts[0], "r"), MANY);
    assert_eq!(scripted[0].count(), reached);
}
