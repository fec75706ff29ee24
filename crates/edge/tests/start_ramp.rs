//! A target that starts beside others, at a host whose settings ask for a ramp.

mod support;

use std::{sync::Arc, time::Duration};

use dunlinrock_edge::model::{Entry, Target};
use support::{Deployment, ScriptedTarget, config, settings, target, wait_until};

/// Requests of one round, to two targets alike.
const REQUESTS: usize = 120;

fn open(start_ramp: Option<Duration>) -> (Deployment, [ScriptedTarget; 2]) {
    let targets = [
        ScriptedTarget::healthy("old"),
        ScriptedTarget::healthy("new"),
    ];
    let mut settings = settings();
    settings.reloadable.start_ramp = start_ramp;
    let deployment = Deployment::open_with(settings, config(1), &[&targets[0]]);
    play(&deployment);
    let new = Target {
        born: 7,
        ..target("t1", targets[1].address())
    };
    deployment.store.put("t1", Entry::Target(Arc::new(new)));
    deployment.wait_until_ready();
    (deployment, targets)
}

fn play(deployment: &Deployment) {
    for n in 0..REQUESTS {
        let answer = deployment.call("GET", "/read/a", &format!("r{n}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

fn has_metric(deployment: &Deployment, line: &str) -> bool {
    deployment.host.shared().meters.text().contains(line)
}

/// Guards against a target that gets all its requests at once, or none, when it starts. The ramp is
/// so long that it does not get on while the test runs, however slowly.
#[test]
fn a_target_that_starts_gets_some_requests() {
    let (deployment, [_, new]) = open(Some(Duration::from_secs(3600)));
    let mut played = 0;
    while new.count() == 0 {
        play(&deployment);
        played += REQUESTS;
    }
    let metrics = deployment.host.shared().meters.text();
    let started: Vec<_> = metrics
        .lines()
        .filter(|l| l.contains("start_") || l.contains("set_aside"))
        .collect();
    assert!(
        new.count() < played / 4,
        "{} of {played}: {started:?}",
        new.count()
    );
}

/// Guards against a target that never gets all its requests.
#[test]
fn a_target_whose_ramp_is_over_gets_all_its_requests() {
    let (deployment, [_, new]) = open(Some(Duration::from_millis(500)));
    wait_until(|| {
        play(&deployment);
        has_metric(&deployment, "start_ramps_ended 1")
    });
    let before = new.count();
    play(&deployment);
    assert!(new.count() - before > REQUESTS / 4);
}

/// Guards against deployments that name no ramp and are served otherwise than before.
#[test]
fn without_the_setting_a_target_gets_all_its_requests() {
    let (deployment, [_, new]) = open(None);
    play(&deployment);
    assert!(new.count() > REQUESTS / 4, "{}", new.count());
    assert!(!has_metric(&deployment, "start_ramps"));
}
