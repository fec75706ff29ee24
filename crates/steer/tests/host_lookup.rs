//! A block of callers gets the same hosts at each lookup, and few blocks change when a host does.

use std::{path::Path, sync::Arc};

use dunlinrock_config::config;
use dunlinrock_schema::config::Config;
use dunlinrock_steer::hosts::{FULL_WEIGHT, Host, HostTable, Liveness, MAX_HOSTS, SUSPECT_WEIGHT};

fn cursuri() -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cursuri");
    config::load_dir(&root).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Four hosts in each region.
fn hosts() -> Vec<Host> {
    let regions = ["bucharest", "cluj", "iasi"];
    let all = regions.iter().flat_map(|region| {
        (0..4).map(move |n| Host {
            name: format!("{region}-{n}").into(),
            region: Arc::from(*region),
            state: Liveness::Alive,
            load: 0.0,
        })
    });
    all.collect()
}

fn names(table: &HostTable, callers: &str, block: u64) -> Vec<Arc<str>> {
    let choices = table.lookup(callers, block);
    let hosts = choices.iter().filter_map(|choice| table.host(choice));
    hosts.map(|host| host.name.clone()).collect()
}

#[test]
fn local_hosts_come_first_and_evenly() {
    let table = HostTable::open(&cursuri(), hosts());
    let mut first = std::collections::BTreeMap::new();
    for block in 0..4_000 {
        let names = names(&table, "cluj", block);
        assert_eq!(names.len(), MAX_HOSTS);
        assert!(names.iter().all(|name| name.starts_with("cluj")));
        *first.entry(names[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 4);
    assert!(
        first.values().all(|n| (850..1_150).contains(n)),
        "{first:?}"
    );
}

/// One host leaves: its blocks move to other hosts, and all other blocks keep their first host.
#[test]
fn a_leaving_host_moves_only_its_own_blocks() {
    let before = HostTable::open(&cursuri(), hosts());
    let mut hosts = hosts();
    hosts[5].state = Liveness::Leaving;
    let after = HostTable::open(&cursuri(), hosts);
    for block in 0..2_000 {
        let (old, new) = (names(&before, "cluj", block), names(&after, "cluj", block));
        assert!(!new.iter().any(|name| &**name == "cluj-1"));
        if &*old[0] != "cluj-1" {
            assert_eq!(old[0], new[0]);
        }
    }
}

/// All hosts of a region are suspect: callers get hosts of other regions, and the suspect ones only
/// if no others are left, with the lowest weight.
#[test]
fn suspect_hosts_come_last() {
    let mut hosts = hosts();
    hosts[4..8]
        .iter_mut()
        .for_each(|h| h.state = Liveness::Suspect);
    let table = HostTable::open(&cursuri(), hosts.clone());
    let names = names(&table, "cluj", 1);
    assert!(
        names.iter().all(|name| !name.starts_with("cluj")),
        "{names:?}"
    );
    hosts.iter_mut().for_each(|h| h.state = Liveness::Suspect);
    let table = HostTable::open(&cursuri(), hosts);
    let choices: Vec<_> = table.lookup("cluj", 1).iter().collect();
    assert_eq!(choices.len(), MAX_HOSTS);
    assert!(choices.iter().all(|choice| choice.weight == SUSPECT_WEIGHT));
}

#[test]
fn load_lowers_the_weight_but_not_the_order() {
    let mut hosts = hosts();
    let idle = HostTable::open(&cursuri(), hosts.clone());
    hosts.iter_mut().for_each(|h| h.load = 0.6);
    hosts[4].load = f64::NAN;
    let busy = HostTable::open(&cursuri(), hosts);
    for block in 0..100 {
        assert_eq!(names(&idle, "cluj", block), names(&busy, "cluj", block));
        assert!(
            idle.lookup("cluj", block)
                .iter()
                .all(|c| c.weight == FULL_WEIGHT)
        );
        assert!(
            busy.lookup("cluj", block)
                .iter()
                .all(|c| c.weight == FULL_WEIGHT / 2)
        );
    }
}

#[test]
fn an_unknown_region_has_no_hosts() {
    let table = HostTable::open(&cursuri(), hosts());
    assert_eq!(table.lookup("paris", 1).iter().count(), 0);
}
