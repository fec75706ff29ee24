//! Callers that do not read their responses.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use dunlinrock_edge::settings::Settings;
use socket2::{Domain, Socket, Type};
use support::{Deployment, Head, Script, ScriptedTarget, config, get, request};

/// Length of the large response in bytes, more than the kernel holds for a caller that does not read.
const LARGE: usize = 7_500_000;

/// Settings of a process with 16 MB, of which responses may take 3.2.
fn small() -> Settings {
    let mut settings = support::settings();
    settings.memory = 16_000_000;
    settings
}

fn script(head: &Head) -> Script {
    match head.id() {
        "large" => Script::Write(head.answer(&"x".repeat(LARGE))),
        _ => Script::Write(head.answer("run")),
    }
}

/// Opens a connection that buffers little.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.connect(&address.into()).expect("the host listens");
    socket.into()
}

/// Guards against a caller whose unread response holds the memory that others need: meanwhile they
/// are told at once that they have not run, then the slow caller's connection is closed.
#[test]
fn a_caller_that_does_not_read_is_closed_when_memory_is_short() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open_with(small(), config(1), &[&scripted]);
    let mut slow = connect(deployment.callers());
    let text = request("POST", "/once/a", "large", "");
    slow.write_all(text.as_bytes()).expect("the host reads");
    let mut first = [0; 16];
    slow.read_exact(&mut first).expect("the response begins");
    let mut refused = 0;
    let answer = loop {
        let answer = deployment.call("POST", "/once/a", &format!("r{refused}"));
        if !answer.starts_with("HTTP/1.1 503") {
            break answer;
        }
        refused += 1;
        std::thread::sleep(std::time::Duration::from_millis(50));
    };
    assert!(answer.ends_with("run"), "{answer}");
    assert!(refused > 0, "the memory was short");
    assert_eq!(scripted.count(), 2, "what was refused has not run");
    let mut rest = Vec::new();
    let _ = slow.read_to_end(&mut rest);
    assert!(rest.len() < LARGE, "the slow caller was closed");
    let metrics = deployment.host.shared().settings.listen.metrics;
    let metrics = get(metrics.expect("the settings name one"), "/metrics");
    assert!(metrics.contains("edge.slow_closed"), "{metrics}");
}

/// A slow caller keeps its connection while the memory suffices for all.
#[test]
fn a_caller_that_reads_late_gets_its_whole_response() {
    let scripted = ScriptedTarget::open(script);
    let deployment = Deployment::open(config(1), &[&scripted]);
    let mut slow = connect(deployment.callers());
    let text = request("POST", "/once/a", "large", "Connection: close\r\n");
    slow.write_all(text.as_bytes()).expect("the host reads");
    std::thread::sleep(std::time::Duration::from_secs(3));
    assert!(support::read_all(&mut slow).len() > LARGE);
}
