//! A service with more load than it has slots for cold runs, and a burst on top.

use std::collections::VecDeque;

use dunlinrock_steer::affinity::{AffinityConfig, Candidate, choose_affine};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TARGETS: u64 = 16;
const SLOTS: usize = 3;
/// Requests that a target queues in addition to those it runs.
const QUEUE: usize = 9;
const OBJECTS: u64 = 264;
/// Objects that a target keeps warm.
const WARM: usize = 35;
/// Times in milliseconds.
const WARM_RUN: u64 = 330;
const COLD_RUN: u64 = 900;
const IN_TIME: u64 = 700;
const TICK: u64 = 10;

/// A target that runs a recently requested object in a third of the time.
#[derive(Default)]
struct Target {
    /// End of each run, with its object and its time of arrival.
    running: Vec<(u64, u64, u64)>,
    queue: VecDeque<(u64, u64)>,
    warm: VecDeque<u64>,
}

impl Target {
    fn busy(&self) -> u32 {
        u32::try_from(self.running.len() + self.queue.len()).unwrap()
    }

    /// Ends and starts runs; returns the response times of the ended ones.
    fn step(&mut self, now: u64) -> Vec<u64> {
        let (ended, running) = self.running.iter().partition(|(end, ..)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, u64, u64)> = ended;
        for (_, object, _) in &ended {
            self.warm.retain(|o| o != object);
            self.warm.push_back(*object);
            if self.warm.len() > WARM {
                self.warm.pop_front();
            }
        }
        while self.running.len() < SLOTS
            && let Some((object, requested)) = self.queue.pop_front()
        {
            let is_warm = self.warm.contains(&object);
            let run = if is_warm { WARM_RUN } else { COLD_RUN };
            self.running.push((now + run, object, requested));
        }
        ended
            .iter()
            .map(|(.., requested)| now - requested)
            .collect()
    }
}

/// Returns the requests per second: the usual load, and twice that for five seconds.
fn rate(now: u64) -> f64 {
    if (10_000..15_000).contains(&now) {
        200.0
    } else {
        100.0
    }
}

/// Returns the fraction of requests with a response in time, over the ten seconds that begin ten
/// seconds after the burst.
fn in_time_after_the_burst(config: &AffinityConfig) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let (mut requested, mut in_time) = (0, 0);
    for now in (0..35_000).step_by(TICK as usize) {
        let counts = now >= 25_000;
        for target in &mut targets {
            let times = target.step(now);
            let fast = times.iter().filter(|time| **time <= IN_TIME).count();
            in_time += if counts { fast } else { 0 };
        }
        let share = rate(now) * TICK as f64 / 1000.0;
        for _ in 0..share as u32 + u32::from(rng.random_bool(share.fract())) {
            requested += u32::from(counts);
            let object = rng.random_range(0..OBJECTS);
            let candidates: Vec<Candidate> = (1..).zip(&targets).map(candidate).collect();
            let choice = choose_affine(object, &candidates, config).unwrap();
            let target = &mut targets[choice.index];
            if target.queue.len() < QUEUE {
                target.queue.push_back((object, now));
            }
        }
    }
    in_time as f64 / f64::from(requested)
}

fn candidate((name_hash, target): (u64, &Target)) -> Candidate {
    Candidate {
        name_hash,
        slots: SLOTS as u32,
        is_local: true,
        rtt_ratio: 0.0,
        busy: target.busy(),
        healthy: true,
    }
}

/// Saturation, with a burst of twice the load. The service has enough slots only while nearly all
/// runs are warm. Callers see late responses during the burst; ten seconds after it responses must
/// be in time again, because waiting requests stay at their preferred targets. If requests are sent
/// elsewhere as soon as the slots of the preferred target are taken, they cause cold runs, which
/// occupy the slots: for callers, the burst then never ends.
#[test]
fn responses_are_in_time_again_after_a_burst() {
    let default_config = in_time_after_the_burst(&AffinityConfig::default());
    let early_overflow = in_time_after_the_burst(&AffinityConfig {
        max_per_slot: 1,
        choices: 3,
        ..AffinityConfig::default()
    });
    assert!(default_config > 0.85, "{default_config}");
    assert!(
        early_overflow < default_config - 0.1,
        "{early_overflow} against {default_config}"
    );
}
