//! Tests of the command `edge`, as a process between fakes of the platform.

mod support;

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Read},
};

use http::StatusCode;
use support::{
    edge::{Deployment, settings},
    program::program,
};

/// The host's log is not read, so its pipe is full after a few hundred lines. The host must keep
/// serving, and a graceful shutdown must exit with code 0.
#[tokio::test]
async fn an_unread_log_does_not_block_the_host() {
    const PORT: u16 = 17301;
    const REQUESTS: usize = 3000;
    let mut deployment = Deployment::open(PORT);
    deployment.until_serves(PORT, "first").await;
    for n in 0..REQUESTS {
        let id = format!("r{n}");
        let (status, body) = deployment
            .get(PORT, "/read/a", &id)
            .await
            .expect("an answer");
        assert_eq!((status, body), (StatusCode::OK, format!("{id} /read/a")));
        assert_eq!(deployment.ledger.runs(&id), 1);
    }
    deployment.stop();
    assert_eq!(deployment.child.wait().unwrap().code(), Some(0));
}

/// With an invalid value in the settings file the program must not start, and must name the key and
/// a valid example.
#[test]
fn an_invalid_setting_is_reported_with_a_valid_example() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("host.toml");
    let text = settings(17311, "127.0.0.1:9".parse().unwrap()).replace("2s", "two");
    std::fs::write(&path, text).unwrap();
    let out = program(&["edge", "--settings", path.to_str().unwrap()])
        .output()
        .unwrap();
    assert!(!out.status.success());
    let error = String::from_utf8_lossy(&out.stderr);
    assert!(
        error.contains("bounds.grace") && error.contains("as in 1500ms"),
        "{error}"
    );
}

/// Every line of the log must be a JSON object, even if ids and paths contain quotes or
/// backslashes.
#[tokio::test]
async fn every_line_of_the_log_is_an_object_with_its_event() {
    const PORT: u16 = 17321;
    let mut deployment = Deployment::open(PORT);
    deployment.until_serves(PORT, "fi\"rst").await;
    // The line for sending a request that is not idempotent is written at once.
    let once = deployment.get(PORT, "/once/0", "once").await;
    assert_eq!(once.expect("an answer").0, StatusCode::OK);
    deployment
        .get(PORT, "/nowhere/\\", "second")
        .await
        .expect("an answer");
    deployment.stop();
    let mut text = String::new();
    deployment
        .child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    let mut events = BTreeSet::new();
    for line in text.lines() {
        let fields: serde_json::Value = serde_json::from_str(line).expect(line);
        assert!(
            fields["time"].is_number() && fields["text"].is_string(),
            "{line}"
        );
        events.insert(fields["event"].as_str().expect(line).to_owned());
    }
    for event in ["start", "config", "targets", "sent", "answered", "stop"] {
        assert!(events.contains(event), "{event} is missing in {events:?}");
    }
}

/// The settings file is replaced several times without a signal: with another bound, an invalid
/// value, a valid one, and another name. The host must apply what it can, report which settings
/// take effect at the next start, and keep its settings if the file is invalid.
#[tokio::test]
async fn a_changed_settings_file_is_applied_without_a_signal() {
    const PORT: u16 = 17331;
    let mut deployment = Deployment::open(PORT);
    let out = BufReader::new(deployment.child.stdout.take().unwrap());
    let mut lines = out.lines().map(|line| line.expect("the log is text"));
    let mut next = |event: &str| {
        let event = format!("\"event\":\"{event}\"");
        lines.find(|line| line.contains(&event)).expect("a line")
    };
    next("start");
    deployment.edit("grace = \"2s\"", "grace = \"1900ms\"");
    let line = next("reload");
    assert!(line.contains("\"changed\":true"), "{line}");
    assert!(line.contains("\"next_start\":\"\""), "{line}");
    deployment.edit("1900ms", "soon");
    let line = next("reload_failed");
    assert!(line.contains("bounds.grace"), "{line}");
    deployment.edit("soon", "1900ms");
    let line = next("reload");
    assert!(line.contains("\"changed\":false"), "{line}");
    deployment.edit("name = \"h\"", "name = \"g\"");
    let line = next("reload");
    assert!(line.contains("\"next_start\":\"name\""), "{line}");
}
