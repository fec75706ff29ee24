//! Requests whose deadline passes while they are queued.

mod common;

use std::{num::NonZeroU64, time::Duration};

use common::{Deployment, FIRST_ATTEMPT, wait_until};
use dunlinrock_schema::api::Run;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const HOUR: Duration = Duration::from_secs(3600);

// All slots are taken by long work, and payments with short deadlines arrive. Each is refused at
// once or when its deadline passes in the queue, with `run: no`, and its key reaches no target.
// After `unknown` the family would have to guess whether it paid.
#[tokio::test]
async fn a_payment_whose_deadline_passes_in_the_queue_did_not_run() {
    let mut d = Deployment::open_with("cursuri", HOUR, |config| {
        for service in config.services.values_mut() {
            service.longest_ms = NonZeroU64::new(7_200_000).expect("not zero");
            service.deadline_ms = NonZeroU64::new(7_200_000).expect("not zero");
        }
    });
    d.start().await;
    let _held = fill(&d).await;
    let bound = d.binding("records").await;
    for n in 0..8 {
        let key = format!("{}.n{n}", bound.prefix);
        let request =
            hyper::Request::post(format!("http://{}/v1/call/records/pay/{n}", bound.owner))
                .header("idempotency-key", &key)
                .header("dunlinrock-attempts", FIRST_ATTEMPT)
                .header("dunlinrock-timeout-ms", "150")
                .body(http_body_util::Full::default())
                .expect("a request");
        let answer = d
            .client
            .call(request, common::HANG_TIMEOUT)
            .await
            .expect("an answer");
        let problem = common::problem(&answer);
        let ran = d.runs().contains_key(key.as_str());
        assert!(!(problem.run == Run::No && ran), "{key} ran: {problem:?}");
        // A slot reserved for short work may run one of them; then the answer can only be
        // `unknown`.
        assert!(problem.run == Run::No || ran, "{problem:?}");
    }
}

/// Occupies all slots of the service that long work may use, until the connections are dropped.
async fn fill(d: &Deployment) -> Vec<TcpStream> {
    let mut held = Vec::new();
    let all: u64 = d.targets.iter().map(|_| 3).sum();
    for n in 0..all * 4 {
        let host = &d.hosts[usize::try_from(n).expect("small") % d.hosts.len()];
        let mut stream = TcpStream::connect(host.callers_addr())
            .await
            .expect("a connection");
        let head = format!(
            "GET /v1/call/records/report/{n} HTTP/1.1\r\nhost: h\r\ndunlinrock-caller: c{n}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        held.push(stream);
    }
    let busy = || {
        d.targets
            .iter()
            .map(|t| u64::from(t.load().busy))
            .sum::<u64>()
    };
    wait_until("the slots are taken", || busy() >= 12).await;
    held
}
