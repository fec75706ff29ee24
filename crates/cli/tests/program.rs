//! Tests of the command-line interface of the built program.

mod support;

use std::fs;

use dunlinrock_fakes::{List, ListOptions, OutageKind};
use support::program::{
    Running, cursuri, cursuri_with, example, path_arg, run, run_with_store, store, unused_addr,
};

#[test]
fn help_names_every_command_and_exit_code() {
    let help = run(&["help"]);
    assert_eq!(help.code, 0);
    insta::assert_snapshot!("help", help.out);
    assert_eq!(run(&["--help"]).out, help.out);
}

#[test]
fn the_man_page_and_completions_are_printed() {
    let man = run(&["man"]);
    assert_eq!(man.code, 0);
    assert!(man.out.contains(".TH dunlinrock") && man.out.contains("\\-\\-settings"));
    let bash = run(&["--bpaf-complete-style-bash"]);
    assert_eq!(bash.code, 0);
    assert!(bash.out.contains("complete"), "{bash:?}");
}

#[test]
fn wrong_usage_ends_with_code_2_and_names_the_flag() {
    for (args, word) in [
        (&["apply"][..], "--store"),
        (&["serve"], "--settings"),
        (&["apply", "--store", "nowhere", "x"], "IP:PORT"),
        (&["dump", "localhost"], "IP:PORT"),
        (&["fly"], "fly"),
        (&[], "COMMAND"),
    ] {
        let ended = run(args);
        assert_eq!(ended.code, 2, "{args:?}: {ended:?}");
        assert!(ended.err.contains(word), "{args:?}: {ended:?}");
    }
}

#[test]
fn a_valid_directory_passes_the_check() {
    for name in ["cursuri", "tidepool"] {
        let ended = run(&["check", &path_arg(&example(name))]);
        assert_eq!(ended.code, 0, "{ended:?}");
        assert!(
            ended
                .out
                .contains("sound, 2 services, 3 regions, 6 domains"),
            "{ended:?}"
        );
    }
}

#[test]
fn every_mistake_of_a_directory_is_reported_with_its_place() {
    let dir = cursuri_with(
        "more.toml",
        "[services.x]\ndeadline_ms = 0\ncap = { share = 2.0, window_ms = 1000 }\n",
    );
    let store = store();
    for ended in [
        run(&["check", &path_arg(dir.path())]),
        run_with_store(&store, &["apply", &path_arg(dir.path())]),
        run_with_store(&store, &["plan", &path_arg(dir.path())]),
    ] {
        assert_eq!(ended.code, 2, "{ended:?}");
        assert!(ended.err.contains("more.toml:2:"), "{ended:?}");
        assert!(ended.err.contains("more.toml:3:"), "{ended:?}");
    }
    assert_eq!(
        store.counts().writes,
        0,
        "an invalid directory must not be applied, not even in part"
    );
    let none = run(&["check", "/no/such/directory"]);
    assert_eq!(none.code, 2);
    assert!(none.err.contains("/no/such/directory"), "{none:?}");
}

#[test]
fn an_unreachable_store_is_named_and_nothing_is_changed() {
    let at = unused_addr();
    for args in [
        &["apply", "--store", &at, "--timeout", "0.3", &cursuri()][..],
        &["plan", "--store", &at, &cursuri()],
        &["show", "--store", &at],
        &["history", "--store", &at],
    ] {
        let ended = run(args);
        assert_eq!(ended.code, 4, "{args:?}: {ended:?}");
    }
    let store = store();
    store.down(OutageKind::Unavailable);
    let apply = run_with_store(&store, &["apply", "--timeout", "0.3", &cursuri()]);
    assert_eq!(apply.code, 4, "{apply:?}");
    assert!(apply.err.contains("has not taken effect"), "{apply:?}");
}

#[test]
fn unreachable_hosts_and_lists_are_named() {
    let at = unused_addr();
    for args in [
        &["dump", at.as_str()][..],
        &["hosts", "--list", &at],
        &["hosts", "--at", &at, "catalogue"],
    ] {
        let ended = run(args);
        assert_eq!(ended.code, 4, "{args:?}: {ended:?}");
        assert!(ended.err.contains(&at), "{args:?}: {ended:?}");
    }
    let load = run(&["load", "--at", &at, "--service", "x", "--time", "0.1"]);
    assert_eq!(load.code, 4, "{load:?}");
}

#[test]
fn every_mistake_of_a_settings_file_is_reported_with_its_place() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("host.toml");
    let sound = settings("here", &unused_addr(), &unused_addr(), &unused_addr());
    fs::write(&file, format!("port = 1\n{sound}")).unwrap();
    let serve = run(&["serve", "--settings", &path_arg(&file)]);
    assert_eq!(serve.code, 2, "{serve:?}");
    assert!(
        serve.err.contains("host.toml:1:1: unknown key `port`"),
        "{serve:?}"
    );
    assert!(serve.err.contains("host.toml:5:"), "{serve:?}");
    assert!(serve.err.contains("`here` is not IP:PORT"), "{serve:?}");
    let none = run(&["serve", "--settings", "/no/such/file"]);
    assert_eq!(none.code, 2, "{none:?}");
}

#[test]
fn a_wrong_address_is_reported_beside_missing_keys() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("host.toml");
    fs::write(&file, "name = \"h\"\ncallers = \"here\"\nport = 1\n").unwrap();
    let serve = run(&["serve", "--settings", &path_arg(&file)]);
    assert_eq!(serve.code, 2, "{serve:?}");
    assert!(serve.err.contains("lacks the key `region`"), "{serve:?}");
    assert!(
        serve.err.contains("host.toml:3:1: unknown key `port`"),
        "{serve:?}"
    );
    assert!(
        serve.err.contains("host.toml:2:"),
        "the invalid address is reported too: {serve:?}"
    );
}

#[test]
fn a_busy_port_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let fake = run(&["fake", "store", "--bind", &at]);
    assert_eq!(fake.code, 1, "{fake:?}");
    assert!(fake.err.contains(&at), "{fake:?}");
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("host.toml");
    fs::write(
        &file,
        settings(&at, &unused_addr(), &unused_addr(), &unused_addr()),
    )
    .unwrap();
    let serve = run(&["serve", "--settings", &path_arg(&file)]);
    assert_eq!(serve.code, 1, "{serve:?}");
    assert!(serve.err.contains(&at), "{serve:?}");
}

fn settings(callers: &str, peers: &str, store: &str, list: &str) -> String {
    format!(
        "name = \"bucharest-1\"\nregion = \"bucharest\"\ndomain = \"bucharest-a\"\n\
         callers = \"{callers}\"\npeers = \"{peers}\"\n\
         [store]\naddress = \"{store}\"\n[list]\naddress = \"{list}\"\n\
         [timing]\nanswer_ttl_ms = 100\n[log]\nformat = \"json\"\n"
    )
}

#[test]
fn a_host_serves_lookups_and_dumps_and_stops_on_sigterm() {
    let store = store();
    let list = List::bind("127.0.0.1:0", ListOptions::default()).unwrap();
    assert_eq!(run_with_store(&store, &["apply", &cursuri()]).code, 0);
    let (callers, peers) = (unused_addr(), unused_addr());
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("host.toml");
    let (s, l) = (store.addr().to_string(), list.addr().to_string());
    fs::write(&file, settings(&callers, &peers, &s, &l)).unwrap();
    let mut host = Running::spawn(&["serve", "--settings", &path_arg(&file)]);
    let found = loop {
        let found = run(&["hosts", "--at", &callers, "catalogue"]);
        if found.code == 0 {
            break found.out;
        }
    };
    assert!(found.contains("catalogue at revision 1"), "{found}");
    assert!(found.contains(&callers), "{found}");
    let unknown = run(&["hosts", "--at", &callers, "nothing"]);
    assert_eq!(unknown.code, 1, "{unknown:?}");
    assert!(unknown.err.contains("nothing"), "{unknown:?}");
    let dump = run(&["dump", &peers]);
    let state: serde_json::Value = serde_json::from_str(&dump.out).unwrap();
    assert_eq!((dump.code, &state["revision"]), (0, &1.into()));
    let wrong = run(&["dump", &callers]);
    assert_eq!(wrong.code, 1, "{wrong:?}");
    assert!(wrong.err.contains("peers"), "{wrong:?}");
    host.terminate();
    assert_eq!(host.wait(), Some(0));
}

#[test]
fn a_plot_is_drawn_from_reports() {
    let dir = tempfile::tempdir().unwrap();
    let (report, picture) = (dir.path().join("a.json"), dir.path().join("a.svg"));
    let share = r#"{"sent":1,"answered":1,"failed":0,"wrong":0,"refused":0,"unknown":0,"gone":0,
        "attempts":1,"p50_ms":1.0,"p90_ms":2.0,"p99_ms":3.0,"max_ms":4.0}"#;
    let json = format!(
        r#"{{"rate":9.0,"seconds":1.0,"seed":1,"services":{{"catalogue":{share}}},"reasons":{{}}}}"#
    );
    fs::write(&report, json).unwrap();
    let plot = run(&["plot", "-o", &path_arg(&picture), &path_arg(&report)]);
    assert_eq!(plot.code, 0, "{plot:?}");
    assert!(fs::read_to_string(&picture).unwrap().contains("catalogue"));
    fs::write(&report, "{}").unwrap();
    let broken = run(&["plot", "-o", &path_arg(&picture), &path_arg(&report)]);
    assert_eq!(broken.code, 2, "{broken:?}");
    assert!(broken.err.contains("a.json"), "{broken:?}");
}
