//! Faults and planned events, each played by both policies.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::config::{Config, DrainKind};

use super::{Measures, Policy, Report, World, example};

/// Time before anything happens.
const BEFORE: Duration = Duration::from_secs(10);
/// Load of a closing, as part of each region's slots.
const CLOSING: f64 = 0.65;
/// Load at night, when stops are planned.
const NIGHT: f64 = 0.30;

/// A course of events.
pub struct Scenario {
    pub name: &'static str,
    load: f64,
    /// Time from the event on.
    time: Duration,
    event: fn(&mut World),
}

/// The region that things happen to: the largest.
fn main(config: &Config) -> Arc<str> {
    let name = match config.regions.contains_key("bucharest") {
        true => "bucharest",
        false => "lower-mainland",
    };
    name.into()
}

fn domain(config: &Config) -> String {
    format!("{}-a", main(config))
}

pub fn scenarios() -> Vec<Scenario> {
    let scenario = |name, load, seconds, event| Scenario {
        name,
        load,
        time: Duration::from_secs(seconds),
        event,
    };
    vec![
        scenario("steady at closing", CLOSING, 60, |_| {}),
        scenario("region lost at closing", CLOSING, 150, |world| {
            let region = main(&world.config);
            world.lose(&region);
        }),
        scenario("domain drained at night", NIGHT, 90, |world| {
            let name = domain(&world.config);
            world.drain(DrainKind::Domain, &name);
        }),
        scenario("region drained at night", NIGHT, 330, |world| {
            let name = main(&world.config);
            world.drain(DrainKind::Region, &name);
        }),
        scenario("new spread onto cold caches", CLOSING, 150, |world| {
            turn(&mut world.config);
        }),
        scenario("measurements lost, region lost", CLOSING, 150, |world| {
            let region = main(&world.config);
            for name in world.config.regions.keys() {
                world.measures.insert(name.clone(), Measures::Lost);
            }
            world.lose(&region);
        }),
        scenario("measurements false, region lost", CLOSING, 150, |world| {
            let region = main(&world.config);
            for name in world.config.regions.keys() {
                world.measures.insert(name.clone(), Measures::Idle);
            }
            world.lose(&region);
        }),
        scenario("hosts replaced in a shift", NIGHT, 330, |world| {
            let name = main(&world.config);
            world.drain(DrainKind::Region, &name);
            for n in 0..4 {
                world.run(Duration::from_secs(15));
                let at = world.hosts.iter().position(|host| host.region == name);
                world.hosts.remove(at.expect("a host"));
                world.join(&format!("{name}-new-{n}"), &name);
            }
        }),
        scenario("a region's hosts end in a shift", CLOSING, 150, |world| {
            turn(&mut world.config);
            world.run(Duration::from_secs(90));
            let region = main(&world.config);
            world.hosts.retain(|host| host.region != region);
        }),
        scenario("12 hosts cut off, domain drained", NIGHT, 90, |world| {
            world.cut = true;
            let name = domain(&world.config);
            world.drain(DrainKind::Domain, &name);
        }),
        scenario("most messages lost, region drained", NIGHT, 330, |world| {
            world.loss = 0.7;
            let name = main(&world.config);
            world.drain(DrainKind::Region, &name);
        }),
    ]
}

/// Turns the main region's callers to another region, for half of their traffic.
fn turn(config: &mut Config) {
    let main = main(config);
    let other = config.regions.keys().find(|region| **region != main);
    let other = other.expect("another region").clone();
    for service in config.services.values_mut() {
        let row = service.spread.get_mut(&main).expect("a row");
        row.clear();
        row.insert(main.clone(), 0.5);
        row.insert(other.clone(), 0.5);
    }
}

/// Plays a scenario on one of the examples.
pub fn run(deployment: &str, scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    let mut world = World::open(example(deployment), policy, scenario.load, seed);
    world.run(BEFORE);
    world.meter.reset(world.now);
    (scenario.event)(&mut world);
    let end = BEFORE + scenario.time;
    world.run(end.saturating_sub(world.now));
    world.meter.report.clone()
}
