//! Hosts without a store, and without a configuration.

mod common;

use std::time::Duration;

use common::{Deployment, FIRST_ATTEMPT, kind, problem};
use dunlinrock_fakes::OutageKind;
use dunlinrock_schema::api::Run;
use rstest::rstest;

// The store becomes unavailable, and then a host starts. It finds the other hosts on the platform's
// list, and requests the root and its pieces from them; callers get complete responses from a host
// that never reached the store. Waiting for the store would leave a region without new hosts for as
// long as it is unavailable.
#[rstest]
#[case::refusing(OutageKind::Refuse)]
#[case::closing(OutageKind::Close)]
#[case::failing(OutageKind::Unavailable)]
#[tokio::test]
async fn a_starting_host_gets_the_configuration_from_peers(#[case] how: OutageKind) {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.store.down(how);
    let late = d.host("late", "cluj-b").callers_addr();
    d.settle(1).await;
    let answer = d.get(late, "/v1/call/catalogue/courses").await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let answer = d
        .post(late, "/v1/call/records/pay/1", &key, FIRST_ATTEMPT)
        .await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// A host starts before any configuration was applied. It answers 503 with `run: no` and a retry
// time: it knows no target, so nothing ran. A request with a key gets `unknown`, since other hosts
// may have run the key before.
#[tokio::test]
async fn a_host_without_a_configuration_refuses_requests() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    let host = d.host("first", "cluj-a").callers_addr();
    for path in ["/v1/call/catalogue/courses", "/v1/hosts/catalogue"] {
        let answer = d.get(host, path).await;
        let problem = problem(&answer);
        assert_eq!((kind(&problem), problem.run), ("not-ready", Run::No));
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    }
    assert_eq!(d.get(host, "/v1/ready").await.status, 503);
    let path = "/v1/call/catalogue/reserve/4";
    let answer = d.post(host, path, "1.2.3.4.n1", FIRST_ATTEMPT).await;
    assert_eq!(problem(&answer).run, Run::Unknown, "{answer:?}");
}
