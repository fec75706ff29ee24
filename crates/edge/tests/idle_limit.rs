//! Targets that forget idle connections long before the time that they state.

mod support;

use std::{thread, time::Duration};

use support::{Deployment, Head, Script, ScriptedTarget, config, count_matches, get, request};

/// Time after which the targets forget a connection.
const FORGOTTEN: Duration = Duration::from_millis(300);

/// Pause after which every kept connection is forgotten.
const PAUSE: Duration = Duration::from_millis(500);

fn script(head: &Head) -> Script {
    match head.rest > FORGOTTEN {
        true => Script::Reset,
        false => Script::Write(head.answer_with(
            "200 OK",
            "Stamp: s\r\nKeep-Alive: timeout=9\r\n",
            "run",
        )),
    }
}

/// Sends a request that may run once only for each of many objects; returns how many were answered
/// and how many lost.
fn send_all(deployment: &Deployment, round: u32) -> (usize, usize) {
    let answers: String = (0..24)
        .map(|n| {
            let id = format!("r{round}-{n}");
            let more = format!("Object: o{n}\r\nConnection: close\r\n");
            let text = request("POST", "/once/a", &id, &more);
            support::read_all(&mut deployment.send(&text))
        })
        .collect();
    let answered = count_matches(&answers, "HTTP/1.1 200");
    (answered, count_matches(&answers, "HTTP/1.1 502"))
}

/// Guards against requests that may run once only and are lost because they were sent on
/// connections that the targets had forgotten: only the first few are, whatever the targets' number.
#[test]
fn few_requests_are_lost_on_forgotten_connections() {
    let targets: Vec<_> = (0..8).map(|_| ScriptedTarget::open(script)).collect();
    let all: Vec<_> = targets.iter().collect();
    let deployment = Deployment::open(config(1), &all);
    assert_eq!(send_all(&deployment, 0), (24, 0));
    let mut lost = 0;
    for round in 1..4 {
        thread::sleep(PAUSE);
        let (answered, failed) = send_all(&deployment, round);
        assert_eq!(answered + failed, 24, "round {round}");
        lost += failed;
    }
    assert!((1..=3).contains(&lost), "{lost} lost of 72");
    let metrics = deployment.host.shared().settings.listen.metrics;
    let metrics = get(metrics.expect("the settings name one"), "/metrics");
    assert!(metrics.contains("edge.idle_limited"), "{metrics}");
}
