//! A short soak with fixed seeds: hosts as processes, faults from outside, every promise kept.

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

/// A seed that once broke a promise would stand here with a line on its cause; none has so far.
#[test]
fn a_soak_without_hosts_is_refused_with_the_reason() {
    let out = run(&["soak", "--hosts", "0"]);
    assert_ne!(out.code, 0);
    assert!(out.err.contains("--hosts"), "{}", out.err);
}
