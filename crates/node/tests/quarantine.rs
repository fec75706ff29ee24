//! A request that crashes the targets that run it.

mod common;

use std::time::Duration;

use common::{Deployment, HANG_TIMEOUT, kind, problem};
use dunlinrock_fakes::Target;
use dunlinrock_node::{Host, duties::pools::Input};
use tokio::sync::oneshot;

const KILL: &str = "/v1/call/catalogue/kill/7";

/// Returns the number of quarantine updates that the pools of a host hold.
async fn words(host: &Host) -> usize {
    let (reply, answer) = oneshot::channel();
    assert!(host.shared().pools.try_send(Input::GetState(reply)).is_ok());
    let reports = answer.await.expect("the worker answers");
    reports.iter().map(|report| report.quarantines.len()).sum()
}

// A request crashes a target, runs isolated on another target of the pool and crashes that one too;
// the pool then refuses it. If it were offered to a second pool, which does not know about it yet,
// it would crash two more targets there, all that a small region has.
#[tokio::test]
async fn one_request_crashes_at_most_two_targets() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.get(d.hosts[0].callers_addr(), KILL).await;
    let killed: u64 = d.targets.iter().map(|target| target.counts().killed).sum();
    assert!((1..=2).contains(&killed), "{killed} targets crashed");
}

// A request crashes two targets. The pool's owner reports quarantine updates to its control worker
// on request, and the control worker broadcasts them; finally all hosts refuse the request with
// 403. Dumps request the same report. When reports returned each update only once, dumps consumed
// them, the other hosts never received them, and the request crashed targets through each of those
// hosts.
#[tokio::test]
async fn dumps_do_not_consume_quarantine_updates() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.get(d.hosts[0].callers_addr(), KILL).await;
    let mut owners = 0;
    for host in &d.hosts {
        let first = words(host).await;
        owners += usize::from(first > 0);
        assert!(
            words(host).await >= first,
            "{}: updates were lost",
            host.name()
        );
    }
    assert!(owners > 0, "no pool has an update");
    for host in &d.hosts {
        let told = host.wait_for(|view| !view.quarantines.is_empty());
        tokio::time::timeout(HANG_TIMEOUT, told)
            .await
            .expect("all hosts get the update");
    }
    // All hosts know the request now, at least as a suspect; after further attempts it is refused.
    let mut answer = d.get(d.hosts[0].callers_addr(), KILL).await;
    while answer.status != 403 {
        answer = d.get(d.hosts[0].callers_addr(), KILL).await;
    }
    assert_eq!(kind(&problem(&answer)), "quarantined");
}

/// Time of a run, in which links are cut, and of a cut.
const WORK: Duration = Duration::from_millis(400);
const CUT: Duration = Duration::from_millis(800);

/// Guards against links that are lost for a moment, twice, and taken for the end of all targets by a
/// request that ran on them: the targets live.
#[tokio::test]
async fn lost_links_to_all_targets_quarantine_no_popular_request() {
    let mut d = Deployment::open("cursuri", WORK);
    d.start().await;
    let (host, path) = (d.hosts[0].callers_addr(), "/v1/call/catalogue/courses");
    let is_running = || d.targets.iter().any(|target| target.load().busy > 0);
    for _ in 0..2 {
        let calls = futures::future::join_all((0..6).map(|_| d.get(host, path)));
        let cut = async {
            while !is_running() {
                tokio::task::yield_now().await;
            }
            d.targets.iter().for_each(Target::down);
            tokio::time::sleep(CUT).await;
            d.targets.iter().for_each(Target::up);
        };
        tokio::join!(calls, cut);
    }
    let mut answer = d.get(host, path).await;
    while answer.status == 503 {
        answer = d.get(host, path).await;
    }
    assert_eq!(answer.status, 200, "{answer:?}");
}
