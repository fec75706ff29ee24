//! A host near its limits: it keeps accepting connections, answers requests that it cannot serve at
//! once, and runs nothing for disconnected callers.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::Arc,
};

use dunlinrock_decide::admit::direct::ConnectionLimits;
use dunlinrock_edge::{
    front::CallerStream,
    model::{Entry, Target},
    settings::Settings,
};
use socket2::SockRef;
use support::{Deployment, ScriptedTarget, config, read_all, request};
use tokio::io::AsyncReadExt;

/// Settings of a process with 256 file descriptors: 136 connections of callers and to targets.
fn small() -> Settings {
    let mut settings = support::settings();
    settings.connections = ConnectionLimits::for_descriptors(256);
    settings
}

/// Sends a request and closes the sending side in one segment, so that the host finds both at once.
fn send_and_close(deployment: &Deployment, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(deployment.callers()).expect("the host listens");
    SockRef::from(&stream)
        .set_tcp_cork(true)
        .expect("a TCP socket");
    stream
        .write_all(text.as_bytes())
        .expect("the text is buffered");
    stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    stream
}

/// A caller sends a request and disconnects before the host has read it. Running it would take a
/// slot from a caller that still waits. The host closes the connection, and no target gets the
/// request.
#[test]
fn a_request_whose_caller_has_disconnected_is_not_sent() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config(1), &[&scripted]);
    for n in 0..20 {
        let text = request("GET", "/read/a", &format!("r{n}"), "");
        let answer = read_all(&mut send_and_close(&deployment, &text));
        assert_eq!(answer, "", "the caller has disconnected");
    }
    assert!(deployment.call("GET", "/read/a", "last").ends_with("hello"));
    let ids: Vec<_> = scripted.heads().iter().map(|h| h.id().to_owned()).collect();
    assert_eq!(ids, ["last"]);
}

/// The host reads from many connections in one turn of the runtime. A caller disconnects after its
/// request is read and before the request is handled. The host must notice this before the runtime
/// reports it.
#[tokio::test]
async fn a_closed_connection_is_noticed_within_the_same_runtime_turn() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut stream = CallerStream::open(listener.accept().await.unwrap().0);
    caller.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut head = [0; 18];
    stream.read_exact(&mut head).await.unwrap();
    assert!(!stream.is_closed(), "the caller is connected");
    drop(caller);
    assert!(
        stream.is_closed(),
        "noticed without another turn of the runtime"
    );
}

/// The same for pipelined requests behind the first: none of them starts early.
#[test]
fn pipelined_requests_of_a_disconnected_caller_do_not_start() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let text: String = (0..4)
        .map(|n| request("GET", "/read/a", &format!("r{n}"), ""))
        .collect();
    read_all(&mut send_and_close(&deployment, &text));
    assert!(deployment.call("GET", "/read/a", "last").ends_with("hello"));
    assert_eq!(scripted.count(), 1);
}

/// Guards against a body that is run as a request in another caller's name. The body of an upload
/// contains lines that look like requests. The host reads it in pieces, and a piece may begin with
/// such a line. The target must get one request.
#[test]
fn a_chunk_of_a_body_that_looks_like_a_request_does_not_run() {
    let scripted = ScriptedTarget::healthy("own");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let body: String = (0..100)
        .map(|n| {
            format!(
                "x\r\n\r\n{}",
                request("GET", "/read/a", &format!("false{n}"), "")
            )
        })
        .collect();
    let more = format!("Content-Length: {}\r\nConnection: close\r\n", body.len());
    let text = request("POST", "/once/a", "r1", &more) + &body;
    assert!(read_all(&mut deployment.send(&text)).ends_with("own"));
    let ids: Vec<_> = scripted.heads().iter().map(|h| h.id().to_owned()).collect();
    assert_eq!(ids, ["r1"]);
}

/// Every connection that the host may hold has a running request. Further callers are refused at
/// once with a time to retry, and their requests reach no target. Accepted callers get their
/// responses.
#[test]
fn a_caller_at_a_full_host_is_refused_at_once_with_retry_after() {
    let (scripted, sender) = ScriptedTarget::blocking("own");
    let deployment = Deployment::open_with(small(), config(1), &[&scripted]);
    deployment.store.put(
        "t0",
        Entry::Target(Arc::new(target_with_many_slots(&scripted))),
    );
    deployment.wait_until_ready();
    let max_open = small().connections.max_open as usize;
    let mut served: Vec<_> = (0..max_open / 2)
        .map(|n| {
            let stream = deployment.send(&request("GET", "/read/a", &format!("r{n}"), ""));
            scripted.next();
            stream
        })
        .collect();
    for n in 0..20 {
        let answer = deployment.call("GET", "/read/a", &format!("more{n}"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
    }
    assert_eq!(
        scripted.count(),
        served.len(),
        "refused requests do not run"
    );
    drop(sender);
    for stream in &mut served {
        assert!(first_line(stream).contains("200"));
    }
}

/// Callers send one request each and keep their connections open until the host is near its limit.
/// Further callers are still answered, and the connections that have been idle longest are closed
/// to make room.
#[test]
fn idle_connections_are_closed_when_new_callers_need_their_descriptors() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open_with(small(), config(1), &[&scripted]);
    let metrics = deployment.host.shared().settings.listen.metrics.unwrap();
    let mut streams = Vec::new();
    for n in 0..small().connections.max_open * 3 / 4 {
        let mut stream = deployment.send(&request("GET", "/read/a", &format!("r{n}"), ""));
        assert!(first_line(&mut stream).contains("200"));
        streams.push(stream);
    }
    while !support::get(metrics, "/metrics").contains("edge.idle_closed ") {
        let answer = deployment.call("GET", "/read/a", "more");
        assert!(answer.ends_with("hello"), "{answer}");
    }
    // Returns once the host has closed the connection that has been idle longest.
    assert!(read_all(&mut streams[0]).ends_with("hello"));
}

/// A target that allows more concurrent requests than the host may hold.
fn target_with_many_slots(scripted: &ScriptedTarget) -> Target {
    Target {
        slots: 1000,
        ..support::target("t0", scripted.address())
    }
}

fn first_line(stream: &mut TcpStream) -> String {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
        line.push(byte[0]);
    }
    String::from_utf8_lossy(&line).into_owned()
}
