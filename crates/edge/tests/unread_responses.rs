//! Responses that are written and not yet read by their callers.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use dunlinrock_decide::admit::direct::ConnectionLimits;
use dunlinrock_edge::settings::Settings;
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::{Deployment, Head, Script, ScriptedTarget, config, get, read_all, request};

/// Length of a response in bytes that the kernel does not hold for a caller that does not read.
const HUGE: usize = 1_000_000;

/// Length of a response in bytes that the kernel holds, but not in the caller's receive buffer.
const LARGE: usize = 40_000;

/// Callers of one host that read slowly.
const CALLERS: usize = 200;

fn script(head: &Head) -> Script {
    Script::Write(match head.id() {
        "huge" => head.answer(&"x".repeat(HUGE)),
        "large" => head.answer(&"x".repeat(LARGE)),
        _ => head.answer("run"),
    })
}

/// Opens a connection that buffers little, like that of a caller behind a slow link.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.set_tcp_mss(1460).expect("an Ethernet's segments");
    socket.connect(&address.into()).expect("the host listens");
    socket.into()
}

/// Sends a request on a connection that buffers little, and reads the first bytes of the response.
fn begin(deployment: &Deployment, id: &str, more: &str) -> TcpStream {
    let mut stream = connect(deployment.callers());
    let text = request("GET", "/read/a", id, more);
    stream.write_all(text.as_bytes()).expect("the host reads");
    let mut first = [0; 12];
    stream.read_exact(&mut first).expect("the response begins");
    assert_eq!(&first, b"HTTP/1.1 200");
    stream
}

/// Reads the rest of a response that began, and returns how many bytes came.
fn rest(stream: &mut TcpStream, length: usize) -> usize {
    let mut rest = Vec::new();
    let mut part = stream.take(length as u64);
    let _ = part.read_to_end(&mut rest);
    rest.len()
}

/// Waits until a stopping host refuses new requests, and for as long again as a host without work
/// then takes to end.
fn wait_until_idle_host_would_end(deployment: &Deployment) {
    while let Ok(mut probe) = TcpStream::connect(deployment.callers()) {
        let text = request("GET", "/read/a", "probe", "Connection: close\r\n");
        let _ = probe.write_all(text.as_bytes());
        if !read_all(&mut probe).starts_with("HTTP/1.1 200") {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(300));
}

fn settings_with_grace(seconds: u64) -> Settings {
    let mut settings = support::settings();
    settings.reloadable.grace = Duration::from_secs(seconds);
    settings
}

/// Guards against a stopping host that ends once its requests are computed, and drops what their
/// callers have not read.
#[rstest]
#[case::held_by_the_host("huge", HUGE, "")]
#[case::held_by_the_kernel("large", LARGE, "")]
#[case::closing("huge", HUGE, "Connection: close\r\n")]
fn a_stopping_host_waits_for_callers_that_still_read(
    #[case] id: &str,
    #[case] length: usize,
    #[case] more: &str,
) {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(settings_with_grace(8), config(1), &[&scripted]);
    let mut slow = begin(&deployment, id, more);
    deployment.host.start_shutdown();
    wait_until_idle_host_would_end(&deployment);
    assert!(rest(&mut slow, length) >= length, "the response is whole");
    deployment.host.join().expect("the host ends");
}

/// Guards against a stopping host that is held by callers that have received all, or that waits for
/// more than the slowest of many.
#[test]
fn a_stopping_host_ends_once_the_last_of_many_callers_has_read() {
    let scripted = ScriptedTarget::open(script);
    let grace = 20;
    let mut settings = settings_with_grace(grace);
    settings.memory = 1 << 30;
    let deployment = Deployment::open_with(settings, config(1), &[&scripted]);
    let mut slow: Vec<_> = (0..CALLERS)
        .map(|_| begin(&deployment, "large", ""))
        .collect();
    let start = Instant::now();
    deployment.host.start_shutdown();
    wait_until_idle_host_would_end(&deployment);
    for stream in &mut slow {
        assert!(rest(stream, LARGE) >= LARGE, "the response is whole");
    }
    deployment.host.join().expect("the host ends");
    assert!(start.elapsed() < Duration::from_secs(grace).mul_f64(0.9));
}

/// Guards against a caller that never reads and holds a stopping host beyond its grace period.
#[test]
fn a_caller_that_never_reads_does_not_hold_a_stopping_host_beyond_its_grace_period() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(settings_with_grace(2), config(1), &[&scripted]);
    let _huge = begin(&deployment, "huge", "");
    let _large = begin(&deployment, "large", "Connection: close\r\n");
    let start = Instant::now();
    deployment.host.start_shutdown();
    deployment.host.join().expect("the host ends");
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against a reset that overtakes responses: the host closes behind its last response, and
/// the caller sends on before it has read them.
#[rstest]
#[case::asked_by_the_caller("Connection: close\r\n", false)]
#[case::at_a_stop("", true)]
fn responses_survive_requests_sent_behind_the_last(#[case] more: &str, #[case] stops: bool) {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(settings_with_grace(8), config(1), &[&scripted]);
    let mut slow = begin(&deployment, "large", "");
    if stops {
        deployment.host.start_shutdown();
        // From then on the host closes connections behind the next response.
        std::thread::sleep(Duration::from_millis(1200));
    }
    let last = request("GET", "/read/a", "last", more);
    slow.write_all(last.as_bytes()).expect("the host reads");
    for n in 0..4 {
        std::thread::sleep(Duration::from_millis(300));
        let behind = request("GET", "/read/a", &format!("behind{n}"), "");
        slow.write_all(behind.as_bytes()).expect("the host reads");
    }
    let text = read_all(&mut slow);
    assert!(text.len() > LARGE, "{} bytes", text.len());
    assert!(text.ends_with("run"), "the last response is whole");
    let heads = scripted.heads();
    let behind = heads.iter().filter(|head| head.id().starts_with("behind"));
    assert_eq!(behind.count(), 0, "what is not answered has not run");
}

/// Guards against a response that is lost because its caller is still sending the body that the host
/// has refused.
#[test]
fn a_caller_that_sends_a_refused_body_gets_the_refusal() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open(config(1), &[&scripted]);
    let text = request("POST", "/once/a", "r1", "Content-Length: 10000000\r\n");
    let mut stream = deployment.send(&text);
    for _ in 0..20 {
        let sent = stream.write_all(&[b'x'; 50_000]);
        sent.expect("the connection stays open while the caller sends");
        std::thread::sleep(Duration::from_millis(50));
    }
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against a connection that counts as idle while its caller still reads a response.
#[rstest]
#[case::held_by_the_host("huge", HUGE)]
#[case::held_by_the_kernel("large", LARGE)]
fn a_caller_that_reads_for_longer_than_the_idle_limit_gets_all(
    #[case] id: &str,
    #[case] length: usize,
) {
    let scripted = ScriptedTarget::open(script);
    let mut config = config(1);
    config.limits.idle = Duration::from_millis(500);
    let deployment = Deployment::open(config, &[&scripted]);
    let mut slow = begin(&deployment, id, "");
    let mut read = 0;
    for _ in 0..25 {
        read += rest(&mut slow, length / 50);
        std::thread::sleep(Duration::from_millis(200));
    }
    let next = request("GET", "/read/a", "next", "");
    slow.write_all(next.as_bytes()).expect("the host reads");
    read += rest(&mut slow, length - read);
    assert!(read >= length, "{read} bytes");
}

/// Guards against a caller that never reads and keeps its connection without end.
#[rstest]
#[case::held_by_the_host("huge", "")]
#[case::held_by_the_kernel("large", "")]
#[case::closing("large", "Connection: close\r\n")]
fn a_caller_that_never_reads_is_closed_after_the_idle_limit(#[case] id: &str, #[case] more: &str) {
    let scripted = ScriptedTarget::open(script);
    let mut config = config(1);
    config.limits.idle = Duration::from_millis(500);
    let deployment = Deployment::open(config, &[&scripted]);
    let _slow = begin(&deployment, id, more);
    wait_for_metric(&deployment, "edge.callers_open 1\n");
    wait_for_metric(&deployment, "edge.callers_open 0\n");
}

/// Settings of a process with 256 file descriptors: 136 connections of callers and to targets.
fn few_connections() -> Settings {
    let mut settings = support::settings();
    settings.connections = ConnectionLimits::for_descriptors(256);
    settings
}

/// Guards against a connection that is closed for a new one while its caller still reads, though
/// idle ones are open.
#[test]
fn idle_connections_make_room_before_those_of_callers_that_read() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(few_connections(), config(1), &[&scripted]);
    let mut slow = begin(&deployment, "large", "");
    let mut idle: Vec<_> = (0..few_connections().connections.max_open * 3 / 4)
        .map(|n| {
            rest(&mut slow, 20);
            begin(&deployment, &format!("r{n}"), "")
        })
        .collect();
    let metrics = metrics_address(&deployment);
    while !get(metrics, "/metrics").contains("edge.idle_closed ") {
        std::thread::sleep(Duration::from_millis(20));
        rest(&mut slow, 100);
        let answer = deployment.call("GET", "/read/a", "more");
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    }
    assert!(read_all(&mut idle[0]).ends_with("run"), "the longest idle");
    let last = request("GET", "/read/a", "last", "Connection: close\r\n");
    slow.write_all(last.as_bytes()).expect("the host reads");
    let text = read_all(&mut slow);
    assert!(text.ends_with("run"), "all responses: {}", text.len());
}

/// Guards against callers that never read and hold the descriptors that others need.
#[test]
fn callers_that_never_read_make_room_for_others() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(few_connections(), config(1), &[&scripted]);
    let _slow: Vec<_> = (0..few_connections().connections.max_open * 4 / 5)
        .map(|_| begin(&deployment, "large", ""))
        .collect();
    while !get(metrics_address(&deployment), "/metrics").contains("edge.slow_closed ") {
        deployment.call("GET", "/read/a", "more");
        std::thread::sleep(Duration::from_millis(20));
    }
    let answer = deployment.call("GET", "/read/a", "more");
    assert!(answer.ends_with("run"), "{answer}");
}

/// Guards against a caller that reads a few bytes at a time past its deadline, and holds the memory
/// that others need.
#[test]
fn a_caller_past_its_deadline_makes_room_although_it_reads() {
    let scripted = ScriptedTarget::open(|head| {
        Script::Write(match head.id() {
            "huge" => head.answer(&"x".repeat(7 * HUGE)),
            _ => head.answer("run"),
        })
    });
    let mut settings = support::settings();
    settings.memory = 16_000_000;
    let deployment = Deployment::open_with(settings, config(1), &[&scripted]);
    let mut slow = connect(deployment.callers());
    let text = request("GET", "/read/a", "huge", "").replace("Left: 20000", "Left: 3000");
    slow.write_all(text.as_bytes()).expect("the host reads");
    let mut refused = 0;
    rest(&mut slow, 100);
    while !deployment.call("GET", "/read/a", "more").ends_with("run") {
        refused += 1;
        rest(&mut slow, 4000);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(refused > 0, "the memory was short");
    assert!(
        read_all(&mut slow).len() < 7 * HUGE,
        "the slow one was closed"
    );
}

fn metrics_address(deployment: &Deployment) -> SocketAddr {
    let listen = &deployment.host.shared().settings.listen;
    listen.metrics.expect("the settings name one")
}

/// Waits for a line of the metrics while callers come and go.
fn wait_for_metric(deployment: &Deployment, line: &str) {
    while !get(metrics_address(deployment), "/metrics").contains(line) {
        std::thread::sleep(Duration::from_millis(20));
    }
}
