//! Tests of the operators' commands on the store: plan, apply, show and history.

mod support;

use std::{fs, process::Stdio};

use dunlinrock_fakes::OutageKind;
use support::program::{
    cursuri, cursuri_with, cursuri_with_drain, path_arg, program, run, run_with_store, store,
};

#[test]
fn an_apply_is_planned_shown_and_listed() {
    let store = store();
    let plan = run_with_store(&store, &["plan", &cursuri()]);
    assert_eq!(plan.code, 0, "{plan:?}");
    assert!(plan.out.contains("against revision 0"), "{plan:?}");
    let apply = run_with_store(&store, &["apply", "--id", "first", &cursuri()]);
    assert_eq!(
        (apply.code, apply.out.as_str()),
        (0, "in force as revision 1\n")
    );
    let again = run_with_store(&store, &["apply", "--id", "second", &cursuri()]);
    assert_eq!(again.code, 0, "{again:?}");
    assert!(again.out.contains("no change"), "{again:?}");
    let history = run_with_store(&store, &["history"]);
    assert_eq!(history.code, 0, "{history:?}");
    assert!(
        history.out.contains("first") && history.out.contains("ana"),
        "{history:?}"
    );
    assert!(!history.out.contains("second"), "{history:?}");
}

#[test]
fn what_show_prints_can_be_applied_again() {
    let store = store();
    assert_eq!(run_with_store(&store, &["apply", &cursuri()]).code, 0);
    let show = run_with_store(&store, &["show"]);
    assert_eq!(show.code, 0, "{show:?}");
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("all.toml"), show.out).unwrap();
    let again = run_with_store(&store, &["apply", &path_arg(dir.path())]);
    assert!(again.out.contains("no change"), "{again:?}");
}

#[test]
fn a_conflicting_apply_is_reported() {
    // Two operators plan against revision 1 and one of them applies a drain. The other's apply must
    // not take effect on a configuration that its operator has not seen, and must name the drain.
    let store = store();
    assert_eq!(run_with_store(&store, &["apply", &cursuri()]).code, 0);
    let dir = cursuri_with_drain();
    let drain = run_with_store(
        &store,
        &[
            "apply",
            "--base",
            "1",
            "--id",
            "drain",
            &path_arg(dir.path()),
        ],
    );
    assert_eq!(drain.code, 0, "{drain:?}");
    let other = cursuri_with(
        "x.toml",
        "[drains]\ny = { kind = \"domain\", name = \"iasi-a\" }\n",
    );
    let late = run_with_store(&store, &["apply", "--base", "1", &path_arg(other.path())]);
    assert_eq!(late.code, 3, "{late:?}");
    assert!(
        late.err.contains("overtaken") && late.err.contains("drain"),
        "{late:?}"
    );
    assert!(
        run_with_store(&store, &["show"])
            .out
            .contains("# Revision 2")
    );
}

#[test]
fn an_apply_with_lost_responses_detects_that_it_took_effect() {
    let store = store();
    store.drop_responses(3);
    let apply = run_with_store(&store, &["apply", &cursuri()]);
    assert_eq!(
        (apply.code, apply.out.as_str()),
        (0, "in force as revision 1\n")
    );
    assert_eq!(store.counts().lost, 3);
}

#[test]
fn an_apply_with_an_unknown_outcome_reports_that_it_may_have_taken_effect() {
    // The write of the root takes effect, but its response is lost and the store becomes
    // unavailable. The command must not report that nothing happened. A retry under the same id
    // finds the outcome once the store is available again.
    let store = store();
    store.withhold_responses(Some("dunlinrock/root"));
    let at = store.addr().to_string();
    let args = [
        "apply",
        "--store",
        &at,
        "--timeout",
        "1",
        "--id",
        "mine",
        &cursuri(),
    ];
    let child = program(&args)
        .stderr(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    while store.read_direct("dunlinrock/root").is_none() {
        std::thread::yield_now();
    }
    store.down(OutageKind::Refuse);
    let ended = child.wait_with_output().unwrap();
    assert_eq!(ended.status.code(), Some(5), "{ended:?}");
    let err = String::from_utf8(ended.stderr).unwrap();
    assert!(
        err.contains("may have taken effect") && err.contains("mine"),
        "{err}"
    );
    store.withhold_responses(None);
    store.up();
    let again = run(&args);
    assert_eq!(
        (again.code, again.out.as_str()),
        (0, "in force as revision 1\n"),
        "{again:?}"
    );
}

#[test]
fn a_store_without_a_configuration_is_reported() {
    let store = store();
    let show = run_with_store(&store, &["show"]);
    assert_eq!(show.code, 1, "{show:?}");
    assert!(
        show.err.contains("no configuration was applied"),
        "{show:?}"
    );
}

#[test]
fn a_closed_pipe_is_not_an_error() {
    // `dunlinrock show ... | head` closes the pipe while the program is still writing.
    let store = store();
    assert_eq!(run_with_store(&store, &["apply", &cursuri()]).code, 0);
    let at = store.addr().to_string();
    let mut child = program(&["show", "--store", &at])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let ended = child.wait_with_output().unwrap();
    assert_eq!(ended.status.code(), Some(0), "{ended:?}");
    assert_eq!(ended.stderr, b"");
}

#[test]
fn waiting_needs_a_list_of_hosts() {
    let store = store();
    let apply = run_with_store(&store, &["apply", "--wait", &cursuri()]);
    assert_eq!(apply.code, 2, "{apply:?}");
    assert!(apply.err.contains("--list"), "{apply:?}");
    assert_eq!(store.counts().writes, 0);
}
