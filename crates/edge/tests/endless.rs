//! Targets that send bytes without end, until the host closes the connection.

mod support;

use std::{
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

use rstest::rstest;
use support::{Deployment, Script, ScriptedTarget, config, request};

/// What the host may take of a head: 64 KiB, and what the kernel holds beside.
const HEAD: usize = 2 << 20;

/// What the host may take of a response: 8 MiB, and as much again for framing and for what the kernel
/// holds.
const WHOLE: usize = 24 << 20;

/// Begin of a response with the request's id.
const BEGIN: &str = "HTTP/1.1 200 OK\r\nId: bad\r\nStamp: s\r\n";

/// Starts a target that answers `/read/bad` and `/once/bad` without end, and all else with `run`.
/// The receiver gets how many bytes each such connection took.
fn endless(begin: &str, again: &str) -> (ScriptedTarget, Receiver<usize>) {
    let (begin, again) = (begin.to_owned(), again.to_owned());
    let (sender, taken) = channel();
    let scripted = ScriptedTarget::open(move |head| match head.id() {
        "bad" => Script::Endless(begin.clone(), again.clone(), sender.clone()),
        _ => Script::Write(head.answer("run")),
    });
    (scripted, taken)
}

/// Sends a request that may run once only, and others beside it; returns its response, and how many
/// bytes its target's connection took.
fn call_beside_others(begin: &str, again: &str) -> (String, usize) {
    let (scripted, taken) = endless(begin, again);
    let deployment = Deployment::open(config(1), &[&scripted]);
    let more = "Connection: close\r\n";
    let mut bad = deployment.send(&request("POST", "/once/bad", "bad", more));
    for n in 0..8 {
        let answer = deployment.call("GET", "/read/a", &format!("r{n}"));
        assert!(answer.ends_with("run"), "served beside it: {answer}");
    }
    let answer = support::read_all(&mut bad);
    let taken = taken.recv_timeout(Duration::from_secs(10));
    (answer, taken.expect("the host closes the connection"))
}

/// Guards against a head without end, which is buffered or skipped for as long as it lasts.
#[rstest]
#[case::one_line("HTTP/1.1 200 OK\r\nLong: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx")]
#[case::header_lines(BEGIN, "More: xxxxxxxxxxxxxxxxxxxxxxxxx\r\n")]
#[case::no_answer("", "these bytes are no answer")]
#[case::blank_lines("", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n")]
#[case::interim_responses("", "HTTP/1.1 102 Processing\r\n\r\n")]
fn a_head_without_end_is_given_up(#[case] begin: &str, #[case] again: &str) {
    let (answer, taken) = call_beside_others(begin, again);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(taken <= HEAD, "{taken} bytes taken");
}

/// Guards against a body without end, or framing without end in place of one.
#[rstest]
#[case::no_length("\r\n", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx")]
#[case::huge_length(
    "Content-Length: 99999999999\r\n\r\n",
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
)]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n")]
#[case::chunk_extensions(
    "Transfer-Encoding: chunked\r\n\r\n4;",
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
)]
#[case::trailers(
    "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "More: xxxxxxxxxxxxxxxxxxxxxxxxx\r\n"
)]
fn a_body_without_end_is_given_up(#[case] framing: &str, #[case] again: &str) {
    let begin = format!("{BEGIN}{framing}");
    let (answer, taken) = call_beside_others(&begin, again);
    assert!(
        answer.starts_with("HTTP/1.1 502"),
        "{}",
        &answer[..answer.len().min(200)]
    );
    assert!(taken <= WHOLE, "{taken} bytes taken");
}

/// Guards against bytes without end behind a complete answer: that is passed on, and its connection
/// is closed.
#[test]
fn bytes_without_end_after_an_answer_close_its_connection() {
    let begin = format!("{BEGIN}Content-Length: 3\r\n\r\nrun");
    let (answer, taken) = call_beside_others(&begin, "and more ");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nrun"), "{answer}");
    assert!(taken <= HEAD, "{taken} bytes taken");
}

/// A request that may be repeated is answered by another target, whatever the first one sends.
#[rstest]
#[case::head("", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::body(
    "HTTP/1.1 200 OK\r\nId: bad\r\nStamp: s\r\n\r\n",
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
)]
fn a_repeatable_request_goes_to_another_target(#[case] begin: &str, #[case] again: &str) {
    let (scripted, taken) = endless(begin, again);
    let other = ScriptedTarget::healthy("other");
    let deployment = Deployment::open(config(1), &[&scripted, &other]);
    for n in 0..8 {
        let more = format!("Object: o{n}\r\nConnection: close\r\n");
        let text = request("GET", "/read/bad", "bad", &more);
        let answer = support::read_all(&mut deployment.send(&text));
        assert!(
            answer.ends_with("other"),
            "{}",
            &answer[..answer.len().min(200)]
        );
    }
    let taken = taken.recv_timeout(Duration::from_secs(10));
    assert!(taken.expect("one went to the first target") <= WHOLE);
}
