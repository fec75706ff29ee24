//! Tests of `explain`: tracing a request by its id through the logs of several hosts.

mod support;

use std::{fs, path::PathBuf};

use support::program::run;

/// Writes a log file with these lines and returns its path.
fn log(dir: &tempfile::TempDir, name: &str, lines: &[&str]) -> String {
    let path: PathBuf = dir.path().join(name);
    fs::write(&path, lines.join("\n")).unwrap();
    path.display().to_string()
}

/// A request was refused by one host and sent by another. Their logs are read together, and the
/// last line of one of them is truncated.
#[test]
fn a_request_is_followed_through_the_logs_of_several_hosts_in_order_of_time() {
    let dir = tempfile::tempdir().unwrap();
    let a = log(
        &dir,
        "a.log",
        &[
            r#"{"time":10.5,"event":"answered","id":"r1","cause":"200","status":200}"#,
            r#"{"time":10.1,"event":"sent","id":"r1","to":"t7","busy":3}"#,
            r#"{"time":10.1,"event":"sent","id":"r2","to":"t8"}"#,
            r#"{"time":10.2,"event":"dropped","lines":4}"#,
            r#"{"time":10.3,"event":"answe"#,
        ],
    );
    let b = log(
        &dir,
        "b.log",
        &[r#"host-b {"time":10.0,"event":"refused","id":"r1","cause":"t7 has 12 for 4 slots"}"#],
    );
    let out = run(&["explain", "r1", &a, &b]);
    assert_eq!(out.code, 0, "{}", out.err);
    let lines: Vec<&str> = out.out.lines().collect();
    assert!(lines[0].contains("0 ms  host-b  refused"), "{}", out.out);
    assert!(
        lines[0].contains("cause=t7 has 12 for 4 slots"),
        "{}",
        out.out
    );
    assert!(
        lines[1].contains("100 ms") && lines[1].contains("to=t7"),
        "{}",
        out.out
    );
    assert!(lines[2].contains("answered"), "{}", out.out);
    assert!(
        lines[3].starts_with("1 lines could not be read"),
        "{}",
        out.out
    );
    assert!(lines[4].starts_with("4 lines were left out"), "{}", out.out);
    assert!(
        !out.out.contains("t8"),
        "another request's line: {}",
        out.out
    );
}

/// The line of a request's send was written only when the request had failed. It must be shown at
/// the time of the send, before the events that followed.
#[test]
fn a_delayed_line_is_shown_at_the_time_of_its_event() {
    let dir = tempfile::tempdir().unwrap();
    let a = log(
        &dir,
        "a.log",
        &[
            r#"{"time":10.2,"event":"attempt_failed","id":"r1","cause":"reset"}"#,
            r#"{"time":10.9,"event":"sent","id":"r1","to":"t7","held_ms":900}"#,
            r#"{"time":10.9,"event":"lost","id":"r1","status":502}"#,
        ],
    );
    let out = run(&["explain", "r1", &a]);
    let lines: Vec<&str> = out.out.lines().collect();
    assert!(
        lines[0].contains("0 ms") && lines[0].contains("to=t7"),
        "{}",
        out.out
    );
    assert!(lines[1].contains("200 ms"), "{}", out.out);
    assert!(!out.out.contains("held_ms"), "{}", out.out);
}

#[test]
fn a_request_without_log_lines_is_reported() {
    let dir = tempfile::tempdir().unwrap();
    let a = log(&dir, "a.log", &[r#"{"time":1.0,"event":"sent","id":"r2"}"#]);
    let out = run(&["explain", "r1", &a]);
    assert_eq!(out.code, 1);
    assert!(
        out.err
            .contains("no line names request r1; 1 lines were read"),
        "{}",
        out.err
    );
}

#[test]
fn a_missing_log_is_named() {
    let out = run(&["explain", "r1", "/nowhere/a.log"]);
    assert_ne!(out.code, 0);
    assert!(out.err.contains("/nowhere/a.log"), "{}", out.err);
}

/// A request was refused because an earlier one with the same fingerprint crashed targets. The lines
/// that say so name neither its id nor its host.
#[test]
fn a_refused_request_is_followed_to_the_crashes_under_its_fingerprint() {
    let dir = tempfile::tempdir().unwrap();
    let a = log(
        &dir,
        "a.log",
        &[
            r#"{"time":9.0,"of":"belief","event":"suspected","fingerprint":"0a","to":"t1","runs":1}"#,
            r#"{"time":9.5,"of":"belief","event":"quarantined","fingerprint":"0a","to":"t2","runs":1}"#,
            r#"{"time":9.6,"of":"belief","event":"suspected","fingerprint":"0b","to":"t3","runs":1}"#,
        ],
    );
    let b = log(
        &dir,
        "b.log",
        &[r#"{"time":10.0,"of":"request","event":"refused","id":"r1","fingerprint":"0a"}"#],
    );
    let out = run(&["explain", "r1", &a, &b]);
    assert_eq!(out.code, 0, "{}", out.err);
    let events: Vec<_> = ["to=t1", "to=t2", "refused"]
        .map(|part| out.out.lines().position(|line| line.contains(part)))
        .into();
    assert_eq!(events, [Some(0), Some(1), Some(2)], "{}", out.out);
    assert!(!out.out.contains("t3"), "{}", out.out);
}

/// A request got no answer from a target that had told its host, before, that it is leaving; what
/// the target told other hosts, or later, or for a time that was over, explains nothing.
#[test]
fn a_request_is_followed_to_what_its_target_said_before() {
    let dir = tempfile::tempdir().unwrap();
    let a = log(
        &dir,
        "a.log",
        &[
            r#"{"time":1.0,"of":"belief","event":"target_leaving","to":"t1"}"#,
            r#"{"time":2.0,"of":"belief","event":"target_backoff","to":"t1","time_ms":3000}"#,
            r#"{"time":9.0,"of":"belief","event":"target_backoff","to":"t1","time_ms":2500}"#,
            r#"{"time":9.1,"of":"belief","event":"target_leaving","to":"t2"}"#,
            r#"{"time":10.0,"of":"request","event":"sent","id":"r1","to":"t1"}"#,
            r#"{"time":10.5,"of":"belief","event":"target_backoff","to":"t1","time_ms":400}"#,
        ],
    );
    let b = log(
        &dir,
        "b.log",
        &[r#"{"time":9.5,"of":"belief","event":"target_leaving","to":"t1"}"#],
    );
    let out = run(&["explain", "r1", &a, &b]);
    assert_eq!(out.code, 0, "{}", out.err);
    let lines: Vec<_> = out.out.lines().collect();
    assert_eq!(lines.len(), 3, "{}", out.out);
    assert!(lines[0].contains("target_leaving"), "{}", out.out);
    assert!(lines[1].contains("time_ms=2500"), "{}", out.out);
    assert!(lines[2].contains("sent"), "{}", out.out);
}
