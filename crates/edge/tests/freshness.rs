//! Age limit of a host's data: random paths from the store through hosts to a host that
//! authenticates keys.

use std::time::Duration;

use dunlinrock_edge::host::{confirmed_at, max_key_age};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time after which a revoked key is no longer accepted.
const REVOKE: Duration = Duration::from_secs(5);

/// A store that is about to compact its history answers no watch for this long.
const COMPACTION_SILENCE: Duration = Duration::from_secs(1);

/// A call from a host to its source.
#[derive(Clone, Copy, Debug)]
struct Hop {
    /// Time between the last response and this call.
    pause: Duration,
    /// Time of the request, of the long poll at the other host, and of the response.
    outbound: Duration,
    held: Duration,
    inbound: Duration,
    /// Time for which the calling host is suspended after the response.
    frozen: Duration,
}

/// Mostly short times, as in normal operation.
fn time(max_ms: u64) -> impl Strategy<Value = Duration> {
    prop_oneof![4 => 0..max_ms.min(120), 1 => 0..max_ms].prop_map(Duration::from_millis)
}

fn hop() -> impl Strategy<Value = Hop> {
    let times = (time(900), time(2000), time(250), time(4000), time(6000));
    times.prop_map(|(pause, outbound, held, inbound, frozen)| Hop {
        pause,
        outbound,
        held,
        inbound,
        frozen,
    })
}

/// Fixed seed: the same cases in every run.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(37),
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against keys that are accepted after their revocation deadline. Responses are delayed
    /// for seconds, and hosts hold long polls, freeze and sleep. A host that computed the age of
    /// its data from the arrival of a response would accept a key longer by the time that the
    /// response was under way.
    #[test]
    fn no_key_is_accepted_after_its_revocation_deadline(
        first in hop(),
        hops in proptest::collection::vec(hop(), 0..5),
        silence in time(1000),
    ) {
        // The store answers the first host with its content at that time, or up to a second
        // earlier.
        let start = Duration::from_secs(100);
        let sent = start + first.pause;
        let answered = sent + first.outbound;
        let replicated = answered - silence.min(COMPACTION_SILENCE);
        let mut now = answered + first.inbound + first.frozen;
        let mut confirmed = sent;
        for hop in hops {
            let sent = now + hop.pause;
            let responded = sent + hop.outbound + hop.held;
            let arrived = responded + hop.inbound;
            // The other host's data ages until it sends the response.
            let age = responded - confirmed;
            confirmed = confirmed_at(sent, arrived - sent, hop.held, age);
            now = arrived + hop.frozen;
        }
        // The host accepts keys until then, and a key may have been revoked just after the
        // replicated state.
        let last = confirmed + max_key_age(REVOKE);
        prop_assert!(now > last || last <= replicated + REVOKE, "{now:?} {replicated:?} {confirmed:?}");
    }
}

/// A host with a source in reach accepts keys: with one hop every 250 ms its data is fresh enough.
#[test]
fn data_received_at_normal_intervals_is_fresh_enough() {
    let (one_way, hold) = (Duration::from_millis(40), Duration::from_millis(250));
    let mut confirmed = Duration::from_secs(100);
    let mut now = confirmed + Duration::from_millis(1200);
    for _ in 0..4 {
        let sent = now;
        let responded = sent + one_way + hold;
        confirmed = confirmed_at(sent, one_way * 2 + hold, hold, responded - confirmed);
        now = responded + one_way;
    }
    assert!(
        now + hold - confirmed < max_key_age(REVOKE),
        "{:?}",
        now - confirmed
    );
}

/// A reported hold time that is longer than the whole call is limited to the duration of the call.
#[test]
fn a_hold_time_longer_than_the_call_counts_as_the_call() {
    let sent = Duration::from_secs(9);
    let took = Duration::from_millis(100);
    let confirmed = confirmed_at(sent, took, Duration::from_secs(60), Duration::ZERO);
    assert_eq!(confirmed, sent + took);
}
