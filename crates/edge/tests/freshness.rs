//! How old what a host believes may be: random ways from the store through hosts to a host that serves keys.

use std::time::Duration;

use dunlinrock_edge::host::{confirmed_at, max_key_age};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time after which a key that was taken away serves no more.
const REVOKE: Duration = Duration::from_secs(5);

/// A store that is about to drop its history tells waiting hosts nothing for this long.
const DEAF: Duration = Duration::from_secs(1);

/// One call of a host to the one before it.
#[derive(Clone, Copy, Debug)]
struct Hop {
    /// From the last answer to this call.
    pause: Duration,
    /// On the way there, at the other host, and on the way back.
    there: Duration,
    held: Duration,
    back: Duration,
    /// What the asking host does between the answer and the next step.
    frozen: Duration,
}

/// Mostly short, as they are while nothing is wrong.
fn time(most: u64) -> impl Strategy<Value = Duration> {
    prop_oneof![4 => 0..most.min(120), 1 => 0..most].prop_map(Duration::from_millis)
}

fn hop() -> impl Strategy<Value = Hop> {
    let times = (time(900), time(2000), time(250), time(4000), time(6000));
    times.prop_map(|(pause, there, held, back, frozen)| Hop {
        pause,
        there,
        held,
        back,
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
    fn no_key_serves_beyond_its_bound(
        first in hop(),
        hops in proptest::collection::vec(hop(), 0..5),
        deaf in time(1000),
    ) {
        // The store answers the first host with what it held then, or up to a second before.
        let start = Duration::from_secs(100);
        let sent = start + first.pause;
        let answered = sent + first.there;
        let known = answered - deaf.min(DEAF);
        let mut now = answered + first.back + first.frozen;
        let mut proved = sent;
        for hop in hops {
            let sent = now + hop.pause;
            let given = sent + hop.there + hop.held;
            let arrived = given + hop.back;
            // The other host goes on as it was: its age grows until it gives the answer.
            let age = given - proved;
            proved = confirmed_at(sent, arrived - sent, hop.held, age);
            now = arrived + hop.frozen;
        }
        // It serves until then, and a key may have been taken away just after what is known.
        let last = proved + max_key_age(REVOKE);
        prop_assert!(now > last || last <= known + REVOKE, "{now:?} {known:?} {proved:?}");
    }
}

/// A host in touch with the store serves keys: with a hop every quarter of a second its word is young enough.
#[test]
fn word_that_comes_as_usual_is_young_enough() {
    let (way, hold) = (Duration::from_millis(40), Duration::from_millis(250));
    let mut proved = Duration::from_secs(100);
    let mut now = proved + Duration::from_millis(1200);
    for _ in 0..4 {
        let sent = now;
        let given = sent + way + hold;
        proved = confirmed_at(sent, way * 2 + hold, hold, given - proved);
        now = given + way;
    }
    assert!(
        now + hold - proved < max_key_age(REVOKE),
        "{:?}",
        now - proved
    );
}

/// Another host that says that it held an answer for longer than the whole call took is not believed.
#[test]
fn a_held_time_beyond_the_call_counts_as_the_call() {
    let sent = Duration::from_secs(9);
    let took = Duration::from_millis(100);
    let proved = confirmed_at(sent, took, Duration::from_secs(60), Duration::ZERO);
    assert_eq!(proved, sent + took);
}
