//! Targets: slots, shedding, cancellation, deadlines, reports and faults.

mod support;

use std::{
    future::{Future, poll_fn},
    pin::pin,
    task::Poll,
    time::Duration,
};

use dunlinrock_fakes::{Target, TargetOptions, TargetSpec, Targets, WorkTime};
use dunlinrock_schema::store::{TargetCounts, TargetReport};
use futures::future::join_all;
use support::{Response, block_on, send};

/// A request that runs until its connection closes or its deadline passes.
const FOREVER: &str = "POST /book?work_us=3600000000";

fn quick() -> TargetOptions {
    TargetOptions {
        work: WorkTime {
            median: Duration::from_micros(100),
            sigma: 0.0,
            slow_fraction: 0.0,
            slow_factor: 1.0,
        },
        report_delay: Duration::ZERO,
        ..TargetOptions::default()
    }
}

fn target(options: TargetOptions) -> (Target, Targets) {
    Target::bind("127.0.0.1:0", options).unwrap()
}

async fn ask(target: &Target, line: &str, headers: &[(&str, &str)]) -> anyhow::Result<Response> {
    send(target.addr(), line, headers, "").await
}

/// Polls `job` until `held` returns true, then drops it.
async fn until(job: impl Future, held: impl Fn() -> bool) {
    let mut job = pin!(job);
    poll_fn(|cx| {
        assert!(job.as_mut().poll(cx).is_pending(), "the job ended");
        if held() {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn wait(held: impl Fn() -> bool) {
    while !held() {
        tokio::task::yield_now().await;
    }
}

#[test]
fn a_response_names_the_request_it_belongs_to() {
    let (target, _targets) = target(quick());
    block_on(async {
        let headers = [("request-id", "r-17"), ("idempotency-key", "k-1")];
        let res = send(target.addr(), "POST /book?child=4", &headers, "seat")
            .await
            .unwrap();
        let body: serde_json::Value = res.json();
        assert_eq!(res.status, 200);
        assert_eq!(body["request"], "r-17");
        assert_eq!(body["key"], "k-1");
        assert_eq!(body["path"], "/book?child=4");
        assert_eq!(body["body_bytes"], 4);
    });
}

#[test]
fn each_run_of_a_key_is_counted() {
    let (target, targets) = target(quick());
    block_on(async {
        for key in ["a", "b", "a"] {
            let res = ask(&target, "POST /pay", &[("idempotency-key", key)])
                .await
                .unwrap();
            assert_eq!(res.status, 200);
        }
        let shown = ask(&target, "GET /fake/runs", &[]).await.unwrap();
        let shown: std::collections::BTreeMap<String, u64> = shown.json();
        assert_eq!((shown["a"], shown["b"]), (2, 1));
    });
    assert_eq!(targets.run_counts().get("a"), Some(&2));
    assert_eq!(target.counts().repeated, 1);
}

#[test]
fn requests_beyond_the_slots_wait_and_beyond_the_backlog_are_shed() {
    let options = TargetOptions {
        slots: 2,
        backlog: 1,
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        let jobs = join_all((0..3).map(|_| ask(&target, FOREVER, &[])));
        let more = async {
            // Two run and one waits; the fourth and fifth exceed the backlog.
            wait(|| target.load().busy == 2).await;
            loop {
                let headers = [("idempotency-key", "x"), ("request-timeout-ms", "1")];
                let res = ask(&target, "POST /book", &headers).await.unwrap();
                assert_eq!((res.status.as_u16(), res.header("target-shed")), (503, "1"));
                if target.counts().shed >= 2 {
                    break;
                }
            }
        };
        tokio::select! {
            _ = jobs => panic!("endless work ended"),
            () = more => {}
        }
    });
    assert_eq!(target.peak_busy(), 2);
    assert!(target.run_counts().is_empty(), "a shed request was run");
}

#[test]
fn a_disconnected_caller_cancels_the_run_and_frees_the_slot() {
    let options = TargetOptions {
        slots: 1,
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        until(ask(&target, FOREVER, &[]), || target.load().busy == 1).await;
        wait(|| target.counts().cancelled == 1).await;
        assert_eq!(target.load().busy, 0);
        assert_eq!(ask(&target, "GET /next", &[]).await.unwrap().status, 200);
    });
}

#[test]
fn a_run_past_its_deadline_is_stopped_and_counted() {
    let (target, _targets) = target(quick());
    block_on(async {
        let headers = [("request-timeout-ms", "5"), ("idempotency-key", "a")];
        let res = ask(&target, FOREVER, &headers).await.unwrap();
        assert_eq!((res.status.as_u16(), res.header("target-shed")), (504, ""));
    });
    assert_eq!(target.counts().late, 1);
    assert_eq!(target.run_counts().get("a"), Some(&1));
}

#[test]
fn a_leaving_target_sheds_new_requests_and_reports_it() {
    let (target, _targets) = target(quick());
    block_on(async {
        target.set_leaving(true);
        let res = ask(&target, "GET /a", &[]).await.unwrap();
        assert_eq!((res.status.as_u16(), res.header("target-shed")), (503, "1"));
        assert_eq!(res.header("target-load"), "0/3;leaving");
        let report: TargetReport = ask(&target, "GET /load", &[]).await.unwrap().json();
        assert!(report.leaving);
        ask(&target, "POST /fake/return", &[]).await.unwrap();
        assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 200);
    });
}

#[test]
fn a_cold_target_warms_up_with_the_requests_it_runs() {
    let options = TargetOptions {
        warmup_requests: 2,
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        let mut loads = Vec::new();
        for _ in 0..2 {
            let res = ask(&target, "GET /a", &[]).await.unwrap();
            loads.push(res.header("target-load").to_owned());
        }
        assert_eq!(loads, ["0/3;cold", "0/3"]);
        target.clear_cache();
        assert!(target.load().cold);
    });
}

#[test]
fn a_report_is_delayed() {
    let options = TargetOptions {
        report_delay: Duration::from_secs(3600),
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        target.set_leaving(true);
        let report: TargetReport = ask(&target, "GET /load", &[]).await.unwrap().json();
        assert!(!report.leaving, "the report is an hour old");
        assert!(target.load().leaving);
    });
}

#[test]
fn a_report_can_be_overridden() {
    let (target, _targets) = target(quick());
    block_on(async {
        let report = TargetReport {
            busy: 0,
            slots: 99,
            leaving: false,
            cold: false,
        };
        let body = serde_json::to_vec(&report).unwrap();
        send(target.addr(), "POST /fake/report", &[], body)
            .await
            .unwrap();
        let res = ask(&target, "GET /a", &[]).await.unwrap();
        assert_eq!(res.header("target-load"), "0/99");
        target.override_report(None);
        let res = ask(&target, "GET /a", &[]).await.unwrap();
        assert_eq!(res.header("target-load"), "0/3");
    });
}

#[test]
fn a_request_that_crashes_the_target_ends_the_other_requests() {
    // One request crashes the target that runs it. The connections of all other requests at the same
    // target are closed, and new ones are refused until the target is up again.
    let options = TargetOptions {
        restart_delay: Duration::from_secs(3600),
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        let other = ask(&target, FOREVER, &[("idempotency-key", "other")]);
        let kill = async {
            wait(|| target.load().busy == 1).await;
            ask(&target, "GET /a", &[("fake-kill", "1")]).await
        };
        let (other, kill) = futures::join!(other, kill);
        assert!(other.is_err() && kill.is_err());
        assert!(ask(&target, "GET /a", &[]).await.is_err());
        target.up();
        let res = ask(&target, "GET /a", &[]).await.unwrap();
        assert_eq!(res.status, 200);
    });
    assert_eq!(target.counts().killed, 1);
    assert_eq!(target.run_counts().get("other"), Some(&1));
}

#[test]
fn a_crashed_target_restarts() {
    let options = TargetOptions {
        restart_delay: Duration::from_millis(5),
        ..quick()
    };
    let (target, _targets) = target(options);
    block_on(async {
        assert!(ask(&target, "GET /kill", &[]).await.is_err());
        while ask(&target, "GET /a", &[]).await.is_err() {}
    });
    assert_eq!(target.counts().killed, 1);
}

#[test]
fn a_truncated_body_is_an_incomplete_response() {
    let (target, _targets) = target(quick());
    block_on(async {
        target.truncate_next(1);
        assert!(ask(&target, "GET /a", &[]).await.is_err());
        assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 200);
    });
    assert_eq!(target.counts().finished, 2);
}

#[test]
fn shedding_and_slowdown_are_set_on_demand() {
    let (target, _targets) = target(quick());
    block_on(async {
        ask(&target, "POST /fake/shed?requests=1", &[])
            .await
            .unwrap();
        assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 503);
        assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 200);
        target.set_slowdown(1e9);
        let late = ask(&target, "GET /a", &[("request-timeout-ms", "5")])
            .await
            .unwrap();
        assert_eq!(late.status, 504);
        ask(&target, "POST /fake/slow?factor=1", &[]).await.unwrap();
        assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 200);
        let counts: TargetCounts = ask(&target, "GET /fake/counts", &[]).await.unwrap().json();
        assert_eq!(
            (counts.started, counts.finished, counts.late, counts.shed),
            (3, 2, 1, 1)
        );
    });
}

#[test]
fn the_size_of_a_response_can_be_set() {
    let (target, _targets) = target(quick());
    block_on(async {
        ask(&target, "POST /fake/size?bytes=100000", &[])
            .await
            .unwrap();
        let res = ask(&target, "GET /a", &[]).await.unwrap();
        assert!(res.body.len() > 100_000);
    });
}

#[test]
fn many_targets_run_on_one_thread() {
    let spec = |n: usize| TargetSpec {
        name: format!("t{n}").into(),
        addr: "127.0.0.1:0".into(),
        options: quick(),
    };
    let targets = Targets::bind((0..64).map(spec).collect()).unwrap();
    block_on(async {
        let answers = join_all(targets.iter().map(|t| ask(t, "GET /a", &[]))).await;
        for (target, res) in targets.iter().zip(answers) {
            let body: serde_json::Value = res.unwrap().json();
            assert_eq!(body["target"], &**target.name());
        }
    });
    let twice = Targets::bind(vec![spec(1), spec(1)]).err().unwrap();
    assert_eq!(twice.to_string(), "two targets are named t1");
}

#[test]
fn a_target_goes_down_and_up_at_once_every_time() {
    let (target, targets) = target(quick());
    block_on(async {
        for _ in 0..50 {
            target.down();
            assert!(ask(&target, "GET /a", &[]).await.is_err());
            target.up();
            assert_eq!(ask(&target, "GET /a", &[]).await.unwrap().status, 200);
        }
    });
    targets.stop();
    target.up(); // must not wait for the port, which is released
}
