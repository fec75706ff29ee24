//! Divides a region's spare slots and a link's spare bytes among colleges or clubs by several
//! algorithms, on both deployments with scarce links, and prints the results as a table.
//!
//! ```text
//! cargo run --release -p dunlinrock-steer --example division [SEED]
//! ```

use std::path::Path;

use dunlinrock_config::{config as files, goal};
use dunlinrock_schema::config::Config;
use dunlinrock_steer::{
    divide::{Demand, adaptive, dominant, equal},
    hash,
};

/// Number of random draws of users per deployment.
const DRAWS: u64 = 400;
/// Fraction of a region's slots that is spare.
const SPARE_FRACTION: f64 = 0.2;
/// Fraction of a link's capacity that is left for this traffic, by deployment; so small that it is
/// as scarce as slots.
const LINK_FRACTIONS: [f64; 2] = [0.05, 0.25];
/// Smallest and largest demand of a user, relative to what equal parts would give it.
const DEMAND_RANGE: [f64; 2] = [0.25, 4.0];

/// A kind of request: the fraction of users that send it, its service time in seconds and its
/// response in bytes.
struct Mix {
    fraction: f64,
    seconds: f64,
    bytes: f64,
}

/// Results of an algorithm over all draws.
#[derive(Default)]
struct Sum {
    /// Requests per second, relative to equal parts.
    rate: f64,
    /// Smallest allocation of a user, relative to equal parts.
    least: f64,
    slots: f64,
    bytes: f64,
    /// Jain's fairness index of the dominant shares.
    jain: f64,
    /// Largest gain of a user by overstating its need of one resource, relative to its allocation.
    overstating_gain: f64,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let mut random = seed.unwrap_or(1_u64);
    println!(
        "| deployment | rule | requests a second, of equal parts | least a user gets, of equal \
         parts | slots used | link used | Jain's index of dominant parts | most gained by a lie |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (at, (name, service, region, users, mixes)) in deployments().into_iter().enumerate() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let config = files::load_dir(&root.join(name)).unwrap_or_else(|f| panic!("{f}"));
        let capacity = capacity(&config, service, region, LINK_FRACTIONS[at]);
        let draws: Vec<Vec<Demand>> = (0..DRAWS)
            .map(|_| draw(&mut random, users, &mixes))
            .collect();
        let limited = limit(&mut random, capacity, &draws);
        for (kind, draws) in [("no limit", &draws), ("limited", &limited)] {
            for (rule, divide) in rules() {
                let sum = measure(capacity, draws, divide);
                println!(
                    "| {name}, {users} users, {kind} | {rule} | {:.3} | {:.2} | {:.1}% | {:.1}% | \
                     {:.3} | {:.1}% |",
                    sum.rate,
                    sum.least,
                    sum.slots * 100.0,
                    sum.bytes * 100.0,
                    sum.jain,
                    sum.overstating_gain * 100.0,
                );
            }
        }
    }
}

/// Returns the same users with limited demands.
fn limit(random: &mut u64, capacity: [f64; 2], draws: &[Vec<Demand>]) -> Vec<Vec<Demand>> {
    let mut limited = draws.to_vec();
    for users in &mut limited {
        let fair = equal(&capacity, users);
        for (user, fair) in users.iter_mut().zip(fair) {
            *random = random.wrapping_add(1);
            let fraction = DEMAND_RANGE[0]
                * (DEMAND_RANGE[1] / DEMAND_RANGE[0]).powf(hash::to_unit_f64(hash::mix64(*random)));
            user.max_units = fair * fraction;
        }
    }
    limited
}

/// Divides by adaptive speed first; what its users do not want goes to the others by dominant
/// resource fairness.
fn adaptive_then_dominant(capacity: [f64; 2], users: &[Demand]) -> Vec<f64> {
    let first = adaptive(capacity, users);
    let remaining = |r: usize| {
        let used = users.iter().zip(&first).map(|(d, u)| d.uses[r] * u);
        (capacity[r] - used.sum::<f64>()).max(0.0)
    };
    let rest: Vec<Demand> = users
        .iter()
        .zip(&first)
        .map(|(user, units)| Demand {
            uses: user.uses.clone(),
            max_units: user.max_units - units,
        })
        .collect();
    let second = dominant(&[remaining(0), remaining(1)], &rest);
    first.iter().zip(second).map(|(a, b)| a + b).collect()
}

type Rule = fn([f64; 2], &[Demand]) -> Vec<f64>;

fn rules() -> [(&'static str, Rule); 4] {
    [
        ("equal parts", |capacity, users| equal(&capacity, users)),
        ("dominant resource", |capacity, users| {
            dominant(&capacity, users)
        }),
        ("adaptive speed", adaptive),
        ("adaptive speed, rest dominant", adaptive_then_dominant),
    ]
}

type Deployment = (&'static str, &'static str, &'static str, usize, Vec<Mix>);

/// Competing colleges: searches have long responses, reservations occupy slots. Clubs: calendars
/// are long, payments occupy slots.
fn deployments() -> [Deployment; 2] {
    let mix = |fraction, seconds, bytes| Mix {
        fraction,
        seconds,
        bytes,
    };
    [
        (
            "cursuri",
            "catalogue",
            "cluj",
            12,
            vec![mix(0.7, 0.010, 30_000.0), mix(0.3, 0.060, 3_000.0)],
        ),
        (
            "tidepool",
            "family-portal",
            "island",
            20,
            vec![mix(0.6, 0.015, 60_000.0), mix(0.4, 0.080, 6_000.0)],
        ),
    ]
}

fn capacity(config: &Config, service: &str, region: &str, fraction: f64) -> [f64; 2] {
    let slots = goal::slots(config, service)[region].total as f64 * SPARE_FRACTION;
    let link = config.links.values().next().expect("a link");
    [slots, link.bytes_per_s.get() as f64 * fraction]
}

/// Draws users of one kind of request each, with values between half and twice those of the kind.
fn draw(random: &mut u64, users: usize, mixes: &[Mix]) -> Vec<Demand> {
    let mut uniform = || {
        *random = random.wrapping_add(1);
        hash::to_unit_f64(hash::mix64(*random))
    };
    let user = |_| {
        let mut at = uniform();
        let mix = mixes.iter().find(|mix| {
            at -= mix.fraction;
            at <= 0.0
        });
        let mix = mix.unwrap_or(&mixes[0]);
        let uses = vec![
            mix.seconds * 4.0_f64.powf(uniform() - 0.5),
            mix.bytes * 4.0_f64.powf(uniform() - 0.5),
        ];
        Demand {
            uses,
            max_units: f64::INFINITY,
        }
    };
    (0..users).map(user).collect()
}

fn measure(capacity: [f64; 2], draws: &[Vec<Demand>], divide: Rule) -> Sum {
    let mut sum = Sum {
        least: f64::INFINITY,
        ..Sum::default()
    };
    for users in draws {
        let units = divide(capacity, users);
        let fair = equal(&capacity, users);
        let fraction = 1.0 / draws.len() as f64;
        let fair: Vec<f64> = fair
            .iter()
            .zip(users)
            .map(|(fair, user)| fair.min(user.max_units))
            .collect();
        sum.rate += units.iter().sum::<f64>() / fair.iter().sum::<f64>() * fraction;
        let least = units.iter().zip(&fair).map(|(u, f)| u / f);
        sum.least = least.fold(sum.least, f64::min);
        let used = |r: usize| {
            let used = users.iter().zip(&units).map(|(d, u)| d.uses[r] * u);
            used.sum::<f64>() / capacity[r]
        };
        sum.slots += used(0) * fraction;
        sum.bytes += used(1) * fraction;
        sum.jain += jain(capacity, users, &units) * fraction;
        sum.overstating_gain = sum
            .overstating_gain
            .max(overstating_gain(capacity, users, &units, divide));
    }
    sum
}

fn jain(capacity: [f64; 2], users: &[Demand], units: &[f64]) -> f64 {
    let dominant = |user: &Demand| (user.uses[0] / capacity[0]).max(user.uses[1] / capacity[1]);
    let parts: Vec<f64> = users
        .iter()
        .zip(units)
        .map(|(user, units)| dominant(user) * units)
        .collect();
    let (sum, squares) = parts
        .iter()
        .fold((0.0, 0.0), |(s, q), p| (s + p, q + p * p));
    sum * sum / (squares * parts.len() as f64)
}

/// Returns the largest gain of the first user by stating more of one resource than it needs.
fn overstating_gain(capacity: [f64; 2], users: &[Demand], units: &[f64], divide: Rule) -> f64 {
    let honest = units[0];
    let mut best = 0.0_f64;
    for resource in 0..2 {
        for factor in [1.1, 1.5, 2.0, 4.0] {
            let mut overstated = users.to_vec();
            overstated[0].uses[resource] *= factor;
            let allocated = divide(capacity, &overstated)[0];
            // The allocation that overstating gains, measured by what the user really needs.
            let useful = (0..2).map(|r| allocated * overstated[0].uses[r] / users[0].uses[r]);
            let useful = useful.fold(users[0].max_units, f64::min);
            best = best.max(useful / honest - 1.0);
        }
    }
    best
}
