//! A plan lists the changes, the shifts that start and how long they take under their caps.

use std::path::Path;

use dunlinrock_config::{config, plan::plan};
use dunlinrock_schema::config::Config;
use insta::assert_snapshot;

fn cursuri() -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cursuri");
    config::load_dir(&root).unwrap_or_else(|findings| panic!("{findings}"))
}

#[test]
fn equal_configurations_change_nothing() {
    let plan = plan(&cursuri(), &cursuri());
    assert!(plan.is_empty() && plan.shifts.is_empty());
    assert_snapshot!(plan, @"nothing changes");
}

#[test]
fn a_drain_starts_shifts() {
    let mut new = cursuri();
    let drain = serde_json::json!({"kind": "domain", "name": "bucharest-a"});
    new.drains
        .insert("night".into(), serde_json::from_value(drain).unwrap());
    assert_snapshot!(plan(&cursuri(), &new), @r#"
    + drain `night`
    drain `night` begins: domain `bucharest-a`
    shift of `catalogue` for callers of `bucharest`: 8.2% of the traffic, 1 window, 10.2 s
    shift of `catalogue` for callers of `cluj`: 4.7% of the traffic, 1 window, 5.9 s
    shift of `catalogue` for callers of `iasi`: 4.7% of the traffic, 1 window, 5.9 s
    shift of `records` for callers of `bucharest`: 3.7% of the traffic, 1 window, 9.2 s
    shift of `records` for callers of `cluj`: 4.7% of the traffic, 1 window, 11.8 s
    shift of `records` for callers of `iasi`: 4.7% of the traffic, 1 window, 11.8 s
    "#);
}

#[test]
fn a_new_spread_and_a_changed_target() {
    let mut new = cursuri();
    let service = new.services.get_mut("catalogue").unwrap();
    service
        .spread
        .get_mut("iasi")
        .unwrap()
        .insert("cluj".into(), 0.85);
    new.targets.get_mut("records-03").unwrap().address = "127.0.0.1:21999".into();
    new.targets.remove("records-04");
    assert_snapshot!(plan(&cursuri(), &new), @r#"
    ~ service `catalogue`: spread
    ~ target `records-03`: address
    - target `records-04`
    shift of `catalogue` for callers of `iasi`: 42.2% of the traffic, 5 windows, 52.8 s
    "#);
    assert_snapshot!(plan(&new, &cursuri()), @r#"
    ~ service `catalogue`: spread
    ~ target `records-03`: address
    + target `records-04`
    shift of `catalogue` for callers of `iasi`: 42.2% of the traffic, 5 windows, 52.8 s
    "#);
}
