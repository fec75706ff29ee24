//! Routes without a gain from affinity, and far regions.

use dunlinrock_steer::affinity::{
    AffinityConfig, Candidate, Choice, choose_affine, choose_least_loaded,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Duration of a run, and the longest time until a response that counts as in time, in
/// milliseconds.
const RUN: u64 = 100;
const IN_TIME: u64 = 170;
/// Requests that a target runs or queues per slot.
const QUEUE: u32 = 2;

fn target(name_hash: u64, slots: u32, is_local: bool, rtt_ratio: f64) -> Candidate {
    Candidate {
        name_hash,
        slots,
        is_local,
        rtt_ratio,
        busy: 0,
        healthy: true,
    }
}

type Pick = fn(u64, &[Candidate], &AffinityConfig) -> Option<Choice>;

/// Simulates `rate` requests per second to 12 targets for 60 s; of 40 objects a few are requested
/// most. Returns the fractions of requests with a response in time and of refused ones.
fn simulate(slots: u32, rate: f64, pick: Pick, draws: bool) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut targets: Vec<_> = (1..=12).map(|s| target(s, slots, true, 0.0)).collect();
    // Time at which each slot is free again, by target.
    let mut free = vec![vec![0_u64; slots as usize]; targets.len()];
    let (mut requests, mut in_time, mut refused) = (0_u32, 0_u32, 0_u32);
    for now in 0..60_000 {
        if !rng.random_bool(rate / 1000.0) {
            continue;
        }
        requests += 1;
        for (target, free) in targets.iter_mut().zip(&free) {
            let waits = free.iter().map(|at| at.saturating_sub(now).div_ceil(RUN));
            target.busy = u32::try_from(waits.sum::<u64>()).unwrap();
        }
        let object = rng.random_range(0..40_u64).min(rng.random_range(0..40));
        let point = if draws { rng.random() } else { object };
        let index = pick(point, &targets, &AffinityConfig::default())
            .unwrap()
            .index;
        if targets[index].busy >= slots * QUEUE {
            refused += 1;
            continue;
        }
        let slot = free[index].iter_mut().min().unwrap();
        *slot = (*slot).max(now) + RUN;
        in_time += u32::from(*slot - now <= IN_TIME);
    }
    let share = |count: u32| f64::from(count) / f64::from(requests);
    (share(in_time), share(refused))
}

/// Saturation, with a few objects that are requested most, on a route where any target responds
/// equally fast. At their objects' preferred targets, requests wait and are refused while other
/// slots are free; sent to the least busy of a few targets, nearly all get a response in time.
#[test]
fn requests_without_affinity_go_to_idle_targets() {
    let (by_affinity, refused_by_affinity) = simulate(3, 250.0, choose_affine, false);
    let (drawn, refused) = simulate(3, 250.0, choose_least_loaded, true);
    assert!(
        drawn > 0.97 && refused < 0.001,
        "{drawn}, {refused} refused"
    );
    assert!(by_affinity < drawn - 0.1, "{by_affinity} against {drawn}");
    assert!(refused_by_affinity > refused, "{refused_by_affinity}");
}

/// A burst in one region, whose targets are busy but not full. Its callers' requests must not spill
/// over to the other region, which would swing back a moment later.
#[test]
fn a_busy_region_keeps_its_share_of_requests() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut share = |busy| {
        let local = (1..=4).map(|s| Candidate {
            busy,
            ..target(s, 3, true, 0.0)
        });
        let remote = (5..=12).map(|s| target(s, 3, false, 0.1));
        let all: Vec<_> = local.chain(remote).collect();
        let picks = (0..4000).filter(|_| {
            let choice =
                choose_least_loaded(rng.random(), &all, &AffinityConfig::default()).unwrap();
            all[choice.index].is_local
        });
        picks.count() as f64 / 4000.0
    };
    let (idle, busy) = (share(0), share(2));
    assert!((idle - busy).abs() < 0.05, "{idle}, {busy}");
    assert!(share(3) < idle, "full targets must give some requests away");
}

/// Regions far apart. If the round trip takes most of the objective, an object's preferred target
/// is nearly always a local one; if it takes a twentieth, remote targets keep their share.
#[test]
fn remote_targets_get_few_objects_if_the_round_trip_takes_the_objective() {
    let remote_share = |rtt_ratio| {
        let local = (1..=4).map(|s| target(s, 3, true, 0.0));
        let remote = (5..=12).map(|s| target(s, 3, false, rtt_ratio));
        let all: Vec<_> = local.chain(remote).collect();
        let choices = (0..4000)
            .map(|object| choose_affine(object, &all, &AffinityConfig::default()).unwrap());
        let remote = choices.filter(|choice| !all[choice.index].is_local).count();
        remote as f64 / 4000.0
    };
    let unknown = remote_share(0.0);
    assert!((remote_share(0.05) - unknown).abs() < 0.02);
    assert!(remote_share(0.9) < 0.03, "{}", remote_share(0.9));
    // Hosts with slightly different measurements must agree on nearly all objects.
    assert!((remote_share(0.25) - remote_share(0.26)).abs() < 0.02);
}
