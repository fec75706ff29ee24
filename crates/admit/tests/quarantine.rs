//! Suspects and confirmed requests of the quarantine.

use std::time::Duration;

use dunlinrock_admit::{CrashedRun, Quarantine, QuarantineStatus, QuarantineUpdate};

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
