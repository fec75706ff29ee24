//! Prints the sweeps that chose the thresholds: `sweep NAME`, or all of them without a name.

use std::time::Duration;

use dunlinrock_admit::{
    PoolConfig,
    simulation::{Group, LOADS, Policy, SITES, Site, load, play},
};

const SEED: u64 = 11;

/// A threshold, the loads that it matters for, and how to set it.
struct Sweep {
    name: &'static str,
    loads: &'static [&'static str],
    values: &'static [f64],
    set: fn(&mut PoolConfig, f64),
}

const SWEEPS: &[Sweep] = &[
    Sweep {
        name: "patience-ms",
        loads: &["burst", "short bursts", "saturation"],
        values: &[25.0, 50.0, 100.0, 250.0, 500.0, 1000.0],
        set: |rules, x| rules.max_wait = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "standing-ms",
        loads: &["burst", "saturation"],
        values: &[10.0, 25.0, 50.0, 100.0, 250.0],
        set: |rules, x| rules.standing = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "burst-ms",
        loads: &["burst", "short bursts", "saturation", "heavy caller"],
        values: &[100.0, 250.0, 500.0, 1000.0, 2000.0],
        set: |rules, x| rules.burst = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "short-share",
        loads: &["long among short"],
        values: &[0.0, 0.25, 0.5, 0.75],
        set: |rules, x| rules.short_share = x,
    },
    Sweep {
        name: "reserve",
        loads: &["long among short"],
        values: &[0.0, 0.5, 1.0, 1.25, 1.5, 2.0],
        set: |rules, x| rules.reserve = x,
    },
    Sweep {
        name: "slow",
        loads: &["calm", "slow target", "saturation"],
        values: &[1.5, 2.0, 3.0, 5.0, 10.0],
        set: |rules, x| rules.slow = x,
    },
    Sweep {
        name: "retry-share",
        loads: &["calm", "slow target", "saturation"],
        values: &[0.0, 0.02, 0.05, 0.1, 0.2, 0.5],
        set: |rules, x| rules.retry_share = x,
    },
    Sweep {
        name: "report-life-ms",
        loads: &["calm", "false reports"],
        values: &[0.0, 500.0, 1000.0, 2000.0, 5000.0],
        set: |rules, x| rules.report_life = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "ramp-s",
        loads: &["cold target", "killer requests"],
        values: &[0.1, 2.0, 5.0, 10.0, 30.0],
        set: |rules, x| rules.ramp = Duration::from_secs_f64(x),
    },
];

fn main() {
    let name = std::env::args().nth(1);
    for sweep in SWEEPS
        .iter()
        .filter(|s| name.as_ref().is_none_or(|n| s.name == n))
    {
        println!(
            "| {} | load | service | p50 ms | p99 ms | short p99 ms | goodput | refused | repeats |",
            sweep.name
        );
        println!("|---:|---|---|---:|---:|---:|---:|---:|---:|");
        for load in sweep.loads.iter().filter(|n| LOADS.contains(n)) {
            for site in [SITES[1], SITES[2]] {
                sweep.values.iter().for_each(|x| row(sweep, load, site, *x));
            }
        }
        println!();
    }
}

fn row(sweep: &Sweep, name: &str, site: Site, value: f64) {
    let mut rules = PoolConfig::default();
    (sweep.set)(&mut rules, value);
    let f = play(&load(name, site, SEED), &Policy::Pools(rules));
    let ms = |group, p| f.time(group, p).as_secs_f64() * 1e3;
    println!(
        "| {value} | {name} | {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {} |",
        site.name,
        ms(Group::All, 0.5),
        ms(Group::All, 0.99),
        ms(Group::Kind(0), 0.99),
        f.goodput(),
        f.refused_share(Group::All),
        f.repeats,
    );
}
