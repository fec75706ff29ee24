//! What targets say about themselves: how long it holds, and how a backoff ends.

use std::time::Duration;

use dunlinrock_admit::direct::{Admission, Notices, Process};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn process(id: &str, born: u64) -> Process {
    Process {
        id: id.into(),
        born,
    }
}

/// Guards against a shorter time, or an answer to an earlier request, that ends a backoff.
#[test]
fn a_backoff_lasts_until_its_latest_end() {
    let (mut notices, target) = (Notices::open(), process("t", 0));
    assert!(notices.record_backoff(target.clone(), ms(3000), ms(0)));
    assert!(!notices.record_backoff(target.clone(), ms(500), ms(100)));
    assert!(!notices.record_backoff(target.clone(), ms(0), ms(100)));
    notices.record_answer(&target, 1, ms(200));
    let admission = notices.admission(&target, 0, ms(2999));
    assert_eq!(admission, Admission::Backoff(ms(1)));
    assert_eq!(notices.admission(&target, 0, ms(3000)), Admission::Open);
    assert!(notices.record_backoff(target.clone(), Duration::MAX, ms(3000)));
    let later = notices.admission(&target, 0, Duration::from_secs(1 << 40));
    assert!(matches!(later, Admission::Backoff(_)));
}

/// Guards against the requests that waited for the end of a backoff and arrive all at once.
#[test]
fn after_a_backoff_requests_in_flight_grow_with_the_answers() {
    let (mut notices, target) = (Notices::open(), process("t", 0));
    notices.record_backoff(target.clone(), ms(100), ms(0));
    for window in 1..4 {
        let admission = |in_flight| notices.admission(&target, in_flight, ms(200));
        assert_eq!(admission(window - 1), Admission::Open);
        assert_eq!(admission(window), Admission::Ramping);
        notices.record_answer(&target, 4, ms(200));
    }
    assert_eq!(notices.admission(&target, 9, ms(200)), Admission::Open);
    assert!(notices.is_empty());
}

/// Guards against a notice that ends before its process, or outlives it.
#[test]
fn leaving_holds_for_the_process_alone() {
    let mut notices = Notices::open();
    assert!(notices.record_leaving(process("t", 1), ms(0)));
    assert!(!notices.record_leaving(process("t", 1), ms(10)));
    notices.record_answer(&process("t", 1), 4, ms(20));
    let admission =
        |id, born| notices.admission(&process(id, born), 0, Duration::from_secs(1 << 30));
    assert_eq!(admission("t", 1), Admission::Leaving);
    assert_eq!(admission("t", 2), Admission::Open);
    assert_eq!(admission("u", 1), Admission::Open);
}

/// Guards against memory that grows with every target that ever left.
#[test]
fn the_notices_of_the_oldest_processes_are_forgotten() {
    let mut notices = Notices::open();
    for n in 0..10_000 {
        notices.record_leaving(process(&n.to_string(), 0), ms(n));
    }
    let closed = notices.closed(ms(20_000));
    assert!(closed.len() < 5_000, "{}", closed.len());
    assert!(closed.contains(&(process("9999", 0), Admission::Leaving)));
}
