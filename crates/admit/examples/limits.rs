//! Compares ways to enforce a workspace's limit over many hosts: `cargo run --release --example
//! limits`.

#[allow(unreachable_pub, reason = "the tests share it")]
#[path = "../tests/limits/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Load, Strategy, simulate};

fn main() {
    println!("hosts workspaces load     way     refused  worst window  messages/host/s  added");
    for (hosts, workspaces) in [(12, 88), (91, 88), (300, 88), (91, 900), (300, 900)] {
        let calm = Load {
            hosts,
            workspaces,
            rate: 1600.0,
            busy: None,
            lowered: None,
            lost: None,
            seed: 1,
        };
        let lost = Some((Duration::from_secs(12), Duration::from_secs(16)));
        let loads = [
            ("calm", calm),
            (
                "large",
                Load {
                    busy: Some((0, 10.0)),
                    ..calm
                },
            ),
            (
                "small",
                Load {
                    busy: Some((60, 10.0)),
                    ..calm
                },
            ),
            (
                "lowered",
                Load {
                    lowered: Some(0.1),
                    ..calm
                },
            ),
            ("lost", Load { lost, ..calm }),
            (
                "large+lost",
                Load {
                    busy: Some((0, 10.0)),
                    lost,
                    ..calm
                },
            ),
        ];
        for (name, load) in loads {
            for strategy in [Strategy::Equal, Strategy::Demand, Strategy::Lent] {
                let f = simulate(strategy, &load);
                let refused = 100.0 * f.refused as f64 / f.sent as f64;
                println!(
                    "{hosts:5} {workspaces:10} {name:10} {strategy:7?} {refused:6.2}%  {:12.3}  {:15.2}  {:?}",
                    f.worst, f.messages, f.added
                );
            }
        }
    }
}
