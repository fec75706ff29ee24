//! Rates that targets name for themselves, for all hosts together.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use dunlinrock_edge::{host::Host, model::Entry};
use support::{
    Deployment, Head, Script, ScriptedTarget, config, dialect, get, host_entry, settings,
};

/// Span over which the requests that a target gets are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Time in which hosts learn of a rate.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Starts a target that names this rate, and the times at which it gets requests.
fn limited(rate: &'static str) -> (ScriptedTarget, Arc<Mutex<Vec<Instant>>>) {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&arrivals);
    let target = ScriptedTarget::open(move |head: &Head| {
        recorded.lock().unwrap().push(Instant::now());
        let limit = format!("Stamp: s\r\nLimit: {rate}\r\n");
        Script::Write(head.answer_with("200 OK", &limit, "limited"))
    });
    (target, arrivals)
}

/// Starts two hosts that know of each other.
fn two_hosts(targets: &[&ScriptedTarget]) -> [Deployment; 2] {
    let first = Deployment::open(config(1), targets);
    let store = first.store.clone();
    store.put("hosts/h2", Entry::Host(Arc::new(host_entry("h2", 1))));
    let mut settings = settings();
    settings.name = "h2".into();
    let host = Host::spawn(settings, store.platform_store_unlisted(), dialect());
    let second = Deployment {
        store,
        host: host.expect("the host starts"),
    };
    second.wait_until_ready();
    first.wait_until_ready();
    [first, second]
}

/// Returns the highest number of arrivals within [`SPAN`], of those later than [`LEARNING_TIME`]
/// after the first.
fn busiest(arrivals: &[Instant]) -> usize {
    let late = arrivals
        .iter()
        .filter(|at| **at > arrivals[0] + LEARNING_TIME);
    let late: Vec<_> = late.collect();
    let within = |from: Instant| {
        let span = late
            .iter()
            .filter(|at| ***at >= from && ***at < from + SPAN);
        span.count()
    };
    late.iter()
        .map(|from| within(**from))
        .max()
        .unwrap_or_default()
}

/// Guards against hosts that send a target in need as much as before, each for itself.
#[test]
fn a_rate_that_a_target_names_holds_for_all_hosts_together() {
    let (target, arrivals) = limited("1.0");
    let other = ScriptedTarget::healthy("free");
    let hosts = two_hosts(&[&target, &other]);
    let start = Instant::now();
    for n in (0..).take_while(|_| start.elapsed() < LEARNING_TIME + 2 * SPAN) {
        let answer = hosts[n % 2].call("GET", "/read/a", &format!("r{n}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        std::thread::sleep(Duration::from_millis(10));
    }
    let most = busiest(&arrivals.lock().unwrap());
    assert!(
        most <= 11,
        "{most} in {SPAN:?}, 1.5 times the rate and 5 allowed"
    );
    assert!(most > 0, "the target gets a part of what it takes");
}

/// A request that no target may get is rejected at once, with a promise that it has not run.
#[test]
fn a_request_above_the_rates_of_all_targets_is_rejected_at_once() {
    let (target, _) = limited("0.5");
    let hosts = two_hosts(&[&target]);
    let answers = (0..24).map(|n| hosts[n % 2].call("GET", "/read/a", &format!("r{n}")));
    let answers: Vec<_> = answers.collect();
    let rejected = answers.iter().find(|a| a.starts_with("HTTP/1.1 503"));
    let rejected = rejected.expect("the rate is used up");
    assert!(rejected.contains("retry-after: "), "{rejected}");
    let answered = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200"));
    assert!(
        answered.count() <= 4,
        "one for each host that knows no rate yet, and two"
    );
}

/// Guards against a rate that outlives the need, and against one that cannot be read and stops all
/// requests.
#[test]
fn a_rate_ends_with_the_first_response_without_it_and_a_malformed_one_is_ignored() {
    for (rate, is_limited) in [
        ("2.0", true),
        ("many", false),
        ("-1", false),
        ("inf", false),
    ] {
        let target = ScriptedTarget::open(move |head: &Head| {
            let limit = match head.number {
                0 => format!("Stamp: s\r\nLimit: {rate}\r\n"),
                _ => "Stamp: s\r\n".to_owned(),
            };
            Script::Write(head.answer_with("200 OK", &limit, "run"))
        });
        let deployment = Deployment::open(config(1), &[&target]);
        let answers = (0..12).map(|n| deployment.call("GET", "/read/a", &format!("r{n}")));
        let served = answers.filter(|a| a.starts_with("HTTP/1.1 200")).count();
        assert_eq!(served, 12, "{rate}");
        let metrics = deployment.host.shared().settings.listen.metrics;
        let metrics = get(metrics.expect("metrics are served"), "/metrics");
        assert_eq!(metrics.contains("rate_malformed"), !is_limited, "{rate}");
    }
}
