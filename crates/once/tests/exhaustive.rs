//! Exhaustive search over two real ledgers, a network, a caller and targets, for one key.
//!
//! Each search prints the number of states it visited. Each safeguard has a switch that removes it
//! ([`Faults`]); the last tests see that the same searches find what is broken then.

mod world;

use dunlinrock_once::{Faults, Limits};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use rstest::rstest;

use self::world::{Broken, Budget, OWNER, WITNESS, World, limits};

const PLAIN: Budget = Budget::PLAIN;

fn next(world: &World) -> Vec<World> {
    world.steps().into_iter().map(|(_, next)| next).collect()
}

/// Visits every state that can be reached; panics with the way to one that breaks a promise.
fn search(name: &str, start: &World) {
    let mut states = 0;
    for world in bfs_reach(start.clone(), next) {
        states += 1;
        if let Some(broken) = world.broken {
            panic!("{name}: {broken:?} after {:#?}", way_to(start, &world));
        }
    }
    println!("{name}: {states} states");
}

/// The steps of a shortest way to a state.
fn way_to(start: &World, end: &World) -> Vec<String> {
    let way = bfs(start, next, |world| world == end).expect("it was reached");
    let step = |pair: &[World]| {
        let mut steps = pair[0].steps().into_iter();
        let (step, _) = steps.find(|(_, next)| *next == pair[1]).expect("a step");
        format!("{step:?}")
    };
    way.windows(2).map(step).collect()
}

#[rstest]
#[case::late_lost_and_reordered(Budget { attempts: 4, ..PLAIN })]
#[case::one_doubled(Budget { doubles: 1, ..PLAIN })]
#[case::several_doubled(Budget { attempts: 2, doubles: 2, ..PLAIN })]
#[case::owner_restarts(Budget {
 attempts: 2, doubles: 1, restarts: [1, 0], words: [0, 1], ..PLAIN })]
#[case::witness_restarts(Budget {
 attempts: 2, doubles: 1, restarts: [0, 1], words: [1, 0], ..PLAIN })]
#[case::both_restart(Budget { restarts: [1, 1], words: [1, 1], ..PLAIN })]
#[case::pauses_past_the_epoch(Budget { attempts: 2, doubles: 1, jumps: [1, 1], ..PLAIN })]
#[case::callers_go_away(Budget { cancels: 1, ..PLAIN })]
#[case::a_second_caller_has_the_key(Budget { attempts: 2, intrusions: 1, ..PLAIN })]
fn no_promise_is_broken(#[case] budget: Budget) {
    search(&format!("{budget:?}"), &World::open(limits(), budget));
}

#[rstest]
#[case::owner(Budget { attempts: 2, stops: [1, 0], ..PLAIN })]
#[case::witness(Budget { attempts: 2, stops: [0, 1], ..PLAIN })]
#[case::witness_after_an_epoch(Budget { attempts: 2, stops: [0, 1], jumps: [1, 0], ..PLAIN })]
fn no_promise_is_broken_by_planned_stops(#[case] budget: Budget) {
    let start = World::open(limits(), budget).with_other_key();
    search(&format!("stops, {budget:?}"), &start);
}

#[test]
fn no_promise_is_broken_by_planned_stops_of_both() {
    let budget = Budget {
        attempts: 2,
        stops: [1, 1],
        ..PLAIN
    };
    search("both stop", &World::open(limits(), budget));
}

/// The host's ledger is full, gets room when the epoch before the key's ends, and the witness may
/// stop and hand over at any moment.
#[rstest]
#[case::owner(OWNER)]
#[case::witness(WITNESS)]
fn no_promise_is_broken_by_a_full_ledger(#[case] host: usize) {
    let mut jumps = [0, 0];
    jumps[host] = 1;
    let budget = Budget {
        attempts: 2,
        doubles: 1,
        stops: [0, 1],
        jumps,
        ..PLAIN
    };
    let start = World::open(two_epochs(), budget).fill(host).next_epoch();
    search(&format!("full host {host}"), &start);
}

fn two_epochs() -> Limits {
    Limits {
        retained_epochs: 2,
        ..limits()
    }
}

#[test]
fn no_promise_is_broken_where_answers_are_too_long_to_hold() {
    let limits = Limits {
        max_answer_bytes: 0,
        ..limits()
    };
    search("no answer held", &World::open(limits, PLAIN));
}

#[test]
fn no_promise_is_broken_where_the_owner_is_its_own_witness() {
    let budget = Budget {
        doubles: 2,
        jumps: [1, 0],
        restarts: [1, 0],
        ..PLAIN
    };
    search("solo", &World::open(limits(), budget).solo());
}

/// The first broken promise that a search finds.
fn first_broken(start: World) -> Option<Broken> {
    let mut found = bfs_reach(start, next)
        .zip(1..)
        .filter_map(|(world, states)| Some((world.broken?, states)));
    let (broken, states) = found.next()?;
    println!("{broken:?} at state {states}");
    Some(broken)
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
#[case::skip_claim(Faults { skip_claim: true, ..SOUND }, PLAIN, Broken::RanTwice)]
#[case::ignore_attempts(Faults { ignore_attempts: true, ..SOUND }, PLAIN, Broken::FalseNo)]
#[case::run_claimed(Faults { run_claimed: true, ..SOUND }, PLAIN, Broken::RanTwice)]
#[case::reopen(Faults { reopen: true, ..SOUND }, PLAIN, Broken::RanWhenDead)]
#[case::late_grant(Faults { late_grant: true, ..SOUND }, PLAIN, Broken::FalseNo)]
#[case::any_epoch(
    Faults { any_epoch: true, ..SOUND },
    Budget { jumps: [1, 1], ..PLAIN },
    Broken::FalseNo
)]
#[case::any_caller(
    Faults { any_caller: true, ..SOUND },
    Budget { intrusions: 1, ..PLAIN },
    Broken::WrongCaller
)]
#[case::take_leaving(
    Faults { take_leaving: true, ..SOUND },
    Budget { stops: [0, 1], ..PLAIN },
    Broken::RanTwice
)]
fn a_missing_safeguard_is_found(
    #[case] faults: Faults,
    #[case] budget: Budget,
    #[case] broken: Broken,
) {
    let limits = Limits { faults, ..limits() };
    assert_eq!(first_broken(World::open(limits, budget)), Some(broken));
}

#[test]
fn a_hand_over_taken_as_whole_too_early_is_found() {
    let faults = Faults {
        first_part: true,
        ..SOUND
    };
    let budget = Budget {
        stops: [0, 1],
        ..PLAIN
    };
    let start = World::open(Limits { faults, ..limits() }, budget).with_other_key();
    assert_eq!(first_broken(start), Some(Broken::RanTwice));
}

#[test]
fn a_handed_record_without_room_that_is_acknowledged_is_found() {
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
    let start = World::open(limits, budget).fill(OWNER).next_epoch();
    assert_eq!(first_broken(start), Some(Broken::RanTwice));
}

#[test]
fn a_full_ledger_that_forgets_whom_it_turned_away_is_found() {
    let faults = Faults {
        forget_full: true,
        ..SOUND
    };
    let budget = Budget {
        attempts: 1,
        doubles: 1,
        jumps: [1, 0],
        ..PLAIN
    };
    let limits = Limits {
        faults,
        ..two_epochs()
    };
    let start = World::open(limits, budget).fill(OWNER).next_epoch();
    assert_eq!(first_broken(start), Some(Broken::FalseNo));
}
