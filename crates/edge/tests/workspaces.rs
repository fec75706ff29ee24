//! Authentication of callers: keys, workspaces, the headers that targets receive, and allowed
//! regions.

mod support;

use std::{collections::BTreeSet, io::Write, sync::Arc, time::Duration};

use dunlinrock_edge::model::{Config, Entry, KeyDigest, Route, Target, Workspace};
use rstest::rstest;
use support::{
    Deployment, ScriptedTarget, config, get, read_all, request, settings, target, wait_until,
};

/// A key that must appear in no output.
const KEY: &str = "planted-key-5b1c";

fn workspace(name: &str, keys: &[&str]) -> Arc<Workspace> {
    Arc::new(Workspace {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        rate: 0.0,
        burst: 0.0,
        rank: None,
        homes: BTreeSet::new(),
    })
}

/// Returns a configuration with two workspaces; requests under `/once/` need no key.
fn config_with_workspaces(version: u64) -> Config {
    let mut config = config(version);
    config.workspaces = vec![
        workspace("club", &[KEY, "second"]),
        workspace("desk", &["third"]),
    ];
    config.routes[1] = Arc::new(Route {
        open: true,
        ..Route::clone(&config.routes[1])
    });
    config
}

fn call(deployment: &Deployment, path: &str, more: &str) -> String {
    let more = format!("{more}Connection: close\r\n");
    read_all(&mut deployment.send(&request("GET", path, "r1", &more)))
}

fn homes(regions: &[&str]) -> BTreeSet<Arc<str>> {
    regions.iter().map(|r| Arc::from(*r)).collect()
}

#[rstest]
#[case::known(
    "/read/",
    "Authorization: Key planted-key-5b1c\r\n",
    "200",
    Some("club")
)]
#[case::another("/read/", "Authorization: Key third\r\n", "200", Some("desk"))]
#[case::none("/read/", "", "401", None)]
#[case::unknown("/read/", "Authorization: Key fourth\r\n", "401", None)]
#[case::empty("/read/", "Authorization: Key \r\n", "401", None)]
#[case::longer("/read/", "Authorization: Key third2\r\n", "401", None)]
#[case::scheme("/read/", "Authorization: Basic third\r\n", "401", None)]
#[case::open("/once/", "", "200", None)]
#[case::open_known("/once/", "Authorization: Key third\r\n", "200", Some("desk"))]
#[case::open_unknown("/once/", "Authorization: Key fourth\r\n", "401", None)]
#[case::claimed("/once/", "Workspace: desk\r\n", "200", None)]
#[case::claimed_twice("/once/", "WORKSPACE: desk\r\nworkspace: club\r\n", "200", None)]
#[case::claimed_other(
    "/read/",
    "Authorization: Key third\r\nWorkspace: club\r\n",
    "200",
    Some("desk")
)]
#[case::claimed_hop(
    "/read/",
    "Authorization: Key third\r\nConnection: workspace\r\nWorkspace: club\r\n",
    "200",
    Some("desk")
)]
fn a_target_receives_the_authenticated_workspace_and_never_the_key(
    #[case] path: &str,
    #[case] more: &str,
    #[case] status: &str,
    #[case] workspace: Option<&str>,
) {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config_with_workspaces(1), &[&scripted]);
    let answer = call(&deployment, path, more);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!(
        answer.contains("www-authenticate: Key"),
        status == "401",
        "{answer}"
    );
    let heads = scripted.heads();
    assert_eq!(heads.len(), usize::from(status == "200"));
    for head in heads {
        assert_eq!(head.get("workspace"), workspace, "{}", head.text);
        assert_eq!(head.get("authorization"), None, "{}", head.text);
    }
}

/// Without workspaces the target checks credentials itself, as in earlier releases.
#[test]
fn without_workspaces_credentials_are_forwarded_to_the_target() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let answer = call(
        &deployment,
        "/read/",
        "Authorization: Basic x\r\nWorkspace: w\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let head = &scripted.heads()[0];
    assert_eq!(head.get("authorization"), Some("Basic x"));
    assert_eq!(head.get("workspace"), Some("w"));
}

/// Requests on one connection have keys of their own: the second must not run as the first one's
/// workspace.
#[test]
fn each_request_of_a_connection_has_its_own_workspace() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config_with_workspaces(1), &[&scripted]);
    let one = request("GET", "/read/", "r1", "Authorization: Key second\r\n");
    let two = request("GET", "/read/", "r2", "Authorization: Key third\r\n");
    let last = request("GET", "/read/", "r3", "Connection: close\r\n");
    let mut stream = deployment.send(&one);
    stream.write_all(format!("{two}{last}").as_bytes()).unwrap();
    let answers = read_all(&mut stream);
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 401").count(), 1, "{answers}");
    let heads = scripted.heads();
    let of = |id: &str| {
        heads
            .iter()
            .find(|h| h.id() == id)
            .and_then(|h| h.get("workspace"))
    };
    assert_eq!((of("r1"), of("r2")), (Some("club"), Some("desk")));
}

/// A key moves from one workspace to another while its request waits for a connection to the
/// target: the request that is sent must name the new workspace.
#[test]
fn a_key_that_moves_counts_for_its_new_workspace() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config_with_workspaces(1), &[&scripted]);
    let more = "Authorization: Key third\r\n";
    call(&deployment, "/read/", more);
    let mut moved = config_with_workspaces(2);
    moved.workspaces = vec![workspace("club", &[KEY, "third"]), workspace("desk", &[])];
    deployment
        .store
        .put("config", Entry::Config(Arc::new(moved)));
    deployment.wait_until_ready();
    call(&deployment, "/read/", more);
    let workspaces: Vec<_> = scripted
        .heads()
        .iter()
        .map(|h| h.get("workspace").map(str::to_owned))
        .collect();
    assert_eq!(
        workspaces,
        [Some("desk".to_owned()), Some("club".to_owned())]
    );
}

#[test]
fn a_revoked_key_is_rejected_at_once() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config_with_workspaces(1), &[&scripted]);
    let more = "Authorization: Key third\r\n";
    assert!(call(&deployment, "/read/", more).starts_with("HTTP/1.1 200"));
    let mut revoked = config_with_workspaces(2);
    revoked.workspaces.pop();
    deployment
        .store
        .put("config", Entry::Config(Arc::new(revoked)));
    deployment.wait_until_ready();
    assert!(call(&deployment, "/read/", more).starts_with("HTTP/1.1 401"));
    assert_eq!(scripted.count(), 1);
}

/// A host without a store would keep accepting a revoked key for as long as the outage lasts.
/// Before the revocation deadline it therefore refuses requests with keys, reports that they did
/// not run, and sends its callers elsewhere. Routes that need no key continue to work.
#[test]
fn a_host_without_a_store_refuses_keys_before_the_revocation_deadline() {
    let scripted = ScriptedTarget::healthy("hello");
    let mut settings = settings();
    settings.reloadable.revoke = Some(Duration::from_secs(2));
    let deployment = Deployment::open_with(settings, config_with_workspaces(1), &[&scripted]);
    let more = "Authorization: Key third\r\n";
    wait_until(|| call(&deployment, "/read/", more).starts_with("HTTP/1.1 200"));
    deployment.store.set_unavailable(true);
    wait_until(|| !deployment.host.shared().keys_are_fresh());
    let served = scripted.count();
    let answer = call(&deployment, "/read/", more);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        answer.contains("retry-after") && answer.contains("connection: close"),
        "{answer}"
    );
    assert_eq!(scripted.count(), served);
    assert!(
        !deployment.host.shared().is_ready(),
        "lookups must not send callers here"
    );
    assert!(call(&deployment, "/once/", "").starts_with("HTTP/1.1 200"));
    // An unknown key may have been added meanwhile, so the host does not answer that it is wrong.
    let unknown = call(&deployment, "/read/", "Authorization: Key fourth\r\n");
    assert!(unknown.starts_with("HTTP/1.1 503"), "{unknown}");
    deployment.store.set_unavailable(false);
    wait_until(|| call(&deployment, "/read/", more).starts_with("HTTP/1.1 200"));
}

/// The allowed regions of a route and of a workspace both apply: a request must not run in a region
/// that only its route allows.
#[rstest]
#[case::both(&["north", "south"], &["south"], "200", 1)]
#[case::workspace_alone(&[], &["south"], "200", 1)]
#[case::apart(&["north"], &["south"], "503", 0)]
fn requests_run_in_regions_that_both_route_and_workspace_allow(
    #[case] of_route: &[&str],
    #[case] of_workspace: &[&str],
    #[case] status: &str,
    #[case] south: usize,
) {
    let (northern, southern) = (
        ScriptedTarget::healthy("near"),
        ScriptedTarget::healthy("far"),
    );
    let mut config = config_with_workspaces(1);
    config.routes[0] = Arc::new(Route {
        homes: homes(of_route),
        ..Route::clone(&config.routes[0])
    });
    config.workspaces[1] = Arc::new(Workspace {
        homes: homes(of_workspace),
        ..Workspace::clone(&config.workspaces[1])
    });
    let deployment = Deployment::open(config, &[&northern]);
    let remote = Target {
        domain: "south-1".into(),
        ..target("far", southern.address())
    };
    deployment.store.put("far", Entry::Target(Arc::new(remote)));
    deployment.wait_until_ready();
    let answer = call(&deployment, "/read/", "Authorization: Key third\r\n");
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!((northern.count(), southern.count()), (0, south));
}

/// Dumps, metrics and responses are copied into tickets and must not contain a key.
#[test]
fn a_key_appears_in_no_output() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config_with_workspaces(1), &[&scripted]);
    let known = call(
        &deployment,
        "/read/",
        &format!("Authorization: Key {KEY}\r\n"),
    );
    let unknown = call(
        &deployment,
        "/read/",
        &format!("Authorization: Key {KEY}-x\r\n"),
    );
    let shared = deployment.host.shared();
    let listen = &shared.settings.listen;
    let outputs = [
        known,
        unknown,
        get(listen.peers, "/peer/v1/dump"),
        get(listen.metrics.unwrap(), "/metrics"),
        format!("{:?}", shared.view.load()),
        format!("{shared:?}"),
        scripted.heads()[0].text.clone(),
    ];
    for text in outputs {
        assert!(!text.contains(KEY), "{text}");
    }
}
