//! Keys that may not run.

mod common;

use std::time::Duration;

use common::{Deployment, FIRST_ATTEMPT, kind, problem};
use dunlinrock_node::Host;
use dunlinrock_schema::{api::Run, settings::Settings};
use rstest::rstest;

const PATH: &str = "/v1/call/catalogue/reserve/4";

// A malformed key gets 400, `run: no`, and the reason. The key is parsed before the ledger receives
// it; a text that does not name two hosts could be accepted by any number of them.
#[rstest]
#[case::too_few_parts("1.2.3.n1")]
#[case::no_number("one.2.3.4.n1")]
#[case::leading_zero("01.2.3.4.n1")]
#[case::too_large("99999999999999999999.2.3.4.n1")]
#[case::no_nonce("1.2.3.4.")]
#[case::nonce_with_space("1.2.3.4.n 1")]
#[case::long_nonce("1.2.3.4.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[tokio::test]
async fn a_malformed_key_is_refused(#[case] key: &str) {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let answer = d
        .post(d.hosts[0].callers_addr(), PATH, key, FIRST_ATTEMPT)
        .await;
    let problem = problem(&answer);
    assert_eq!(
        (kind(&problem), problem.run),
        ("malformed", Run::No),
        "{problem:?}"
    );
    assert!(d.runs().is_empty());
}

// A key names a process that has ended, because the caller's look-up is old, and another process
// uses its address now. Whether the ended process ran the request is unknown, so its successor runs
// nothing under its keys and answers key-refused.
#[tokio::test]
async fn a_key_of_another_incarnation_is_never_run() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("catalogue").await;
    let mut parts: Vec<&str> = bound.prefix.split('.').collect();
    parts[0] = "1";
    parts[2] = "2";
    let key = format!("{}.n1", parts.join("."));
    for host in &d.hosts {
        let answer = d.post(host.callers_addr(), PATH, &key, FIRST_ATTEMPT).await;
        let problem = problem(&answer);
        assert_eq!(
            (kind(&problem), problem.run),
            ("key-refused", Run::Unknown),
            "{problem:?}"
        );
    }
    assert!(d.runs().is_empty());
}

// A caller makes a key of a future epoch, which is refused. If it were accepted, its record would
// be dropped as that of an epoch that has not started, and the key could run a second time.
#[tokio::test]
async fn a_key_of_a_future_epoch_is_never_run() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("catalogue").await;
    let ahead = "4000000";
    let parts: Vec<&str> = bound.prefix.split('.').collect();
    let key = format!("{}.{ahead}.{}.{ahead}.n1", parts[0], parts[2]);
    for side in [bound.owner, bound.witness] {
        let answer = d.post(side, PATH, &key, FIRST_ATTEMPT).await;
        assert_eq!(kind(&problem(&answer)), "key-refused", "{answer:?}");
    }
    assert!(d.runs().is_empty());
}

// A key runs, its epoch ends, its record is dropped, and the caller sends it again. Without the
// record, only the epoch in the key shows that it may have run, so it is answered with key-refused.
#[tokio::test]
async fn a_key_whose_epoch_has_ended_is_never_run_again() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    let short = |mut settings: Settings| {
        settings.timing.as_mut().expect("set by the tests").epoch_ms = 100;
        settings
    };
    for domain in ["bucharest-a", "bucharest-b", "cluj-a", "iasi-a"] {
        let settings = short(d.settings(&format!("h-{domain}"), domain));
        d.hosts
            .push(Host::spawn(settings).expect("the host starts"));
    }
    d.apply().await;
    d.settle(1).await;
    let bound = d.binding("catalogue").await;
    let key = format!("{}.n1", bound.prefix);
    // May arrive too late for such a short epoch; then it is refused and does not run.
    d.post(bound.owner, PATH, &key, FIRST_ATTEMPT).await;
    let ran = d.runs().get(key.as_str()).copied().unwrap_or_default();
    let held = d.host_at(bound.owner).epoch();
    common::wait_until("the epochs end", || {
        [bound.owner, bound.witness]
            .iter()
            .all(|side| d.host_at(*side).epoch() > held + 5)
    })
    .await;
    for side in [bound.owner, bound.witness] {
        let answer = d.post(side, PATH, &key, "owner=1, witness=0").await;
        let problem = problem(&answer);
        assert_eq!(kind(&problem), "key-refused", "{problem:?}");
        assert_ne!(problem.run, Run::No, "{problem:?}");
    }
    let now = d.runs().get(key.as_str()).copied().unwrap_or_default();
    assert_eq!(now, ran);
}

// A request that is not idempotent has no key: it gets 400, `run: no`, and an explanation of how to
// make one. Without a key its retry could not be told from its first attempt.
#[tokio::test]
async fn a_request_that_needs_a_key_and_has_none_is_refused() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let request = hyper::Request::post(format!("http://{}{PATH}", d.hosts[0].callers_addr()))
        .body(Default::default())
        .expect("a request");
    let answer = d
        .client
        .call(request, common::HANG_TIMEOUT)
        .await
        .expect("an answer");
    let problem = problem(&answer);
    assert_eq!((kind(&problem), problem.run), ("key-missing", Run::No));
}
