//! Configurations for tests and benches.
#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod slopes;
pub(crate) mod store;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_schema::config::{Config, Service, Target};

/// A configuration of the given size: 22 regions, 49 domains, links between all regions.
pub(crate) fn config(services: usize, targets: usize, blocks: usize) -> Config {
    let mut config = Config::default();
    for region in 0..22 {
        let text = r#"{"headroom": 0.1}"#;
        let name = format!("region-{region:02}");
        config
            .regions
            .insert(name.into(), serde_json::from_str(text).unwrap());
    }
    for domain in 0..49 {
        let region = domain % 22;
        let text = format!(r#"{{"region": "region-{region:02}"}}"#);
        let name = format!("domain-{domain:02}");
        config
            .domains
            .insert(name.into(), serde_json::from_str(&text).unwrap());
    }
    for (from, to) in (0..22).flat_map(|from| (from + 1..22).map(move |to| (from, to))) {
        let text = format!(
            r#"{{"from": "region-{from:02}", "to": "region-{to:02}", "delay_us": {}, "bytes_per_s": 125000000}}"#,
            1000 * (from + to)
        );
        let name = format!("link-{from:02}-{to:02}");
        config
            .links
            .insert(name.into(), serde_json::from_str(&text).unwrap());
    }
    for service in 0..services {
        let name: Arc<str> = format!("service-{service:03}").into();
        config.services.insert(name.clone(), rules(service));
        for index in 0..targets {
            let target = format!("target-{service:03}-{index:02}");
            config
                .targets
                .insert(target.into(), one_target(&name, service, index));
        }
    }
    config.blocks = client_blocks(blocks);
    config
}

/// Rules of a service, with a traffic split over three regions.
pub(crate) fn rules(service: usize) -> Service {
    let region = |index: usize| format!("region-{:02}", (service + index) % 22);
    let text = format!(
        r#"{{"deadline_ms": 2000, "cap": {{"share": 0.1, "window_ms": 60000}}, "spread": {{
            "{0}": {{"{0}": 8, "{1}": 1, "{2}": 1}},
            "{1}": {{"{0}": 1, "{1}": 8, "{2}": 1}},
            "{2}": {{"{0}": 1, "{1}": 1, "{2}": 8}}}}}}"#,
        region(0),
        region(1),
        region(2)
    );
    serde_json::from_str(&text).unwrap()
}

fn one_target(service: &str, number: usize, index: usize) -> Target {
    let text = format!(
        r#"{{"service": "{service}", "domain": "domain-{:02}", "address": "10.{}.{}.{index}:8080", "slots": {}}}"#,
        (number + index % 6) % 49,
        number / 250,
        number % 250,
        3 + index % 2,
    );
    serde_json::from_str(&text).unwrap()
}

/// Blocks of /24, distributed unevenly over the addresses.
pub(crate) fn client_blocks(count: usize) -> BTreeMap<Arc<str>, Arc<str>> {
    let regions: Vec<Arc<str>> = (0..22).map(|n| format!("region-{n:02}").into()).collect();
    (0..count as u32)
        .map(|n| {
            // 760,000 of them leave gaps of differing width below 224.0.0.0.
            let net = 0x0001_0000 + n * 17 + (n / 7) % 11;
            let [_, a, b, c] = net.to_be_bytes();
            (
                format!("{a}.{b}.{c}.0/24").into(),
                regions[(n as usize / 97) % 22].clone(),
            )
        })
        .collect()
}
