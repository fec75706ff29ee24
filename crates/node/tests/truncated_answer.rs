//! A target that closes the connection in the middle of its response.

mod common;

use std::time::Duration;

use common::{Deployment, FIRST_ATTEMPT, problem};
use dunlinrock_schema::api::Run;

/// More responses than the test requests.
const MANY: u64 = 1000;

// A target sends a head with a length, half of the body, and closes the connection. The caller gets
// an error with `run: unknown`, never half a body with a success status. The host must not forward
// the head before the body is complete, or it could not take the success back.
#[tokio::test]
async fn a_truncated_response_is_not_forwarded_as_a_complete_one() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.targets
        .iter()
        .for_each(|target| target.truncate_next(MANY));
    for host in &d.hosts {
        let answer = d
            .get(host.callers_addr(), "/v1/call/catalogue/courses")
            .await;
        assert_eq!(problem(&answer).run, Run::Unknown, "{answer:?}");
    }
}

// A target runs a reservation, and its response is truncated. The caller gets `unknown`, also from
// both hosts of the key on a retry. A second run would book a second seat: the ledger records the
// key as sent, so no retry reaches a target, even when targets send complete responses again.
#[tokio::test]
async fn a_reservation_with_a_truncated_response_is_not_run_again() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.targets
        .iter()
        .for_each(|target| target.truncate_next(MANY));
    let bound = d.binding("catalogue").await;
    let key = format!("{}.n1", bound.prefix);
    let path = "/v1/call/catalogue/reserve/4";
    let first = d.post(bound.owner, path, &key, FIRST_ATTEMPT).await;
    assert_eq!(problem(&first).run, Run::Unknown, "{first:?}");
    d.targets.iter().for_each(|target| target.truncate_next(0));
    let again = d.post(bound.owner, path, &key, "owner=1, witness=0").await;
    assert_eq!(problem(&again).run, Run::Unknown, "{again:?}");
    let other = d
        .post(bound.witness, path, &key, "owner=2, witness=0")
        .await;
    assert_eq!(problem(&other).run, Run::Unknown, "{other:?}");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}
