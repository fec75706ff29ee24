//! Objects stay at their targets: while targets join and leave, and under more load than there are
//! slots.

use std::collections::BTreeMap;

use dunlinrock_steer::affinity::{AffinityConfig, Candidate, choose_affine};

const SLOTS: u32 = 3;

fn target(name_hash: u64, is_local: bool) -> Candidate {
    Candidate {
        name_hash,
        slots: SLOTS,
        is_local,
        rtt_ratio: 0.0,
        busy: 0,
        healthy: true,
    }
}

fn fleet(count: u64) -> Vec<Candidate> {
    (0..count).map(|n| target(n + 1, n % 3 == 0)).collect()
}

fn preferred_target(object: u64, candidates: &[Candidate]) -> u64 {
    let choice =
        choose_affine(object, candidates, &AffinityConfig::default()).expect("there are targets");
    candidates[choice.index].name_hash
}

/// When a target is lost, only its own objects move.
#[test]
fn only_the_objects_of_a_lost_target_move() {
    let all = fleet(16);
    let rest: Vec<_> = all.iter().copied().filter(|c| c.name_hash != 5).collect();
    for object in 0..2000 {
        let before = preferred_target(object, &all);
        assert!(before == 5 || preferred_target(object, &rest) == before);
    }
}

/// One target is full for a moment. The requests that it cannot take must go to the object's
/// fallback, the same one every time, where the object is then warm.
#[test]
fn overflow_of_an_object_always_goes_to_the_same_target() {
    let mut all = fleet(16);
    let preferred = choose_affine(7, &all, &AffinityConfig::default())
        .unwrap()
        .index;
    all[preferred].busy = 2 * SLOTS;
    let next = choose_affine(7, &all, &AffinityConfig::default()).unwrap();
    assert_eq!(next.rank, 1);
    assert!((0..20).all(|_| choose_affine(7, &all, &AffinityConfig::default()) == Some(next)));
}

/// Under saturation all targets of an object's ranking are full, and other targets are slightly
/// less full. The object must stay at its preferred target: if its requests went to the least busy
/// target, every run of the service would be a slow one, and the service would stay saturated after
/// the load that filled it has gone.
#[test]
fn under_saturation_an_object_stays_at_its_target() {
    let mut all = fleet(16);
    for candidate in &mut all {
        candidate.busy = 3 * SLOTS;
    }
    let preferred = choose_affine(8, &all, &AffinityConfig::default())
        .unwrap()
        .index;
    all[(preferred + 1) % 16].busy = 2 * SLOTS;
    let choice = choose_affine(8, &all, &AffinityConfig::default()).unwrap();
    assert_eq!((choice.index, choice.rank), (preferred, 0));
}

/// A small region's local targets get more of its objects than remote ones, but not all: its number
/// of callers swings, and the slots of the other regions even that out.
#[test]
fn local_targets_get_more_objects_than_remote_ones() {
    let all = fleet(18);
    let mut local = 0;
    for object in 0..6000 {
        let choice = choose_affine(object, &all, &AffinityConfig::default()).unwrap();
        local += u32::from(all[choice.index].is_local);
    }
    // 6 local targets of weight 3 and 12 remote ones of weight 1: 18 of 30.
    assert!((3400..3800).contains(&local), "{local}");
}

#[test]
fn objects_are_spread_by_slots() {
    let all: Vec<_> = (1..=10).map(|n| target(n, false)).collect();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for object in 0..10_000 {
        *counts.entry(preferred_target(object, &all)).or_default() += 1;
    }
    assert!(
        counts.values().all(|n| (850..1150).contains(n)),
        "{counts:?}"
    );
}

#[test]
fn unhealthy_targets_are_used_only_if_no_other_is_left() {
    let mut all = fleet(3);
    all[0].healthy = false;
    all[1].healthy = false;
    assert!((0..100).all(|object| preferred_target(object, &all) == all[2].name_hash));
    all[2].healthy = false;
    assert!(choose_affine(1, &all, &AffinityConfig::default()).is_some());
    assert!(choose_affine(1, &[], &AffinityConfig::default()).is_none());
}
