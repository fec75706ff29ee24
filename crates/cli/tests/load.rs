//! Tests of the load generator: the requests that it sends, and how it counts the responses.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dunlinrock::{
    caller::{Caller, CallerOptions},
    load::{self, LoadSchedule, LoadStats, Report, Workload},
};
use dunlinrock_schema::api::Run;
use support::{
    block_on,
    scripted_host::{
        RecordedRequest, ScriptedHost, ScriptedResponse, hosts, problem, target_response,
    },
};

/// Runs a short load against one scripted host.
fn load(
    script: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
) -> (LoadStats, Report, Vec<RecordedRequest>) {
    block_on(async {
        let host = ScriptedHost::open(script).await;
        let at = host.addr;
        let found = move |seen: &RecordedRequest| match seen.is_lookup() {
            true => hosts(&[at], Some((at, at)), 3_600_000),
            false => ScriptedResponse::Close,
        };
        let start = ScriptedHost::open(found).await;
        let caller = Caller::open(CallerOptions {
            name: "c".into(),
            seeds: vec![start.addr],
            local_addr: None,
            attempts: 1,
            seed: 1,
        });
        let workload = Workload {
            services: vec!["catalogue".into()],
            path: "/p".into(),
            path_count: 10,
            write_fraction: 0.5,
            deadline: Duration::from_secs(60),
        };
        let schedule = LoadSchedule {
            rate: 500.0,
            duration: Duration::from_millis(100),
            seed: 7,
        };
        let stats = Arc::new(Mutex::new(LoadStats::default()));
        load::run(&[Arc::new(caller)], &workload, &schedule, &stats).await;
        let stats = stats.lock().unwrap().clone();
        let report = Report::from_stats(&schedule, &stats);
        (stats, report, host.calls())
    })
}

fn echo(path: &str, key: &str) -> ScriptedResponse {
    target_response(&format!(
        r#"{{"target":"t","path":"{path}","key":"{key}"}}"#
    ))
}

fn own(seen: &RecordedRequest) -> ScriptedResponse {
    let path = seen.path.strip_prefix("/v1/call/catalogue").unwrap();
    echo(path, seen.header("idempotency-key"))
}

#[test]
fn each_request_has_a_unique_path_determined_by_the_seed() {
    let (_, report, calls) = load(own);
    let service = &report.services["catalogue"];
    assert_eq!(
        (service.sent, service.answered),
        (calls.len() as u64, calls.len() as u64)
    );
    let paths = |calls: &[RecordedRequest]| {
        let paths = calls.iter().map(|s| (s.path.clone(), s.method.clone()));
        paths
            .map(|(path, method)| format!("{method} {path}"))
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(paths(&calls).len(), calls.len());
    assert_eq!(paths(&load(own).2), paths(&calls));
    let keyed = calls.iter().filter(|s| s.method == http::Method::POST);
    assert!(keyed.clone().count() > 0);
    assert!(
        keyed
            .into_iter()
            .all(|s| !s.header("idempotency-key").is_empty())
    );
}

#[test]
fn a_response_to_another_request_is_counted_as_wrong() {
    let (_, report, _) = load(|seen| echo("/p/0?n=7-99999", seen.header("idempotency-key")));
    let service = &report.services["catalogue"];
    assert_eq!((service.answered, service.wrong), (0, service.sent));
    assert!(report.has_wrong());
}

#[test]
fn a_response_under_another_key_is_counted_as_wrong() {
    let (_, report, _) = load(|seen| {
        let path = seen.path.strip_prefix("/v1/call/catalogue").unwrap();
        echo(path, "another")
    });
    let service = &report.services["catalogue"];
    assert_eq!((service.answered, service.wrong), (0, service.sent));
}

#[test]
fn errors_of_targets_and_hosts_are_counted_separately() {
    let (_, report, _) = load(|_| ScriptedResponse::Reply(500, "text/plain", b"boom".to_vec()));
    let service = &report.services["catalogue"];
    assert_eq!((service.failed, service.answered), (service.sent, 0));

    let (stats, report, calls) = load(|_| problem(Run::No, None));
    let service = &report.services["catalogue"];
    assert_eq!((service.refused, service.answered), (service.sent, 0));
    let keyed = calls
        .iter()
        .filter(|s| s.method == http::Method::POST)
        .count();
    assert_eq!(
        stats.not_run_keys.len(),
        keyed,
        "the keys of `run: no` are kept for the checks"
    );

    let (_, report, _) = load(|_| ScriptedResponse::Close);
    let service = &report.services["catalogue"];
    assert_eq!((service.unknown, service.answered), (service.sent, 0));
}

#[test]
fn a_report_round_trips_through_json() {
    let (_, report, _) = load(own);
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[test]
fn a_report_shows_the_most_frequent_reasons_and_counts_the_rest() {
    let (_, mut report, _) = load(own);
    report.reasons = (1..=10)
        .map(|n| (format!("reason {n}").into(), n))
        .collect();
    let text = report.to_string();
    let shown: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("without"))
        .collect();
    assert_eq!(shown.len(), 9);
    assert_eq!(shown[0], "10 without an answer: reason 10");
    assert_eq!(
        shown[8],
        "3 without an answer, for other reasons (see --json)"
    );
}
