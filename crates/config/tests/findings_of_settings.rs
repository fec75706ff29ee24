//! All findings in a settings file are reported together, each with its location and a fix.

use dunlinrock_config::settings;
use insta::assert_snapshot;

fn findings(text: &str) -> String {
    match settings::check("host.toml", text) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn schema_violations_are_reported_together() {
    let text = r#"
name = "bucharest-1"
regoin = "bucharest"
domain = 7
callers = "127.0.0.1:17101"
peers = "127.0.0.1:17201"
color = "red"

[store]
timeout_ms = 0

[list]
address = "127.0.0.1:17001"
poll_ms = 0.5

[log]
level = "loud"

[limits]
connections = 99999999999999999999999
"#;
    assert_snapshot!(findings(text), @r#"
    host.toml:1:1: the file lacks the key `region`; add `region = "TEXT"` (Region of this host; one of the configuration's regions)
    host.toml:3:1: unknown key `regoin`; did you mean `region`?
    host.toml:4:10: `domain` is a whole number; give a text in quotes
    host.toml:7:1: unknown key `color`; the keys here are `callers`, `domain`, `limits`, `list`, `log`, `metrics`, `name`, `peers`, `region`, `store`, `timing`
    host.toml:9:2: `store` lacks the key `address`; add `address = "TEXT"` (Address and port of the store, as IP:PORT)
    host.toml:10:14: `timeout_ms` is 0; give a whole number of at least 1
    host.toml:14:11: `poll_ms` is a number with a fraction; give a whole number of at least 10
    host.toml:17:9: `level` is "loud"; give one of `error`, `warn`, `info`, `debug`, `trace`
    host.toml:20:15: `connections` is 99999999999999999999999; give a whole number of at least 1
    "#);
}

#[test]
fn invalid_values_are_reported_together() {
    let text = r#"
name = "bucharest 1"
region = ""
domain = "bucharest-a"
callers = "127.0.0.1:17101"
peers = "127.0.0.1:17101"

[store]
address = "store.local:17000"

[list]
address = "0.0.0.0:17001"

[metrics]
address = "127.0.0.1:0"

[timing]
heartbeat_ms = 900
suspect_ms = 1000
gone_ms = 1000
claim_ms = 70000
"#;
    assert_snapshot!(findings(text), @r#"
    host.toml:2:8: `name` contains ' '; use ASCII letters, digits, `-` and `_`
    host.toml:3:10: `region` is empty; give a name
    host.toml:6:9: `peers` has the same address as `callers`; give it another port
    host.toml:9:11: `store.local:17000` is not IP:PORT; write an address like `127.0.0.1:17000` or `[::1]:17000`, names are not looked up
    host.toml:12:11: `0.0.0.0:17001` cannot be reached by others; give one host's own address
    host.toml:15:11: `127.0.0.1:0` has port 0; give the port that others will use
    host.toml:19:14: `suspect_ms` is 1000; make it at least twice `heartbeat_ms`, which is 900, or one lost heartbeat makes a peer suspect
    host.toml:19:14: `suspect_ms` is 1000; make it less than `gone_ms`, which is 1000
    host.toml:21:12: `claim_ms` is 70000; make it less than `epoch_ms`, which is 60000
    "#);
}

#[test]
fn syntax_errors_have_locations() {
    let text = "name = \"a\nregion = = 1\n[store\n";
    assert_snapshot!(findings(text), @r#"
    host.toml:1:10: syntax: invalid basic string, expected `"`
    host.toml:2:10: syntax: extra `=`, expected nothing
    host.toml:2:12: syntax: unexpected key or value, expected newline, `#`
    host.toml:3:7: syntax: unclosed table, expected `]`
    "#);
}

#[test]
fn an_empty_file_lacks_each_key() {
    assert_snapshot!(findings(""), @r#"
    host.toml:1:1: the file lacks the key `callers`; add `callers = "TEXT"` (Address and port that the host listens on for callers, as IP:PORT)
    host.toml:1:1: the file lacks the key `domain`; add `domain = "TEXT"` (Failure domain of this host; one of the configuration's domains)
    host.toml:1:1: the file lacks the key `list`; add `list = { ... }` (Connection to the platform's list of hosts)
    host.toml:1:1: the file lacks the key `name`; add `name = "TEXT"` (Name of this host, unique in the deployment)
    host.toml:1:1: the file lacks the key `peers`; add `peers = "TEXT"` (Address and port that the host listens on for other hosts, as IP:PORT)
    host.toml:1:1: the file lacks the key `region`; add `region = "TEXT"` (Region of this host; one of the configuration's regions)
    host.toml:1:1: the file lacks the key `store`; add `store = { ... }` (Connection to the platform's key-value store)
    "#);
}

#[test]
fn an_absent_file_is_a_finding() {
    let path = std::path::Path::new("no/such/host.toml");
    let findings = settings::load(path).unwrap_err();
    assert_snapshot!(findings, @"no/such/host.toml: cannot be read: No such file or directory (os error 2)");
}
