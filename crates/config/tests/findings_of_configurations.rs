//! All findings in a configuration's files are reported together, each with its location and a fix.

use std::fs;

use dunlinrock_config::config::{self, CheckedConfig, ConfigFile};
use insta::assert_snapshot;

/// A valid configuration that the tests put errors into.
const VALID: &str = r#"
[services.catalogue]
deadline_ms = 900
queue_ms = 400
cap = { share = 0.1, window_ms = 10000 }
spread = { bucharest = { bucharest = 0.9, cluj = 0.1 } }
[regions.bucharest]
[regions.cluj]
[domains]
bucharest-a = { region = "bucharest" }
cluj-a = { region = "cluj" }
[links]
west = { from = "bucharest", to = "cluj", delay_us = 20000, bytes_per_s = 1000000 }
[targets]
t-1 = { service = "catalogue", domain = "bucharest-a", address = "127.0.0.1:21001", slots = 3 }
t-2 = { service = "catalogue", domain = "cluj-a", address = "127.0.0.1:21002", slots = 3 }
[blocks]
"10.0.0.0/8" = "bucharest"
"#;

fn check(files: &[(&str, &str)]) -> CheckedConfig {
    let files: Vec<ConfigFile> = files
        .iter()
        .map(|(name, text)| ConfigFile {
            name: (*name).to_owned(),
            text: (*text).to_owned(),
        })
        .collect();
    config::check_files(&files)
}

/// Returns the findings of `VALID` with one text replaced by another.
fn changed(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let checked = check(&[("all.toml", &VALID.replace(from, to))]);
    assert_eq!(checked.config.is_some(), !checked.findings.has_errors());
    checked.findings.to_string()
}

#[test]
fn a_valid_configuration_has_no_findings() {
    let checked = check(&[("all.toml", VALID)]);
    assert!(checked.findings.is_empty(), "{}", checked.findings);
    assert!(checked.config.is_some());
}

#[test]
fn a_name_in_two_files_is_a_finding_in_both() {
    let again = "[regions]\ncluj = { headroom = 0.2 }\n[blocks]\n\"10.0.0.0/8\" = \"cluj\"\n";
    let checked = check(&[("all.toml", VALID), ("more.toml", again)]);
    assert_snapshot!(checked.findings, @r#"
    all.toml:8:10: the region `cluj` is also defined at more.toml:2:1; keep one of them
    all.toml:18:1: the block `10.0.0.0/8` is also defined at more.toml:4:1; keep one of them
    more.toml:2:1: the region `cluj` is also defined at all.toml:8:10; keep one of them
    more.toml:4:1: the block `10.0.0.0/8` is also defined at all.toml:18:1; keep one of them
    "#);
}

#[test]
fn references_to_undefined_names() {
    let text = VALID
        .replace(
            "service = \"catalogue\", domain = \"cluj-a\"",
            "service = \"catalog\", domain = \"iasi-a\"",
        )
        .replace(
            "cluj-a = { region = \"cluj\" }",
            "cluj-a = { region = \"kluj\" }",
        )
        .replace("to = \"cluj\"", "to = \"paris\"")
        .replace("/8\" = \"bucharest\"", "/8\" = \"bucarest\"")
        + "[drains]\nnight = { kind = \"domain\", name = \"cluj\" }\nhost = { kind = \"host\", name = \"any\" }\n";
    assert_snapshot!(check(&[("all.toml", &text)]).findings, @r#"
    all.toml:2:11: warning: `catalogue` has no targets in region `bucarest` and no spread for its callers; add `spread.bucarest`
    all.toml:6:43: `catalogue` has no targets in region `cluj`; add one there or remove the weight
    all.toml:6:43: no link joins `bucharest` and `cluj`; add one to the links or remove the weight
    all.toml:8:10: warning: region `cluj` has no domain; nothing can be served there
    all.toml:11:21: no region `kluj` is defined; did you mean `cluj`?
    all.toml:13:35: no region `paris` is defined; the regions are `bucharest`, `cluj`
    all.toml:16:19: no service `catalog` is defined; did you mean `catalogue`?
    all.toml:16:39: no domain `iasi-a` is defined; the domains are `bucharest-a`, `cluj-a`
    all.toml:18:16: no region `bucarest` is defined; did you mean `bucharest`?
    all.toml:20:35: no domain `cluj` is defined; did you mean `cluj-a`?
    "#);
}

#[test]
fn an_invalid_entry_still_counts_as_defined() {
    // The region's own error is the only finding: references to it are valid.
    assert_snapshot!(changed("[regions.cluj]", "[regions.cluj]\nheadroom = 2\n"), @"all.toml:9:12: `headroom` is 2; give a number from 0 to 1");
}

#[test]
fn a_file_that_is_not_toml_causes_no_findings_on_references() {
    let places = "[regions\nparis = {}\n";
    let checked = check(&[
        ("all.toml", &VALID.replace("[regions.cluj]", "")),
        ("places.toml", places),
    ]);
    assert!(checked.config.is_none());
    assert_snapshot!(checked.findings, @"places.toml:1:9: syntax: unclosed table, expected `]`");
}

#[test]
fn rules_of_services() {
    let text = VALID.replace(
        "queue_ms = 400\ncap = { share = 0.1, window_ms = 10000 }",
        "queue_ms = 901\nlongest_ms = 800\nwork_ms = 1000\nrepeatable = [\"get\", \"POST\"]\n\
         caller_header = \"a b\"\nshort_slots = 0.7\ncap = { share = 1, window_ms = 90000000 }",
    );
    assert_snapshot!(check(&[("all.toml", &text)]).findings, @r#"
    all.toml:3:15: `deadline_ms` is 900; make it at most `longest_ms`, which is 800
    all.toml:4:12: `queue_ms` is 901; make it at most `deadline_ms`, which is 900
    all.toml:6:11: warning: `work_ms` is 1000, more than `deadline_ms`, which is 900: most requests will be refused
    all.toml:7:14: `get` is not an HTTP method; write it like `GET`
    all.toml:7:14: warning: `POST` requests may be run more than once under this rule
    all.toml:8:17: `a b` is not a header name; use ASCII letters, digits, `-` and `_`
    all.toml:9:15: `short_slots` is 0.7, which leaves none of the 3 slots in domain `bucharest-a` for long requests; lower it
    all.toml:10:17: warning: `share` of 1 lets all traffic move at once; the targets it moves to start with cold caches
    all.toml:10:32: `window_ms` is 90000000; make it at most 86400000, a day
    "#);
}

#[test]
fn a_short_deadline_needs_no_queue_time() {
    // The default queue time exceeds this deadline, but it is not set in the file.
    assert_snapshot!(changed("queue_ms = 400\n", ""), @"");
}

#[test]
fn addresses_that_cannot_be_used() {
    assert_snapshot!(changed("127.0.0.1:21002", "127.0.0.1:21001"), @r#"
    all.toml:15:66: `127.0.0.1:21001` is also the address of target `t-2`; give each target its own
    all.toml:16:61: `127.0.0.1:21001` is also the address of target `t-1`; give each target its own
    "#);
    assert_snapshot!(changed("127.0.0.1:21002", "worker-2:80"), @"all.toml:16:61: `worker-2:80` is not IP:PORT; write an address like `127.0.0.1:17000` or `[::1]:17000`, names are not looked up");
    assert_snapshot!(changed("127.0.0.1:21002", "0.0.0.0:80"), @"all.toml:16:61: `0.0.0.0:80` cannot be reached by others; give one host's own address");
}

#[test]
fn blocks_that_cannot_be_used() {
    let blocks = "\"10.0.0.0/8\" = \"cluj\"\n\"10.1.2.0/16\" = \"cluj\"\n\"10.1.0.0/16\" = \"cluj\"\n\"here\" = \"cluj\"";
    assert_snapshot!(changed("\"10.0.0.0/8\" = \"bucharest\"", blocks), @r#"
    all.toml:19:1: `10.1.2.0/16` has bits set beyond its prefix; write `10.1.0.0/16`
    all.toml:19:1: the block `10.1.0.0/16` covers the same addresses
    all.toml:20:1: the block `10.1.2.0/16` covers the same addresses
    all.toml:21:1: `here` is not an address block; write it like `10.16.0.0/16`
    "#);
}

#[test]
fn links_that_cannot_be_used() {
    let more = "[links]\neast = { from = \"cluj\", to = \"bucharest\", delay_us = 1, bytes_per_s = 1 }\nself = { from = \"cluj\", to = \"cluj\", delay_us = 1, bytes_per_s = 1 }";
    assert_snapshot!(changed("[links]", more), @r#"
    all.toml:13:1: `bucharest` and `cluj` are also linked by `west`; keep one link, it serves both directions
    all.toml:14:30: link `self` leads from `cluj` to itself; name the region at the other end
    all.toml:15:1: `bucharest` and `cluj` are also linked by `east`; keep one link, it serves both directions
    "#);
}

#[test]
fn spreads_that_cannot_be_applied() {
    assert_snapshot!(changed("bucharest = 0.9, cluj = 0.1", "bucharest = 0, cluj = 0.0"), @"all.toml:6:12: no region has a weight for callers of `bucharest`; give at least one a weight above 0");
    assert_snapshot!(changed("west = {", "#"), @"all.toml:6:43: no link joins `bucharest` and `cluj`; add one to the links or remove the weight");
    assert_snapshot!(changed("t-2 =", "#"), @"all.toml:6:43: `catalogue` has no targets in region `cluj`; add one there or remove the weight");
    assert_snapshot!(changed("{ bucharest = { bucharest = 0.9, cluj = 0.1 } }", "{ cluj = { cluj = -1 } }"), @"all.toml:6:28: `cluj` is -1; give a number of at least 0");
}

#[test]
fn warnings_leave_a_configuration_usable() {
    let checked = check(&[("all.toml", &VALID.replace("share = 0.1", "share = 1"))]);
    assert!(checked.config.is_some());
    assert_eq!(checked.findings.errors().count(), 0);
    assert_snapshot!(checked.findings, @"all.toml:5:17: warning: `share` of 1 lets all traffic move at once; the targets it moves to start with cold caches");
}

#[test]
fn a_directory_without_files_is_a_finding() {
    let dir = tempfile::tempdir().unwrap();
    let findings = config::load_dir(dir.path()).unwrap_err().to_string();
    let findings = findings.replace(&dir.path().display().to_string(), "DIR");
    assert_snapshot!(findings, @"DIR: contains no `*.toml` file; give the directory of the configuration");
    let absent = config::load_dir(&dir.path().join("absent")).unwrap_err();
    assert!(absent.to_string().contains("cannot be read"), "{absent}");
}

#[test]
fn only_toml_files_of_a_directory_are_read() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("all.toml"), VALID).unwrap();
    fs::write(dir.path().join("notes.txt"), "not TOML").unwrap();
    config::load_dir(dir.path()).unwrap_or_else(|findings| panic!("{findings}"));
}
