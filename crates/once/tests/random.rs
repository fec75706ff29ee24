//! Long random runs over several hosts, keys and restarts.

mod sim;

use std::time::Duration;

use dunlinrock_once::{Faults, Limits};
use proptest::{
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

use self::sim::{Delivery, Event, Sim, Target, call::Reply};

const HOSTS: usize = 4;
const CALLS: usize = 120;
const END: Duration = Duration::from_secs(60);

fn limits() -> Limits {
    Limits {
        max_records: 24,
        answer_bytes: 64,
        epoch_length: Duration::from_secs(5),
        retained_epochs: 2,
        part_records: 3,
        answer_timeout: Duration::from_secs(1),
        ..Limits::default()
    }
}

fn millis(rng: &mut SmallRng, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..max))
}

fn target(rng: &mut SmallRng) -> Target {
    match rng.random_range(0..20) {
        0..4 => Target::Sheds,
        4..6 => Target::CrashesAfterRun,
        6..8 => Target::CrashesBeforeRun,
        8..12 => Target::Answers(millis(rng, 4_000)),
        _ => Target::Answers(Duration::ZERO),
    }
}

fn delivery(rng: &mut SmallRng) -> Delivery {
    match rng.random_range(0..20) {
        0 => Delivery::Drop,
        1 => Delivery::Duplicate(millis(rng, 3_000)),
        2 => Delivery::Delay(millis(rng, 3_000)),
        _ => Delivery::Pass,
    }
}

fn inject_host_fault(sim: &mut Sim, rng: &mut SmallRng) {
    let host = rng.random_range(0..HOSTS);
    match rng.random_range(0..40) {
        0..2 => sim.restart(host),
        2..5 => {
            let time = millis(rng, 15_000);
            sim.pause(host, time);
        }
        5..7 => {
            sim.stop(host);
            let when = sim.now + Duration::from_secs(8);
            sim.at(when, Event::Restart(host));
        }
        7 => {
            // A false report: the host is running.
            let incarnation = sim.incarnation(host).expect("hosts restart immediately");
            sim.at(sim.now, Event::Gone(incarnation));
        }
        _ => {}
    }
}

/// Runs the simulation with one seed.
fn run(seed: u64, limits: Limits) -> Sim {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut net = SmallRng::seed_from_u64(!seed);
    let faults = move |_: &mut Sim, packet: &sim::Packet| {
        let target = target(&mut net);
        // A target receives a request at most once, on a connection of the host.
        let delivery = match packet {
            sim::Packet::Send { .. } | sim::Packet::Done { .. } => Delivery::Pass,
            _ => delivery(&mut net),
        };
        (delivery, Some(target))
    };
    let mut sim = Sim::open(HOSTS, limits, Box::new(faults));
    for _ in 0..CALLS {
        let until = sim.now + millis(&mut rng, 1_000);
        sim.run_until(until);
        inject_host_fault(&mut sim, &mut rng);
        let owner = rng.random_range(0..HOSTS);
        let witness = rng.random_range(0..HOSTS);
        let first = usize::from(rng.random_range(0..5) == 0);
        let caller = rng.random();
        sim.call(caller, [owner, witness], first);
    }
    let end = sim.now + END;
    sim.run_until(end);
    sim
}

/// Checks a run, and returns the numbers of calls that ended with an answer and with a refusal.
fn check(sim: &Sim, seed: u64) -> (usize, usize) {
    let (mut answered, mut refused) = (0, 0);
    for call in &sim.calls {
        assert!(call.violations.is_empty(), "seed {seed}: {call:?}");
        match &call.final_reply {
            Some(Reply::Answer(_)) => answered += 1,
            Some(Reply::Refused(..)) => refused += 1,
            None => {}
        }
    }
    assert!(sim.peak.0 <= sim.limits.max_records, "seed {seed}: records");
    assert!(
        sim.peak.1 <= sim.limits.answer_bytes,
        "seed {seed}: answer bytes"
    );
    (answered, refused)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_invariant_is_violated_in_long_random_runs(seed in any::<u64>()) {
        check(&run(seed, limits()), seed);
    }
}

#[test]
fn random_runs_end_calls_with_answers_and_with_refusals() {
    let sum = |(a, b): (usize, usize), (c, d): (usize, usize)| (a + c, b + d);
    let (answered, refused) = (0..20)
        .map(|seed| check(&run(seed, limits()), seed))
        .fold((0, 0), sum);
    println!(
        "of {} calls: {answered} answered, {refused} refused with `no` or `yes`",
        20 * CALLS
    );
    assert!(answered > 20 * CALLS / 4, "{answered} answered");
    assert!(
        refused > 20 * CALLS / 50,
        "{refused} refused with `no` or `yes`"
    );
}

/// Without one safeguard, the same runs violate an invariant: they reach the states that matter.
#[rstest]
#[case::skip_claim(Faults { skip_claim: true, ..Faults::default() })]
#[case::ignore_attempts(Faults { ignore_attempts: true, ..Faults::default() })]
#[case::run_claimed(Faults { run_claimed: true, ..Faults::default() })]
#[case::reopen(Faults { reopen: true, ..Faults::default() })]
#[case::any_epoch(Faults { any_epoch: true, ..Faults::default() })]
#[case::late_grant(Faults { late_grant: true, ..Faults::default() })]
fn random_runs_find_a_missing_safeguard(#[case] faults: Faults) {
    let limits = Limits { faults, ..limits() };
    let violations = |seed| {
        run(seed, limits)
            .calls
            .iter()
            .any(|call| !call.violations.is_empty())
    };
    let found = (0..100).filter(|seed| violations(*seed)).count();
    println!("{faults:?}: found by {found} of 100 runs");
    assert!(found > 0);
}
