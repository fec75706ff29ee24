//! Prints the results of all loads on all services: pools beside the baselines.

use dunlinrock_admit::{
    PoolConfig,
    simulation::{DEPLOYMENTS, Group, LOADS, Policy, Results, load, simulate},
};

const SEED: u64 = 7;

fn main() {
    println!(
        "| load | service | policy | p50 ms | p99 ms | goodput | good | refused | failed | missed | shed |"
    );
    println!("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|");
    let policies = [
        ("pools", Policy::Pools(PoolConfig::default())),
        ("random", Policy::Random),
        (
            "two choices",
            Policy::TwoChoices {
                hosts: 4,
                attempts: 3,
            },
        ),
    ];
    for name in LOADS {
        for deployment in DEPLOYMENTS {
            for (policy, p) in &policies {
                let results = simulate(&load(name, deployment, SEED), p);
                row(name, deployment.name, policy, Group::All, &results);
                if *policy == "two choices" {
                    continue;
                }
                match name {
                    "heavy caller" => row(
                        name,
                        deployment.name,
                        &format!("{policy}, others"),
                        Group::Light,
                        &results,
                    ),
                    "hot key" => row(
                        name,
                        deployment.name,
                        &format!("{policy}, others"),
                        Group::Other,
                        &results,
                    ),
                    "long among short" => row(
                        name,
                        deployment.name,
                        &format!("{policy}, short"),
                        Group::Kind(0),
                        &results,
                    ),
                    _ => {}
                }
            }
        }
    }
}

fn row(load: &str, deployment: &str, policy: &str, group: Group, f: &Results) {
    let ms = |p| f.time(group, p).as_secs_f64() * 1e3;
    println!(
        "| {load} | {deployment} | {policy} | {:.1} | {:.1} | {:.3} | {:.3} | {:.3} | {:.4} | {:.4} | {:.3} |",
        ms(0.5),
        ms(0.99),
        f.goodput(),
        f.good_fraction(group),
        f.refused_fraction(group),
        f.failed_fraction(group),
        f.missed_fraction(group),
        f.shed as f64 / f.offered_count(Group::All) as f64,
    );
}
