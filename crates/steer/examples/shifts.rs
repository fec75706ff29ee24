//! Simulates faults and planned events on both deployments in virtual time, with this crate's
//! decisions and with the baseline, and prints the results as a table.
//!
//! ```text
//! cargo run --release -p dunlinrock-steer --example shifts [SEED [PART OF AN EVENT'S NAME]]
//! ```

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Policy, run, scenarios};

/// Default seed of all runs.
const SEED: u64 = 1;

fn main() {
    let seed = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let part = std::env::args().nth(2).unwrap_or_default();
    for deployment in ["cursuri", "tidepool"] {
        println!("\n{deployment}\n");
        println!(
            "| event | policy | most moved, of the cap | least headroom, region | lent over room | \
             least headroom, link | link over limit | shed | at goal after |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for scenario in scenarios().iter().filter(|s| s.name.contains(&part)) {
            for policy in [Policy::Steered, Policy::Baseline] {
                let report = run(deployment, scenario, policy, seed.unwrap_or(SEED));
                println!(
                    "| {} | {} | {:.2} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.2}% | {} |",
                    scenario.name,
                    match policy {
                        Policy::Steered => "steered",
                        Policy::Baseline => "baseline",
                    },
                    report.moved,
                    report.headroom * 100.0,
                    report.over * 100.0,
                    report.link * 100.0,
                    report.link_over * 100.0,
                    report.shed * 100.0,
                    settled(report.settled),
                );
            }
        }
    }
}

fn settled(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not in the run".to_owned(),
        |time| format!("{:.1} s", time.as_secs_f64()),
    )
}
