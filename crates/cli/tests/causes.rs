//! Tests that the cause of a failed request can be found from the host's logs alone.

mod support;

use std::{fs, io::Read, thread::JoinHandle, time::Duration};

use http::StatusCode;
use support::{edge::Deployment, program::run};

/// A host process whose log is collected.
struct LoggedHost {
    deployment: Deployment,
    log: JoinHandle<String>,
    port: u16,
}

impl LoggedHost {
    async fn open(port: u16) -> LoggedHost {
        let mut deployment = Deployment::open(port);
        let mut out = deployment.child.stdout.take().unwrap();
        let log = std::thread::spawn(move || {
            let mut text = String::new();
            out.read_to_string(&mut text).expect("the log is text");
            text
        });
        deployment.until_serves(port, "first").await;
        LoggedHost {
            deployment,
            log,
            port,
        }
    }

    async fn status(&self, path: &str, id: &str) -> StatusCode {
        let answer = self.deployment.get(self.port, path, id).await;
        answer.expect("an answer").0
    }

    /// Stops the host and returns the output of `explain` for each request.
    fn explain(self, ids: &[&str]) -> Vec<String> {
        self.deployment.stop();
        let text = self.log.join().unwrap();
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("host.log");
        fs::write(&path, &text).unwrap();
        let path = path.display().to_string();
        let explain = |id: &&str| {
            let ended = run(&["explain", id, &path]);
            assert_eq!(ended.code, 0, "{}, of:\n{text}", ended.err);
            ended.out
        };
        ids.iter().map(explain).collect()
    }
}

/// A request is refused although targets have free slots, because its target sheds. The log must
/// show that the target had free slots, that it shed the request, and which rule then refused it.
#[tokio::test]
async fn a_refusal_with_free_targets_is_traced_to_the_target_that_sheds() {
    let logged = LoggedHost::open(17401).await;
    logged.deployment.target.set(|rules| rules.sheds_all = true);
    assert_eq!(
        logged.status("/read/a", "r1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let shown = &logged.explain(&["r1"])[0];
    let lines: Vec<&str> = shown.lines().collect();
    assert!(
        lines[0].contains("sent") && lines[0].contains("busy=0"),
        "{shown}"
    );
    assert!(
        lines[0].contains("slots=64") && lines[0].contains("to=t0"),
        "{shown}"
    );
    assert!(lines[1].contains("attempt_failed"), "{shown}");
    assert!(lines[1].contains("not run"), "{shown}");
    assert!(
        lines[2].contains("refused") && lines[2].contains("cause="),
        "{shown}"
    );
}

/// An at-most-once request gets 502, because the target ran it and closed the connection. The log
/// must show that it was sent, to which target, and that its outcome is unknown.
#[tokio::test]
async fn a_lost_response_is_traced_to_the_target_that_closed() {
    let logged = LoggedHost::open(17411).await;
    logged
        .deployment
        .target
        .set(|rules| rules.drops_responses = true);
    assert_eq!(
        logged.status("/once/a", "r1").await,
        StatusCode::BAD_GATEWAY
    );
    assert_eq!(logged.deployment.ledger.runs("r1"), 1);
    let shown = &logged.explain(&["r1"])[0];
    let lines: Vec<&str> = shown.lines().collect();
    assert!(
        lines[0].contains("sent") && lines[0].contains("to=t0"),
        "{shown}"
    );
    assert!(
        lines[1].contains("attempt_failed") && lines[1].contains("arrived=1"),
        "{shown}"
    );
    assert!(
        lines[2].contains("lost") && lines[2].contains("tried=t0"),
        "{shown}"
    );
}

/// A request exceeds its deadline because its target is slow. The log must show that the target had
/// free slots and got the full time, so that neither a queue nor the host caused the delay.
#[tokio::test]
async fn a_timeout_is_traced_to_the_target_that_is_slow() {
    const LEFT: Duration = Duration::from_millis(300);
    let logged = LoggedHost::open(17421).await;
    let slow = Duration::from_secs(30);
    logged.deployment.target.set(|rules| rules.work = slow);
    let answer = logged
        .deployment
        .get_within(logged.port, "/read/a", "r1", LEFT)
        .await;
    assert_eq!(answer.expect("an answer").0, StatusCode::GATEWAY_TIMEOUT);
    let shown = &logged.explain(&["r1"])[0];
    let lines: Vec<&str> = shown.lines().collect();
    assert!(
        lines[0].contains("sent") && lines[0].contains("busy=0"),
        "{shown}"
    );
    assert!(lines[0].contains("rank=0"), "{shown}");
    assert!(
        lines[1].contains("late") && lines[1].contains("tried=t0"),
        "{shown}"
    );
}

/// The request rate far exceeds the budget of log lines for successful requests. All lines of
/// failed requests must still be written, including those of their sends.
#[tokio::test]
async fn a_request_that_failed_keeps_its_lines_when_others_lose_theirs() {
    const REQUESTS: usize = 1200;
    const EACH: usize = 40;
    let logged = LoggedHost::open(17431).await;
    let mut failed = Vec::new();
    for n in 0..REQUESTS {
        let fails = n % EACH == 0;
        logged
            .deployment
            .target
            .set(|rules| rules.drops_responses = fails);
        let id = format!("r{n}");
        let status = logged.status("/once/a", &id).await;
        assert_eq!(status.is_success(), !fails, "{id}: {status}");
        if fails {
            failed.push(id);
        }
    }
    let ids: Vec<&str> = failed.iter().map(String::as_str).collect();
    for (id, shown) in ids.iter().zip(logged.explain(&ids)) {
        let events = ["sent", "attempt_failed", "lost"];
        let told = |event: &&str| !shown.contains(*event);
        let missing: Vec<&&str> = events.iter().filter(|event| told(event)).collect();
        assert!(missing.is_empty(), "{id} lacks {missing:?}: {shown}");
    }
}

/// The rate of requests that are refused before any target is tried far exceeds the budget of log
/// lines. A request that a target shed must keep its lines.
#[tokio::test]
async fn a_flood_of_refusals_leaves_the_lines_of_a_request_that_was_sent() {
    const REFUSALS: usize = 3000;
    let logged = LoggedHost::open(17441).await;
    for n in 0..REFUSALS {
        let status = logged.status("/nowhere", &format!("n{n}")).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    }
    logged.deployment.target.set(|rules| rules.sheds_all = true);
    assert_eq!(
        logged.status("/read/a", "r1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let shown = &logged.explain(&["r1"])[0];
    for event in ["sent", "attempt_failed", "refused"] {
        assert!(shown.contains(event), "{event}: {shown}");
    }
}

/// A caller sends a failed request again under another id. The log must show that both are the same
/// request.
#[tokio::test]
async fn a_repeat_under_another_id_has_the_same_fingerprint() {
    let logged = LoggedHost::open(17481).await;
    logged
        .deployment
        .target
        .set(|rules| rules.drops_responses = true);
    for (path, id) in [("/once/a", "r1"), ("/once/a", "r2"), ("/once/b", "r3")] {
        assert_eq!(logged.status(path, id).await, StatusCode::BAD_GATEWAY);
    }
    let shown = logged.explain(&["r1", "r2", "r3"]);
    let fingerprints: Vec<_> = shown
        .iter()
        .map(|shown| {
            let failed = shown.lines().find(|l| l.contains("attempt_failed"));
            let mut fields = failed.expect("an attempt failed").split_whitespace();
            fields.find_map(|f| f.strip_prefix("fingerprint="))
        })
        .collect();
    assert!(fingerprints[0].is_some(), "{shown:?}");
    assert_eq!(fingerprints[0], fingerprints[1]);
    assert_ne!(fingerprints[0], fingerprints[2]);
}
