//! Tests of the command `soak`: a short run with fixed seeds must keep every promise.
//!
//! A seed that breaks a promise is to be added here with its cause.

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

/// Seed 825 reloads a host right after its start, which ended it: its handlers came too late.
#[test]
fn a_reload_right_after_a_start_does_not_end_a_host() {
    let args = [
        "soak", "--seed", "825", "--plans", "1", "--hosts", "8", "--faults", "16",
    ];
    let out = run(&args);
    assert_eq!(out.code, 0, "{}\n{}", out.out, out.err);
    assert!(out.out.contains("every promise kept"), "{}", out.out);
}

/// Seed 6126: leases end while the store is away, and the fake store gave out a number again in the
/// same era. The host that had it before renewed the other one's lease and was not announced again.
#[test]
fn a_host_whose_lease_ended_in_an_outage_is_announced_again() {
    let args = [
        "soak", "--seed", "6126", "--plans", "1", "--hosts", "6", "--faults", "8",
    ];
    let out = run(&args);
    assert_eq!(out.code, 0, "{}\n{}", out.out, out.err);
    assert!(out.out.contains("every promise kept"), "{}", out.out);
}

#[test]
fn a_soak_without_hosts_is_rejected_with_the_reason() {
    let out = run(&["soak", "--hosts", "0"]);
    assert_ne!(out.code, 0);
    assert!(out.err.contains("--hosts"), "{}", out.err);
}

/// Plays a series of faults with six hosts, and checks second arrivals at targets, summed over them.
#[track_caller]
fn assert_budget_kept(series: &str, more: &[&str]) {
    let args = ["soak", "--retries", series, "--seed", "1", "--hosts", "6"];
    let out = run(&[&args, more].concat());
    assert_eq!(out.code, 0, "{}\n{}", out.out, out.err);
    assert!(out.out.contains("second arrivals"), "{}", out.out);
}

/// Guards against a slack that each of several hosts takes as a whole: while they start, the store
/// stops answering, so that they never learn of each other.
#[test]
fn hosts_that_start_while_the_store_fails_keep_to_the_retry_budget() {
    assert_budget_kept("start-cut", &["--rate", "60"]);
}

/// Guards against a slack that is divided among too few hosts: the first ones are cut off from the
/// store when the others join.
#[test]
fn hosts_that_join_unseen_by_others_keep_to_the_retry_budget() {
    assert_budget_kept("join", &["--rate", "60"]);
}

/// Guards against requests that allow retries at two hosts: their callers move on while the first
/// host still has retries left.
#[test]
fn callers_that_move_to_other_hosts_allow_no_retries_twice() {
    assert_budget_kept("move", &["--rate", "60"]);
}

/// Guards against a share that is used by a killed host and again by its successor: a supervisor
/// starts the process again with the settings file of the first start.
#[test]
fn hosts_that_start_again_as_if_for_the_first_time_keep_to_the_retry_budget() {
    assert_budget_kept("kill-all", &["--rate", "300", "--first"]);
}
