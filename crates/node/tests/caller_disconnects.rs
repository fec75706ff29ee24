//! Callers that close their connections.

mod common;

use std::{num::NonZeroU64, time::Duration};

use common::{Deployment, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const HOUR: Duration = Duration::from_secs(3600);

/// Starts a deployment whose requests run for an hour.
async fn slow() -> Deployment {
    let mut d = Deployment::open_with("cursuri", HOUR, |config| {
        for service in config.services.values_mut() {
            service.longest_ms = NonZeroU64::new(7_200_000).expect("not zero");
            service.deadline_ms = NonZeroU64::new(7_200_000).expect("not zero");
        }
    });
    d.start().await;
    d
}

fn sum(d: &Deployment, count: impl Fn(&dunlinrock_schema::store::TargetCounts) -> u64) -> u64 {
    d.targets.iter().map(|target| count(&target.counts())).sum()
}

// A caller disconnects while its idempotent request runs at a target of this host or of another
// one. The host closes its connection to the target, or the one to the other host, which then
// closes its own. Otherwise a slot would be used without a caller until the deadline.
#[tokio::test]
async fn an_idempotent_request_is_cancelled_at_its_target() {
    let d = slow().await;
    // From each host: some own the chosen pool, some forward the request.
    for (n, host) in (1..).zip(&d.hosts) {
        let mut stream = TcpStream::connect(host.callers_addr())
            .await
            .expect("a connection");
        let head = format!("GET /v1/call/catalogue/search/{n} HTTP/1.1\r\nhost: h\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("sent");
        wait_until("it starts", || sum(&d, |c| c.started) == n).await;
        drop(stream);
        wait_until("it is cancelled", || sum(&d, |c| c.cancelled) == n).await;
    }
}

// A caller sends a payment and disconnects. The payment continues, since the target may have done
// it already; a retry with the same key waits for the one run and gets its response.
#[tokio::test]
async fn a_keyed_request_continues_and_its_retry_gets_the_response() {
    let mut d = Deployment::open("cursuri", Duration::from_millis(200));
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let path = "/v1/call/records/pay/7";
    let mut stream = TcpStream::connect(bound.owner).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nidempotency-key: {key}\r\ndunlinrock-caller: a test\r\n\
         dunlinrock-attempts: owner=0, witness=0\r\ncontent-length: 6\r\n\r\nseat 4"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    wait_until("it starts", || d.runs().contains_key(key.as_str())).await;
    drop(stream);
    let answer = d.post(bound.owner, path, &key, "owner=1, witness=0").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
    assert_eq!(sum(&d, |c| c.cancelled), 0);
}
