//! Suspects and confirmed requests of the quarantine.

use std::time::Duration;

use dunlinrock_admit::{
    CrashedRun, Quarantine, QuarantineStatus, QuarantineTtls, QuarantineUpdate, RecentSuccesses,
    TargetRuns,
};

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn crashed(fingerprint: u64, since: u64) -> CrashedRun {
    CrashedRun {
        fingerprint,
        since: at(since),
    }
}

#[test]
fn two_crashes_confirm_a_request_only_if_it_ran_alone_in_the_second() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0), crashed(2, 0)], at(1));
    q.record_crash(&[crashed(1, 2), crashed(2, 2)], at(3));
    assert_eq!(
        [1, 2].map(|f| q.status(f, at(3))),
        [Some(QuarantineStatus::Suspect); 2]
    );
    q.record_crash(&[crashed(1, 4)], at(5));
    assert_eq!(
        [1, 2].map(|f| q.status(f, at(5))),
        [
            Some(QuarantineStatus::Convict),
            Some(QuarantineStatus::Suspect)
        ]
    );
}

/// A whole failure domain loses power. A popular page ran on each of its targets, alone on some of
/// them. The page must not be refused afterwards, because all those runs had begun before the first
/// crash was known.
#[test]
fn a_domain_that_fails_at_once_confirms_no_request() {
    let mut q = Quarantine::open();
    for _ in 0..8 {
        q.record_crash(&[crashed(1, 0)], at(1));
    }
    assert_eq!(q.status(1, at(1)), Some(QuarantineStatus::Suspect));
}

#[test]
fn a_successful_run_clears_a_suspect_and_not_a_confirmed_request() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0)], at(1));
    q.clear(1);
    assert_eq!(q.status(1, at(2)), None);
    q.record_crash(&[crashed(1, 2)], at(3));
    assert_eq!(
        q.status(1, at(3)),
        Some(QuarantineStatus::Suspect),
        "it was cleared of the earlier crash"
    );
    q.record_crash(&[crashed(1, 4)], at(5));
    q.clear(1);
    assert_eq!(q.status(1, at(5)), Some(QuarantineStatus::Convict));
}

#[test]
fn a_local_crash_confirms_a_suspect_of_a_peer() {
    let mut q = Quarantine::open();
    q.apply_update(
        QuarantineUpdate {
            fingerprint: 1,
            status: QuarantineStatus::Suspect,
            ttl: at(60),
        },
        at(10),
    );
    q.record_crash(&[crashed(1, 11)], at(12));
    assert_eq!(q.status(1, at(12)), Some(QuarantineStatus::Convict));
    let updates = q.take_updates();
    assert_eq!(updates.len(), 1);
    assert_eq!(
        (updates[0].fingerprint, updates[0].status),
        (1, QuarantineStatus::Convict)
    );
    assert_eq!(q.take_updates(), [], "said once");
}

#[test]
fn an_update_is_idempotent_and_expires() {
    let mut q = Quarantine::open();
    let update = QuarantineUpdate {
        fingerprint: 1,
        status: QuarantineStatus::Convict,
        ttl: at(60),
    };
    q.apply_update(update, at(0));
    q.apply_update(update, at(30));
    assert_eq!(q.status(1, at(59)), Some(QuarantineStatus::Convict));
    assert_eq!(
        q.status(1, at(60)),
        None,
        "an update that is sent again does not extend the record"
    );
    q.apply_update(
        QuarantineUpdate {
            ttl: at(1_000_000),
            ..update
        },
        at(100),
    );
    assert!(
        q.remaining(1, at(100)) <= at(3600),
        "a peer cannot have a request refused permanently"
    );
}

#[test]
fn records_are_bounded_and_confirmed_ones_stay_longest() {
    let mut q = Quarantine::open();
    q.apply_update(
        QuarantineUpdate {
            fingerprint: 0,
            status: QuarantineStatus::Convict,
            ttl: at(60),
        },
        at(0),
    );
    for f in 1..10_000 {
        q.record_crash(&[crashed(f, 0)], at(1));
    }
    assert!(q.all_updates(at(1)).len() <= 256);
    assert!(q.take_updates().len() <= 256);
    assert_eq!(q.status(0, at(1)), Some(QuarantineStatus::Convict));
}

/// Guards against a host that never confirms the cause because other requests always run beside it:
/// only suspects count.
#[test]
fn the_only_suspect_among_the_runs_is_confirmed() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0), crashed(2, 0)], at(1));
    q.record_crash(&[crashed(1, 2), crashed(3, 2)], at(3));
    assert_eq!(
        [1, 2, 3].map(|f| q.status(f, at(3))),
        [
            Some(QuarantineStatus::Convict),
            Some(QuarantineStatus::Suspect),
            Some(QuarantineStatus::Suspect)
        ]
    );
}

/// Guards against a host that does not confirm a request which it had sent twice to the target.
#[test]
fn two_runs_of_the_only_suspect_count_as_one() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0)], at(1));
    q.record_crash(&[crashed(1, 2), crashed(1, 2)], at(3));
    assert_eq!(q.status(1, at(3)), Some(QuarantineStatus::Convict));
}

/// Guards against suspects that a request in quarantine leaves when its last runs crash targets.
#[test]
fn a_crash_that_a_confirmed_request_explains_makes_no_suspects() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0)], at(1));
    q.record_crash(&[crashed(1, 1)], at(2));
    q.record_crash(&[crashed(1, 1), crashed(2, 1)], at(3));
    assert_eq!(q.status(2, at(3)), None);
}

#[test]
fn a_forgotten_request_starts_again() {
    let mut q = Quarantine::open();
    q.record_crash(&[crashed(1, 0)], at(1));
    q.record_crash(&[crashed(1, 1)], at(2));
    q.forget(1);
    assert_eq!(q.status(1, at(3)), None);
    q.record_crash(&[crashed(1, 3)], at(4));
    assert_eq!(q.status(1, at(4)), Some(QuarantineStatus::Suspect));
}

#[test]
fn records_expire_after_the_given_times() {
    let ttls = QuarantineTtls {
        suspect: at(10),
        confirmed: at(20),
    };
    let mut q = Quarantine::open_with(ttls);
    q.record_crash(&[crashed(1, 0), crashed(2, 0)], at(1));
    q.record_crash(&[crashed(1, 1)], at(2));
    assert_eq!(q.status(2, at(10)), Some(QuarantineStatus::Suspect));
    assert_eq!(q.status(2, at(11)), None);
    assert_eq!(q.status(1, at(21)), Some(QuarantineStatus::Convict));
    assert_eq!(q.status(1, at(22)), None);
}

#[test]
fn a_success_counts_for_ten_seconds_since_the_last_one() {
    let mut s = RecentSuccesses::open();
    s.record(1, at(0));
    s.record(2, at(0));
    s.record(1, at(6));
    assert!(s.contains(1, at(15)) && !s.contains(2, at(10)));
    s.record(3, at(15));
    assert!(
        s.contains(1, at(15)),
        "the eviction of the first success keeps the second"
    );
    assert!(!s.contains(1, at(16)));
}

#[test]
fn successes_are_bounded() {
    let mut s = RecentSuccesses::open();
    (0..100_000).for_each(|f| s.record(f, at(1)));
    assert_eq!((0..100_000).filter(|f| s.contains(*f, at(1))).count(), 4096);
}

/// Guards against a broken connection that counts as a crash although the target lives.
#[test]
fn a_later_response_proves_that_no_run_has_crashed_the_target() {
    let mut runs = TargetRuns::open();
    let (lost, answered) = (runs.start(1, at(0)), runs.start(2, at(0)));
    runs.abandon(lost, at(1));
    runs.finish(answered, at(2));
    assert_eq!(runs.crash(at(3)).0, []);
}

/// Guards against a crash whose runs are forgotten, since they ended before it was found out: the
/// connection broke, the deadline passed, or the caller left.
#[test]
fn a_crash_has_the_runs_that_ended_before_it_was_found_out() {
    let mut runs = TargetRuns::open();
    let ended = runs.start(1, at(1));
    runs.start(2, at(2));
    runs.abandon(ended, at(3));
    assert_eq!(
        runs.crash(at(4)),
        (vec![crashed(1, 1), crashed(2, 2)], at(3))
    );
    assert_eq!(runs.crash(at(5)).0, [], "counted once");
}

#[test]
fn runs_without_a_response_are_bounded_and_expire() {
    let mut runs = TargetRuns::open();
    for f in 0..1000 {
        let ticket = runs.start(f, at(0));
        runs.abandon(ticket, at(1));
    }
    assert_eq!(runs.crash(at(2)).0.len(), 32);
    let ticket = runs.start(1, at(3));
    runs.abandon(ticket, at(3));
    assert_eq!(runs.crash(at(9)).0, []);
}
