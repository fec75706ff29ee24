//! Lookups, readiness, metrics and dumps.

mod support;

use std::sync::Arc;

use dunlinrock_edge::{
    model::{Entry, HostEntry},
    settings,
};
use support::{Deployment, ScriptedTarget, config, get, host_entry};

#[test]
fn lookups_return_the_hosts_of_the_callers_region() {
    let scripted = ScriptedTarget::healthy("x");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let remote = HostEntry {
        domain: "south-1".into(),
        callers: "127.0.0.3:3".parse().unwrap(),
        ..host_entry("far", 1)
    };
    deployment.store.put("far", Entry::Host(Arc::new(remote)));
    deployment.wait_until_ready();
    let listen = deployment.host.shared().settings.listen.clone();
    let south = get(listen.lookup, "/hosts?region=south");
    assert!(south.ends_with("127.0.0.3:3"), "{south}");
    let north = get(listen.lookup, "/hosts?region=north");
    assert!(north.ends_with(&listen.callers.to_string()), "{north}");
    let unknown = get(listen.lookup, "/hosts?region=east");
    assert!(
        unknown.contains("127.0.0.3:3"),
        "all hosts, since the region has none: {unknown}"
    );
    assert!(get(listen.lookup, "/hosts").starts_with("HTTP/1.1 400"));
}

/// A reload moves a failure domain to another region on a running host, and lookups follow.
#[test]
fn reloaded_settings_apply_without_a_restart() {
    let scripted = ScriptedTarget::healthy("x");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let remote = HostEntry {
        domain: "south-1".into(),
        callers: "127.0.0.3:3".parse().unwrap(),
        ..host_entry("far", 1)
    };
    deployment.store.put("far", Entry::Host(Arc::new(remote)));
    deployment.wait_until_ready();
    let shared = deployment.host.shared();
    let lookup = shared.settings.listen.lookup;
    let mut settings = shared.settings.clone();
    let domains = &mut settings.reloadable.domains;
    domains.insert("south-1".into(), "west".into());
    shared.reload(settings);
    let west = get(lookup, "/hosts?region=west");
    assert!(west.ends_with("127.0.0.3:3"), "{west}");
}

/// Load: a host with much more processor and link than the others of its region. It is named at each
/// lookup, and of the small ones only as many as make three.
#[test]
fn a_lookup_names_small_hosts_less_often() {
    let scripted = ScriptedTarget::healthy("x");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let south = |n: u16, power, link| HostEntry {
        domain: "south-1".into(),
        callers: ([127, 0, 0, 3], n).into(),
        power,
        link,
        ..host_entry(&format!("south-{n}"), 1)
    };
    let hosts = (1..8).map(|n| south(n, 10, 10)).chain([south(9, 50, 200)]);
    for host in hosts {
        let name = Arc::clone(&host.name);
        deployment.store.put(&name, Entry::Host(Arc::new(host)));
    }
    deployment.wait_until_ready();
    let lookup = deployment.host.shared().settings.listen.lookup;
    for _ in 0..20 {
        let named = get(lookup, "/hosts?region=south");
        assert!(named.contains("127.0.0.3:9"), "{named}");
        assert!(
            (3..=4).contains(&named.matches("127.0.0.3:").count()),
            "{named}"
        );
    }
}

/// A host is not ready from the start of its shutdown, and lookups no longer list it.
#[test]
fn a_host_that_shuts_down_is_neither_ready_nor_listed() {
    let scripted = ScriptedTarget::healthy("x");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let listen = deployment.host.shared().settings.listen.clone();
    let ready = listen.ready.unwrap();
    assert!(get(ready, "/ready").starts_with("HTTP/1.1 200"));
    deployment.host.start_shutdown();
    assert!(get(ready, "/ready").starts_with("HTTP/1.1 503"));
    assert!(get(listen.lookup, "/hosts?region=north").starts_with("HTTP/1.1 503"));
}

#[test]
fn metrics_and_the_dump_are_served_as_text() {
    let scripted = ScriptedTarget::healthy("x");
    let deployment = Deployment::open(config(7), &[&scripted]);
    deployment.call("GET", "/read/a", "r1");
    let listen = deployment.host.shared().settings.listen.clone();
    let metrics = get(listen.metrics.unwrap(), "/metrics");
    assert!(
        metrics.contains("dunlinrock.edge.answered 1\n"),
        "{metrics}"
    );
    assert!(metrics.contains("dunlinrock.edge.time.p50 "), "{metrics}");
    let dump = get(listen.peers, "/peer/v1/dump");
    assert!(dump.contains(r#""version":7"#), "{dump}");
}

#[test]
fn all_errors_of_a_settings_file_are_reported_together() {
    let text = r#"
        name = "h1"
        region = "north"
        domain = "nowhere"
        domains = {}
        listen = { callers = "x", lookup = "127.0.0.1:1", peers = "127.0.0.1:2" }
        store = { address = "127.0.0.1" }
        bounds = { grace = "6 minutes", retry_ratio = -1.0, load_period = "2s" }
    "#;
    let error = settings::parse(text).unwrap_err().to_string();
    for key in [
        "listen.callers",
        "store.address",
        "bounds.grace",
        "bounds.retry_ratio",
        "bounds.load_period",
        "domain:",
    ] {
        assert!(error.contains(key), "{key} is missing in: {error}");
    }
}
