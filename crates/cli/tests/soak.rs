//! Tests of the command `soak`: a short run with fixed seeds must keep every promise.
//!
//! A seed that breaks a promise is to be added here with its cause; none has so far.

mod support;

use support::program::run;

#[test]
fn a_short_soak_keeps_every_promise() {
    let args = [
        "soak", "--seed", "3", "--plans", "2", "--hosts", "3", "--faults", "6",
    ];
    let out = run(&args);
    assert_eq!(out.code, 0, "{}\n{}", out.out, out.err);
    assert_eq!(
        out.out.matches("every promise kept").count(),
        2,
        "{}",
        out.out
    );
}

#[test]
fn a_soak_without_hosts_is_rejected_with_the_reason() {
    let out = run(&["soak", "--hosts", "0"]);
    assert_ne!(out.code, 0);
    assert!(out.err.contains("--hosts"), "{}", out.err);
}
