//! Prints the sweeps by which the thresholds were chosen: `sweep NAME`, or all of them without a
//! name.

use std::time::Duration;

use dunlinrock_admit::{
    PoolConfig,
    simulation::{DEPLOYMENTS, Deployment, Group, LOADS, Policy, load, simulate},
};

const SEED: u64 = 11;

/// A threshold, the loads that it affects, and the function that sets it.
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
        set: |config, x| config.max_wait = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "standing-ms",
        loads: &["burst", "saturation"],
        values: &[10.0, 25.0, 50.0, 100.0, 250.0],
        set: |config, x| config.overload_wait = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "burst-ms",
        loads: &["burst", "short bursts", "saturation", "heavy caller"],
        values: &[100.0, 250.0, 500.0, 1000.0, 2000.0],
        set: |config, x| config.burst_time = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "short-share",
        loads: &["long among short"],
        values: &[0.0, 0.25, 0.5, 0.75],
        set: |config, x| config.short_share = x,
    },
    Sweep {
        name: "reserve",
        loads: &["long among short"],
        values: &[0.0, 0.5, 1.0, 1.25, 1.5, 2.0],
        set: |config, x| config.reserve = x,
    },
    Sweep {
        name: "slow",
        loads: &["calm", "slow target", "saturation"],
        values: &[1.5, 2.0, 3.0, 5.0, 10.0],
        set: |config, x| config.eject_ratio = x,
    },
    Sweep {
        name: "retry-share",
        loads: &["calm", "slow target", "saturation"],
        values: &[0.0, 0.02, 0.05, 0.1, 0.2, 0.5],
        set: |config, x| config.retry_ratio = x,
    },
    Sweep {
        name: "report-life-ms",
        loads: &["calm", "false reports"],
        values: &[0.0, 500.0, 1000.0, 2000.0, 5000.0],
        set: |config, x| config.report_ttl = Duration::from_secs_f64(x / 1e3),
    },
    Sweep {
        name: "ramp-s",
        loads: &["cold target", "killer requests"],
        values: &[0.1, 2.0, 5.0, 10.0, 30.0],
        set: |config, x| config.ramp_time = Duration::from_secs_f64(x),
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
            for deployment in [DEPLOYMENTS[1], DEPLOYMENTS[2]] {
                sweep
                    .values
                    .iter()
                    .for_each(|x| row(sweep, load, deployment, *x));
            }
        }
        println!();
    }
}

fn row(sweep: &Sweep, name: &str, deployment: Deployment, value: f64) {
    let mut config = PoolConfig::default();
    (sweep.set)(&mut config, value);
    let f = simulate(&load(name, deployment, SEED), &Policy::Pools(config));
    let ms = |group, p| f.time(group, p).as_secs_f64() * 1e3;
    println!(
        "| {value} | {name} | {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.3} | {} |",
        deployment.name,
        ms(Group::All, 0.5),
        ms(Group::All, 0.99),
        ms(Group::Kind(0), 0.99),
        f.goodput(),
        f.refused_fraction(Group::All),
        f.retries,
    );
}
