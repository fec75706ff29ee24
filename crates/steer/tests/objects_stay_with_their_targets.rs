//! Objects stay with their targets: while targets come and go, and under more load than there are
//! slots.

use std::collections::BTreeMap;

use dunlinrock_steer::affinity::{Candidate, Rules, choose};

const SLOTS: u32 = 3;

fn target(seed: u64, near: bool) -> Candidate {
    Candidate {
        seed,
        slots: SLOTS,
        near,
        way: 0.0,
        busy: 0,
        sound: true,
    }
}

fn fleet(count: u64) -> Vec<Candidate> {
    (0..count).map(|n| target(n + 1, n % 3 == 0)).collect()
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
    all[own].busy = 2 * SLOTS;
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

/// A small region's own targets get more of its objects than others, and not all: its callers'
/// number swings, and the other regions' slots even that out.
#[test]
fn near_targets_get_more_objects_and_far_ones_the_rest() {
    let all = fleet(18);
    let mut near = 0;
    for object in 0..6000 {
        let choice = choose(object, &all, &Rules::default()).unwrap();
        near += u32::from(all[choice.index].near);
    }
    // 6 near targets of weight 3 beside 12 of weight 1: 18 of 30.
    assert!((3400..3800).contains(&near), "{near}");
}

#[test]
fn objects_are_spread_by_slots() {
    let all: Vec<_> = (1..=10).map(|n| target(n, false)).collect();
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
