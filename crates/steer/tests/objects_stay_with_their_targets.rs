//! Objects stay with their targets: while targets come and go, and under more load than there are
//! slots.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_steer::affinity::{Candidate, RowRules, Rules, choose, row};

const SLOTS: u32 = 3;

fn target(seed: u64) -> Candidate {
    Candidate {
        seed,
        slots: SLOTS,
        weight: 1.0,
        busy: 0,
        room: 2 * SLOTS,
        sound: true,
    }
}

fn fleet(count: u64) -> Vec<Candidate> {
    (0..count).map(|n| target(n + 1)).collect()
}

fn home(object: u64, candidates: &[Candidate]) -> u64 {
    let choice = choose(object, candidates, &Rules::default()).expect("there are targets");
    candidates[choice.index].seed
}

/// A target is lost: its own objects move, and no other.
#[test]
fn only_the_objects_of_a_lost_target_move() {
    let all = fleet(16);
    let rest: Vec<_> = all.iter().copied().filter(|c| c.seed != 5).collect();
    for object in 0..2000 {
        let before = home(object, &all);
        assert!(before == 5 || home(object, &rest) == before);
    }
}

/// Load: one target is full for a moment. What it cannot take goes to the object's next choice, the
/// same one every time, and is warm there.
#[test]
fn overflow_of_an_object_goes_to_the_same_target_every_time() {
    let mut all = fleet(16);
    let own = choose(7, &all, &Rules::default()).unwrap().index;
    all[own].busy = all[own].room;
    let next = choose(7, &all, &Rules::default()).unwrap();
    assert_eq!(next.rank, 1);
    assert!((0..20).all(|_| choose(7, &all, &Rules::default()) == Some(next)));
}

/// Load: saturation. All choices of an object are full, other targets are a little less so. The
/// object stays at its own: sent to the least busy one, every request of the service would be a
/// slow one, and the service would stay saturated after the load that filled it is gone.
#[test]
fn under_saturation_an_object_does_not_leave_its_target() {
    let mut all = fleet(16);
    for candidate in &mut all {
        candidate.busy = 3 * SLOTS;
    }
    let least = choose(8, &all, &Rules::default()).unwrap().index;
    all[(least + 1) % 16].busy = 2 * SLOTS;
    let choice = choose(8, &all, &Rules::default()).unwrap();
    assert_eq!((choice.index, choice.rank), (least, 0));
}

type Regions = BTreeMap<Arc<str>, f64>;

fn regions(numbers: [(&str, f64); 3]) -> Regions {
    numbers
        .into_iter()
        .map(|(name, number)| (name.into(), number))
        .collect()
}

/// Load on each region's slots, against their share of all slots, with callers of all regions.
fn loads(slots: &Regions, demand: &Regions) -> Regions {
    let (all_slots, all): (f64, f64) = (slots.values().sum(), demand.values().sum());
    let mut loads = Regions::new();
    for (near, calls) in demand {
        for (region, weight) in row(near, slots, demand, &RowRules::default()) {
            let share = weight * slots[&region];
            *loads.entry(region).or_default() += share * calls / all;
        }
    }
    for (region, load) in &mut loads {
        *load /= slots[region] / all_slots;
    }
    loads
}

/// A region has an eighth of the slots and a third of the callers. It keeps what its slots allow, no
/// region is overrun, and those with slots to spare keep most of their own.
#[test]
fn a_small_region_is_not_overrun_by_its_own_callers() {
    let slots = regions([("a", 6.0), ("b", 18.0), ("c", 24.0)]);
    let demand = regions([("a", 2.0), ("b", 2.0), ("c", 2.0)]);
    let loads = loads(&slots, &demand);
    assert!(
        loads.values().all(|load| (0.8..1.2).contains(load)),
        "{loads:?}"
    );
    let own = |near: &str| row(near, &slots, &demand, &RowRules::default())[near] * slots[near];
    assert!(own("a") < 0.4 && own("b") > 0.8 && own("c") > 0.8);
}

#[test]
fn a_row_shares_everything_and_leaves_no_region_with_slots_out() {
    let demand = regions([("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    for numbers in [
        [1.0, 1.0, 1.0],
        [1.0, 50.0, 2.0],
        [0.0, 5.0, 5.0],
        [7.0, 0.0, 0.0],
    ] {
        let slots = regions([("a", numbers[0]), ("b", numbers[1]), ("c", numbers[2])]);
        let row = row("a", &slots, &demand, &RowRules::default());
        let all: f64 = row
            .iter()
            .map(|(region, weight)| weight * slots[region])
            .sum();
        assert!((all - 1.0).abs() < 1e-9, "{numbers:?}: {row:?}");
        assert!(
            row.values().all(|weight| *weight > 0.0),
            "{numbers:?}: {row:?}"
        );
    }
}

/// One target of a region is lost. The rows move a little, and so do few objects beside its own.
#[test]
fn the_loss_of_one_target_moves_few_objects_of_others() {
    let demand = regions([("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let fleet = |count: [u64; 3]| {
        let names = ["a", "b", "c"];
        let slots = regions([0, 1, 2].map(|n| (names[n], (count[n] * 3) as f64)));
        let row = row("a", &slots, &demand, &RowRules::default());
        let mut all = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let weight = row[*name];
            all.extend((0..count[n]).map(|m| Candidate {
                weight,
                ..target(n as u64 * 100 + m)
            }));
        }
        all
    };
    let (before, after) = (fleet([2, 6, 8]), fleet([2, 6, 7]));
    let moved = (0..4000).filter(|object| {
        let was = home(*object, &before);
        was != 207 && home(*object, &after) != was
    });
    let moved = moved.count();
    assert!(moved < 4000 / 12, "{moved} of 4000");
}

#[test]
fn objects_are_spread_by_slots() {
    let all: Vec<_> = (1..=10).map(target).collect();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for object in 0..10_000 {
        *counts.entry(home(object, &all)).or_default() += 1;
    }
    assert!(
        counts.values().all(|n| (850..1150).contains(n)),
        "{counts:?}"
    );
}

#[test]
fn a_target_that_does_not_answer_is_used_only_where_no_other_is_left() {
    let mut all = fleet(3);
    all[0].sound = false;
    all[1].sound = false;
    assert!((0..100).all(|object| home(object, &all) == all[2].seed));
    all[2].sound = false;
    assert!(choose(1, &all, &Rules::default()).is_some());
    assert!(choose(1, &[], &Rules::default()).is_none());
}
