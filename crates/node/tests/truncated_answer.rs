//! A target that breaks off in the middle of its answer.

mod common;

use std::time::Duration;

use common::{Deployment, FIRST, problem};
use dunlinrock_schema::api::Run;

/// More answers than the test asks for.
const MANY: u64 = 1000;

// The caller sees: an error with `run: unknown`, never half a body under a success.
// Order: the target sends its head with a length, half the body, and closes. Its host has the head
// by then; it may not pass it on before the body is whole, or it could not take the success back.
#[tokio::test]
async fn an_answer_that_is_cut_short_is_not_given_as_a_whole_one() {
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

// The caller sees: `unknown` for its reservation, and `unknown` again from either side on a retry.
// Order: the target ran the reservation, its answer was cut. A second run would book a second
// seat; the ledger holds the key as sent, so no retry reaches a target, whole answers or not.
#[tokio::test]
async fn a_reservation_whose_answer_is_cut_short_is_not_run_again() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    d.targets
        .iter()
        .for_each(|target| target.truncate_next(MANY));
    let bound = d.bind("catalogue").await;
    let key = format!("{}.n1", bound.prefix);
    let path = "/v1/call/catalogue/reserve/4";
    let first = d.post(bound.owner, path, &key, FIRST).await;
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
