//! Exhaustive search over two real ledgers, a network, a caller and targets, for one key.
//!
//! Each search prints the number of states it visited. [`Faults`] can remove each safeguard; the
//! last tests check that the same searches then find the violation.

mod model;

use dunlinrock_once::{Faults, Limits};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use rstest::rstest;

use self::model::{Budget, Model, OWNER, Violation, WITNESS, limits};

const PLAIN: Budget = Budget::PLAIN;

fn successors(model: &Model) -> Vec<Model> {
    model.steps().into_iter().map(|(_, next)| next).collect()
}

/// Visits every reachable state; panics with the steps to a state that violates an invariant.
fn search(name: &str, start: &Model) {
    let mut states = 0;
    for model in bfs_reach(start.clone(), successors) {
        states += 1;
        if let Some(violation) = model.violation {
            panic!(
                "{name}: {violation:?} after {:#?}",
                shortest_path(start, &model)
            );
        }
    }
    println!("{name}: {states} states");
}

/// Returns the steps of a shortest path to a state.
fn shortest_path(start: &Model, end: &Model) -> Vec<String> {
    let path = bfs(start, successors, |model| model == end).expect("the state is reachable");
    let step = |pair: &[Model]| {
        let mut steps = pair[0].steps().into_iter();
        let (step, _) = steps
            .find(|(_, next)| *next == pair[1])
            .expect("a step to the next state");
        format!("{step:?}")
    };
    path.windows(2).map(step).collect()
}

#[rstest]
#[case::late_lost_and_reordered(Budget { attempts: 4, ..PLAIN })]
#[case::one_doubled(Budget { duplicates: 1, ..PLAIN })]
#[case::several_doubled(Budget { attempts: 2, duplicates: 2, ..PLAIN })]
#[case::owner_restarts(Budget {
 attempts: 2, duplicates: 1, restarts: [1, 0], gone_notices: [0, 1], ..PLAIN })]
#[case::witness_restarts(Budget {
 attempts: 2, duplicates: 1, restarts: [0, 1], gone_notices: [1, 0], ..PLAIN })]
#[case::both_restart(Budget { restarts: [1, 1], gone_notices: [1, 1], ..PLAIN })]
#[case::pauses_past_the_epoch(Budget { attempts: 2, duplicates: 1, jumps: [1, 1], ..PLAIN })]
#[case::callers_go_away(Budget { cancels: 1, ..PLAIN })]
#[case::a_second_caller_has_the_key(Budget { attempts: 2, intrusions: 1, ..PLAIN })]
fn no_invariant_is_violated(#[case] budget: Budget) {
    search(&format!("{budget:?}"), &Model::open(limits(), budget));
}

#[rstest]
#[case::owner(Budget { attempts: 2, stops: [1, 0], ..PLAIN })]
#[case::witness(Budget { attempts: 2, stops: [0, 1], ..PLAIN })]
#[case::witness_after_an_epoch(Budget { attempts: 2, stops: [0, 1], jumps: [1, 0], ..PLAIN })]
fn no_invariant_is_violated_by_graceful_shutdowns(#[case] budget: Budget) {
    let start = Model::open(limits(), budget).with_other_key();
    search(&format!("stops, {budget:?}"), &start);
}

#[test]
fn no_invariant_is_violated_by_graceful_shutdowns_of_both() {
    let budget = Budget {
        attempts: 2,
        stops: [1, 1],
        ..PLAIN
    };
    search("both stop", &Model::open(limits(), budget));
}

/// The host's ledger is full and has capacity again when the epoch before the key's expires; the
/// witness may stop and hand over its records at any time.
#[rstest]
#[case::owner(OWNER)]
#[case::witness(WITNESS)]
fn no_invariant_is_violated_by_a_full_ledger(#[case] host: usize) {
    let mut jumps = [0, 0];
    jumps[host] = 1;
    let budget = Budget {
        attempts: 2,
        duplicates: 1,
        stops: [0, 1],
        jumps,
        ..PLAIN
    };
    let start = Model::open(two_epochs(), budget).fill(host).next_epoch();
    search(&format!("full host {host}"), &start);
}

fn two_epochs() -> Limits {
    Limits {
        retained_epochs: 2,
        ..limits()
    }
}

#[test]
fn no_invariant_is_violated_if_answers_are_too_long_to_cache() {
    let limits = Limits {
        max_answer_bytes: 0,
        ..limits()
    };
    search("no answer held", &Model::open(limits, PLAIN));
}

#[test]
fn no_invariant_is_violated_if_the_owner_is_its_own_witness() {
    let budget = Budget {
        duplicates: 2,
        jumps: [1, 0],
        restarts: [1, 0],
        ..PLAIN
    };
    search("solo", &Model::open(limits(), budget).single_host());
}

/// Returns the first violation that a search finds.
fn first_violation(start: Model) -> Option<Violation> {
    let mut found = bfs_reach(start, successors)
        .zip(1..)
        .filter_map(|(model, states)| Some((model.violation?, states)));
    let (violation, states) = found.next()?;
    println!("{violation:?} at state {states}");
    Some(violation)
}

const SOUND: Faults = Faults {
    skip_claim: false,
    ignore_attempts: false,
    run_claimed: false,
    reopen: false,
    any_epoch: false,
    any_caller: false,
    first_part: false,
    lose_handed: false,
    forget_full: false,
    take_leaving: false,
    late_grant: false,
};

#[rstest]
#[case::skip_claim(Faults { skip_claim: true, ..SOUND }, PLAIN, Violation::RanTwice)]
#[case::ignore_attempts(Faults { ignore_attempts: true, ..SOUND }, PLAIN, Violation::FalseNo)]
#[case::run_claimed(Faults { run_claimed: true, ..SOUND }, PLAIN, Violation::RanTwice)]
#[case::reopen(Faults { reopen: true, ..SOUND }, PLAIN, Violation::RanAfterClose)]
#[case::late_grant(Faults { late_grant: true, ..SOUND }, PLAIN, Violation::FalseNo)]
#[case::any_epoch(
    Faults { any_epoch: true, ..SOUND },
    Budget { jumps: [1, 1], ..PLAIN },
    Violation::FalseNo
)]
#[case::any_caller(
    Faults { any_caller: true, ..SOUND },
    Budget { intrusions: 1, ..PLAIN },
    Violation::WrongCaller
)]
#[case::take_leaving(
    Faults { take_leaving: true, ..SOUND },
    Budget { stops: [0, 1], ..PLAIN },
    Violation::RanTwice
)]
fn a_missing_safeguard_is_found(
    #[case] faults: Faults,
    #[case] budget: Budget,
    #[case] violation: Violation,
) {
    let limits = Limits { faults, ..limits() };
    assert_eq!(
        first_violation(Model::open(limits, budget)),
        Some(violation)
    );
}

#[test]
fn a_handover_counted_as_complete_too_early_is_found() {
    let faults = Faults {
        first_part: true,
        ..SOUND
    };
    let budget = Budget {
        stops: [0, 1],
        ..PLAIN
    };
    let start = Model::open(Limits { faults, ..limits() }, budget).with_other_key();
    assert_eq!(first_violation(start), Some(Violation::RanTwice));
}

#[test]
fn an_acknowledged_record_beyond_the_capacity_is_found() {
    let faults = Faults {
        lose_handed: true,
        ..SOUND
    };
    let budget = Budget {
        stops: [0, 1],
        jumps: [1, 0],
        ..PLAIN
    };
    let limits = Limits {
        faults,
        ..two_epochs()
    };
    let start = Model::open(limits, budget).fill(OWNER).next_epoch();
    assert_eq!(first_violation(start), Some(Violation::RanTwice));
}

#[test]
fn a_full_ledger_that_later_accepts_refused_keys_is_found() {
    let faults = Faults {
        forget_full: true,
        ..SOUND
    };
    let budget = Budget {
        attempts: 1,
        duplicates: 1,
        jumps: [1, 0],
        ..PLAIN
    };
    let limits = Limits {
        faults,
        ..two_epochs()
    };
    let start = Model::open(limits, budget).fill(OWNER).next_epoch();
    assert_eq!(first_violation(start), Some(Violation::FalseNo));
}
