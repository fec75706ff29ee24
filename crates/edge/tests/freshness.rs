//! How old what a host believes may be: random ways from the store through hosts to a host that serves keys.

use std::time::Duration;

use dunlinrock_edge::host::{confirmed_at, max_key_age};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time after which a key that was taken away serves no more.
const REVOKE: Duration = Duration::from_secs(5);

/// A store that is about to drop its history tells waiting hosts nothing for this long.
const COMPACTION_SILENCE: Duration = Duration::from_secs(1);

/// One call of a host to the one before it.
#[derive(Clone, Copy, Debug)]
struct Hop {
    /// From the last answer to this call.
    pause: Duration,
    /// On the way there, at the other host, and on the way back.
    outbound: Duration,
    held: Duration,
    inbound: Duration,
    /// What the asking host does between the answer and the next step.
    frozen: Duration,
}

/// Mostly short, as they are while nothing is wrong.
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

/// The same cases every time.
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

    /// Answers are lost for seconds, hosts hold them back, freeze and sleep. A host that counted the age of its
    /// word from an answer's arrival would serve a key for as long as the answer was on its way.
    #[test]
    fn no_key_is_accepted_after_its_revocation_deadline(
        first in hop(),
        hops in proptest::collection::vec(hop(), 0..5),
        silence in time(1000),
    ) {
        // The store answers the first host with what it held then, or up to a second before.
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
            // The other host goes on as it was: its age grows until it gives the answer.
            let age = responded - confirmed;
            confirmed = confirmed_at(sent, arrived - sent, hop.held, age);
            now = arrived + hop.frozen;
        }
        // It serves until then, and a key may have been taken away just after what is known.
        let last = confirmed + max_key_age(REVOKE);
        prop_assert!(now > last || last <= replicated + REVOKE, "{now:?} {replicated:?} {confirmed:?}");
    }
}

/// A host in touch with the store serves keys: with a hop every quarter of a second its word is young enough.
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

/// Another host that says that it held an answer for longer than the whole call took is not believed.
#[test]
fn a_hold_time_longer_than_the_call_counts_as_the_call() {
    let sent = Duration::from_secs(9);
    let took = Duration::from_millis(100);
    let confirmed = confirmed_at(sent, took, Duration::from_secs(60), Duration::ZERO);
    assert_eq!(confirmed, sent + took);
}
