//! Access to the stored response of a key.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Deployment, FIRST_ATTEMPT, HANG_TIMEOUT, kind, problem};
use dunlinrock_node::wire::Answer;
use http_body_util::Full;
use hyper::Request;

const PATH: &str = "/v1/call/records/pay/7";

// The owner of a key ran the request. The caller gets the same response from either host of the
// key, on every retry; the witness has only the claim and fetches the response.
#[tokio::test]
async fn either_host_replays_the_response_to_its_caller() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let one = d.post(bound.owner, PATH, &key, FIRST_ATTEMPT).await;
    assert_eq!(one.status, 200, "{one:?}");
    for (side, attempts) in [
        (bound.witness, "owner=1, witness=0"),
        (bound.owner, "owner=1, witness=1"),
        (bound.witness, "owner=2, witness=1"),
    ] {
        let again = d.post(side, PATH, &key, attempts).await;
        assert_eq!((again.status, &again.body), (one.status, &one.body));
    }
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// Another caller learns or guesses a key that ran. It gets key-mismatch and nothing of the
// response: the key alone is no proof of identity, since keys appear in logs. The body counts too:
// the same caller with another payment must not get the receipt of the first.
#[tokio::test]
async fn another_caller_or_another_request_gets_nothing_of_the_response() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let one = d.post(bound.owner, PATH, &key, FIRST_ATTEMPT).await;
    assert_eq!(one.status, 200, "{one:?}");
    for side in [bound.owner, bound.witness] {
        for (caller, path, body) in [
            ("somebody else", PATH, "seat 4"),
            ("a test", "/v1/call/records/pay/8", "seat 4"),
            ("a test", PATH, "seat 5"),
        ] {
            let answer = send(&d, side, path, &key, caller, body).await;
            assert_eq!(kind(&problem(&answer)), "key-mismatch", "{answer:?}");
        }
    }
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

async fn send(
    d: &Deployment,
    host: std::net::SocketAddr,
    path: &str,
    key: &str,
    caller: &str,
    body: &'static str,
) -> Answer {
    let request = Request::post(format!("http://{host}{path}"))
        .header("idempotency-key", key)
        .header("dunlinrock-attempts", "owner=1, witness=1")
        .header("dunlinrock-caller", caller)
        .body(Full::new(Bytes::from_static(body.as_bytes())))
        .expect("a request");
    d.client
        .call(request, HANG_TIMEOUT)
        .await
        .expect("an answer")
}
