//! Keys that may not run.

mod common;

use std::time::Duration;

use common::{Deployment, FIRST, kind, problem};
use dunlinrock_node::Host;
use dunlinrock_schema::{api::Run, settings::Settings};
use rstest::rstest;

const PATH: &str = "/v1/call/catalogue/reserve/4";

// The caller sees: 400, `run: no`, and what is wrong with the key. Order: the key is read before
// the ledger hears of it; a text that names no two hosts could be taken up by any number of them.
#[rstest]
#[case::too_few_parts("1.2.3.n1")]
#[case::no_number("one.2.3.4.n1")]
#[case::leading_zero("01.2.3.4.n1")]
#[case::too_large("99999999999999999999.2.3.4.n1")]
#[case::no_nonce("1.2.3.4.")]
#[case::nonce_with_space("1.2.3.4.n 1")]
#[case::long_nonce("1.2.3.4.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[tokio::test]
async fn a_key_of_bad_text_is_refused(#[case] key: &str) {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let answer = d.post(d.hosts[0].callers_addr(), PATH, key, FIRST).await;
    let problem = problem(&answer);
    assert_eq!(
        (kind(&problem), problem.run),
        ("malformed", Run::No),
        "{problem:?}"
    );
    assert!(d.runs().is_empty());
}

// The caller sees: a problem of kind key-refused. Order: its look-up was answered long ago, the
// process that it names has ended, and another one stands at its address. What the dead process
// ran nobody knows, so its successor runs nothing under its keys.
#[tokio::test]
async fn a_key_of_another_incarnation_is_never_run() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.bind("catalogue").await;
    let mut parts: Vec<&str> = bound.prefix.split('.').collect();
    parts[0] = "1";
    parts[2] = "2";
    let key = format!("{}.n1", parts.join("."));
    for host in &d.hosts {
        let answer = d.post(host.callers_addr(), PATH, &key, FIRST).await;
        let problem = problem(&answer);
        assert_eq!(
            (kind(&problem), problem.run),
            ("key-refused", Run::Unknown),
            "{problem:?}"
        );
    }
    assert!(d.runs().is_empty());
}

// The caller sees: a problem of kind key-refused. Order: it makes a key of an epoch to come. Taken
// now, the key's record would be dropped by the count of an epoch that has not begun, and the key
// could come again.
#[tokio::test]
async fn a_key_of_an_epoch_to_come_is_never_run() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.bind("catalogue").await;
    let ahead = "4000000";
    let parts: Vec<&str> = bound.prefix.split('.').collect();
    let key = format!("{}.{ahead}.{}.{ahead}.n1", parts[0], parts[2]);
    for side in [bound.owner, bound.witness] {
        let answer = d.post(side, PATH, &key, FIRST).await;
        assert_eq!(kind(&problem(&answer)), "key-refused", "{answer:?}");
    }
    assert!(d.runs().is_empty());
}

// The caller sees: its answer, then, much later, a problem of kind key-refused. Order: the key
// runs, its epoch ends, its record is dropped, the caller sends it again. Without the record only
// the epoch in the key tells that it may have run.
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
    let bound = d.bind("catalogue").await;
    let key = format!("{}.n1", bound.prefix);
    // May come too late for so short an epoch: then it is refused, and not run.
    d.post(bound.owner, PATH, &key, FIRST).await;
    let ran = d.runs().get(key.as_str()).copied().unwrap_or_default();
    let held = d.at(bound.owner).epoch();
    common::until("the epochs end", || {
        [bound.owner, bound.witness]
            .iter()
            .all(|side| d.at(*side).epoch() > held + 5)
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

// The caller sees: 400, `run: no`, and how to make a key. Order: the request is not repeatable and
// names no key, so nothing could tell its second copy from its first.
#[tokio::test]
async fn a_request_that_needs_a_key_and_has_none_is_refused() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let request = hyper::Request::post(format!("http://{}{PATH}", d.hosts[0].callers_addr()))
        .body(Default::default())
        .expect("a request");
    let answer = d
        .client
        .call(request, common::LONG)
        .await
        .expect("an answer");
    let problem = problem(&answer);
    assert_eq!((kind(&problem), problem.run), ("key-missing", Run::No));
}
