//! Scenarios of faults and planned events, run with both policies.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::config::{Config, DrainKind};

use super::{Policy, Report, Simulation, UsageReports, example};

/// Time before the event.
const WARM_UP: Duration = Duration::from_secs(10);
/// Load at a closing, the busiest time, as a fraction of each region's slots.
const PEAK_LOAD: f64 = 0.65;
/// Load at night, when stops are planned.
const NIGHT_LOAD: f64 = 0.30;

/// An event at a given load.
pub struct Scenario {
    pub name: &'static str,
    load: f64,
    /// Length of the run after the event.
    time: Duration,
    event: fn(&mut Simulation),
}

/// Returns the largest region, which the events affect.
fn largest_region(config: &Config) -> Arc<str> {
    let name = match config.regions.contains_key("bucharest") {
        true => "bucharest",
        false => "lower-mainland",
    };
    name.into()
}

fn domain(config: &Config) -> String {
    format!("{}-a", largest_region(config))
}

pub fn scenarios() -> Vec<Scenario> {
    let scenario = |name, load, seconds, event| Scenario {
        name,
        load,
        time: Duration::from_secs(seconds),
        event,
    };
    vec![
        scenario("steady at closing", PEAK_LOAD, 60, |_| {}),
        scenario("region lost at closing", PEAK_LOAD, 150, |sim| {
            let region = largest_region(&sim.config);
            sim.fail_region(&region);
        }),
        scenario("domain drained at night", NIGHT_LOAD, 90, |sim| {
            let name = domain(&sim.config);
            sim.drain(DrainKind::Domain, &name);
        }),
        scenario("region drained at night", NIGHT_LOAD, 330, |sim| {
            let name = largest_region(&sim.config);
            sim.drain(DrainKind::Region, &name);
        }),
        scenario("new spread onto cold caches", PEAK_LOAD, 150, |sim| {
            redirect_half(&mut sim.config);
        }),
        scenario("measurements lost, region lost", PEAK_LOAD, 150, |sim| {
            let region = largest_region(&sim.config);
            for name in sim.config.regions.keys() {
                sim.usage_reports.insert(name.clone(), UsageReports::Lost);
            }
            sim.fail_region(&region);
        }),
        scenario("measurements false, region lost", PEAK_LOAD, 150, |sim| {
            let region = largest_region(&sim.config);
            for name in sim.config.regions.keys() {
                sim.usage_reports.insert(name.clone(), UsageReports::Idle);
            }
            sim.fail_region(&region);
        }),
        scenario("hosts replaced in a shift", NIGHT_LOAD, 330, |sim| {
            let name = largest_region(&sim.config);
            sim.drain(DrainKind::Region, &name);
            for n in 0..4 {
                sim.run(Duration::from_secs(15));
                let at = sim.hosts.iter().position(|host| host.region == name);
                sim.hosts.remove(at.expect("a host"));
                sim.join(&format!("{name}-new-{n}"), &name);
            }
        }),
        scenario("a region's hosts end in a shift", PEAK_LOAD, 150, |sim| {
            redirect_half(&mut sim.config);
            sim.run(Duration::from_secs(90));
            let region = largest_region(&sim.config);
            sim.hosts.retain(|host| host.region != region);
        }),
        scenario("12 hosts cut off, domain drained", NIGHT_LOAD, 90, |sim| {
            sim.partitioned = true;
            let name = domain(&sim.config);
            sim.drain(DrainKind::Domain, &name);
        }),
        scenario(
            "most messages lost, region drained",
            NIGHT_LOAD,
            330,
            |sim| {
                sim.loss = 0.7;
                let name = largest_region(&sim.config);
                sim.drain(DrainKind::Region, &name);
            },
        ),
    ]
}

/// Sends half of the traffic of the largest region's callers to another region.
fn redirect_half(config: &mut Config) {
    let main = largest_region(config);
    let other = config.regions.keys().find(|region| **region != main);
    let other = other.expect("another region").clone();
    for service in config.services.values_mut() {
        let split = service.spread.get_mut(&main).expect("a row");
        split.clear();
        split.insert(main.clone(), 0.5);
        split.insert(other.clone(), 0.5);
    }
}

/// Runs a scenario on one of the example deployments.
pub fn run(deployment: &str, scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    let mut sim = Simulation::open(example(deployment), policy, scenario.load, seed);
    sim.run(WARM_UP);
    sim.metrics.reset(sim.now);
    (scenario.event)(&mut sim);
    let end = WARM_UP + scenario.time;
    sim.run(end.saturating_sub(sim.now));
    sim.metrics.report.clone()
}
