//! The examples are valid and have the sizes of the deployments that they model.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use dunlinrock_config::{config, goal, settings};
use dunlinrock_schema::config::Config;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn load(name: &str) -> Config {
    let checked = config::check_dir(&examples().join(name));
    assert!(checked.findings.is_empty(), "{}", checked.findings);
    checked.config.expect("a configuration without findings")
}

/// Returns the number of workers, and the slots and connections of each.
fn workers(config: &Config, service: &str) -> (usize, u64, u64) {
    let targets: Vec<_> = config
        .targets
        .values()
        .filter(|target| &*target.service == service)
        .collect();
    let (slots, connections) = (targets[0].slots, targets[0].connections);
    for target in &targets {
        assert_eq!((target.slots, target.connections), (slots, connections));
        assert_eq!(target.connect_us, 1000);
    }
    (targets.len(), slots.get(), connections.get())
}

/// Returns the delays in microseconds: between domains, between regions, to clients.
fn delays(config: &Config) -> (u64, u64, u64) {
    let domain = config.domains.values().next().unwrap().delay_us;
    let link = config.links.values().next().unwrap().delay_us;
    let client = config.regions.values().next().unwrap().client_us;
    assert!(config.domains.values().all(|d| d.delay_us == domain));
    assert!(config.links.values().all(|l| l.delay_us == link));
    assert!(config.regions.values().all(|r| r.client_us == client));
    (domain, link, client)
}

fn domains(config: &Config) -> Vec<usize> {
    let mut count: BTreeMap<_, usize> = BTreeMap::new();
    for domain in config.domains.values() {
        *count.entry(&domain.region).or_default() += 1;
    }
    count.into_values().collect()
}

#[test]
fn cursuri_has_its_sizes() {
    let config = load("cursuri");
    assert_eq!(domains(&config), [2, 2, 2]);
    assert_eq!(delays(&config), (500, 20_000, 3_000));
    assert_eq!(workers(&config, "catalogue"), (16, 3, 330));
    assert_eq!(workers(&config, "records"), (12, 3, 330));
}

#[test]
fn tidepool_has_its_sizes() {
    let config = load("tidepool");
    assert_eq!(domains(&config), [2, 2, 2]);
    assert_eq!(delays(&config), (1_500, 35_000, 8_000));
    assert_eq!(workers(&config, "family-portal"), (22, 7, 390));
    assert_eq!(workers(&config, "club-desk"), (14, 8, 390));
}

#[test]
fn desired_splits_equal_the_configured_ones_until_a_drain() {
    let mut config = load("cursuri");
    let split_of = |config: &Config| goal::desired_split(config, "catalogue", "bucharest");
    let before = split_of(&config);
    assert!((before["bucharest"] - 0.9).abs() < 1e-9);
    let drain = serde_json::from_str(r#"{"kind": "domain", "name": "bucharest-a"}"#).unwrap();
    config.drains.insert("night".into(), drain);
    // Half of the region's slots are available: 0.45 against 0.1 elsewhere.
    let after = split_of(&config);
    assert!((after["bucharest"] - 0.45 / 0.55).abs() < 1e-9);
    assert!((after.values().sum::<f64>() - 1.0).abs() < 1e-9);
}

#[test]
fn host_settings_are_accepted() {
    for name in ["bucharest-1", "cluj-1", "iasi-1"] {
        let path = examples().join(format!("hosts/{name}.toml"));
        let settings = settings::load(&path).unwrap_or_else(|findings| panic!("{findings}"));
        assert_eq!(&*settings.name, name);
        assert_eq!(&*settings.store.address, "127.0.0.1:17000");
        assert_eq!(&*settings.list.address, "127.0.0.1:17001");
    }
}
