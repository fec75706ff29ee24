//! Limits on callers' requests, and the errors beyond them.

mod common;

use std::{num::NonZeroU64, time::Duration};

use common::{Deployment, HANG_TIMEOUT, kind, problem};
use dunlinrock_node::Host;
use dunlinrock_schema::{
    api::Run,
    settings::{LimitSettings, Settings},
};
use http_body_util::Full;
use hyper::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PATH: &str = "/v1/call/catalogue/reserve/4";

/// Starts a deployment of one host with tight limits.
async fn tight() -> Deployment {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    let limits = LimitSettings {
        body_bytes: NonZeroU64::new(1000).expect("not zero"),
        header_ms: NonZeroU64::new(50).expect("not zero"),
        body_ms: NonZeroU64::new(50).expect("not zero"),
        ..Default::default()
    };
    let settings = Settings {
        limits: Some(limits),
        ..d.settings("tight", "cluj-a")
    };
    d.hosts
        .push(Host::spawn(settings).expect("the host starts"));
    d.apply().await;
    d.settle(1).await;
    d
}

/// Sends bytes on a new connection and reads until the host closes it.
async fn raw(d: &Deployment, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(d.hosts[0].callers_addr())
        .await
        .expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    let mut answer = Vec::new();
    // A reset means the same as a close: there is nothing more to read.
    let read = tokio::time::timeout(HANG_TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the host keeps the connection open");
    String::from_utf8_lossy(&answer).into_owned()
}

// The body exceeds the limit while it is read: 413 with `run: no`. Nothing was sent to a target;
// without the limit, one caller could fill the host's memory.
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let d = tight().await;
    let request = Request::post(format!("http://{}{PATH}", d.hosts[0].callers_addr()))
        .body(Full::new(vec![b'x'; 1001].into()))
        .expect("a request");
    let answer = d
        .client
        .call(request, HANG_TIMEOUT)
        .await
        .expect("an answer");
    let problem = problem(&answer);
    assert_eq!((kind(&problem), problem.run), ("too-large", Run::No));
    assert!(d.runs().is_empty());
}

// The head exceeds the limit before it is complete: 431.
#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let d = tight().await;
    let field = "x".repeat(64 << 10);
    let head = format!("GET /v1/hosts/catalogue HTTP/1.1\r\nhost: h\r\nx: {field}\r\n\r\n");
    let answer = raw(&d, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

// The body stops arriving after its first bytes: 408 with `run: no`. Without the limit such callers
// would occupy the host's connections indefinitely.
#[tokio::test]
async fn an_incomplete_body_is_refused() {
    let d = tight().await;
    let head = format!("POST {PATH} HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc");
    let answer = raw(&d, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains(r#""run":"no""#), "{answer}");
    assert!(d.runs().is_empty());
}

// Callers open connections and send nothing, or half a head. The host closes these connections
// after its time limit for heads and keeps serving others.
#[tokio::test]
async fn connections_without_a_complete_head_are_closed() {
    let d = tight().await;
    for start in ["", "GET /v1/hosts/catal"] {
        let answer = raw(&d, start.as_bytes()).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(
        d.get(d.hosts[0].callers_addr(), "/v1/ready").await.status,
        200
    );
}

// A request for an unknown service gets 404, `run: no`, and the revision that does not contain the
// service.
#[tokio::test]
async fn an_unknown_service_is_refused() {
    let d = tight().await;
    for path in ["/v1/call/cinema/seats", "/v1/hosts/cinema"] {
        let answer = d.get(d.hosts[0].callers_addr(), path).await;
        let problem = problem(&answer);
        assert_eq!((kind(&problem), problem.run), ("unknown-service", Run::No));
        assert_eq!(answer.status, 404);
    }
}

// The caller's time limit cannot be parsed: 400 with `run: no`. If the default were used instead,
// the host would work for a caller that gave up early.
#[tokio::test]
async fn a_malformed_timeout_is_refused() {
    let d = tight().await;
    for value in ["0", "-1", "1.5", "soon", "99999999999999999999999"] {
        let url = format!("http://{}/v1/call/catalogue/a", d.hosts[0].callers_addr());
        let request = Request::get(url)
            .header("dunlinrock-timeout-ms", value)
            .body(Full::default())
            .expect("a request");
        let answer = d
            .client
            .call(request, HANG_TIMEOUT)
            .await
            .expect("an answer");
        let problem = problem(&answer);
        assert_eq!(
            (kind(&problem), problem.run),
            ("malformed", Run::No),
            "{value}"
        );
    }
}
