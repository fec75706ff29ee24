//! Validation of target addresses and of regions without domains.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::draft::Draft;
use crate::{Findings, settings::parse_address};

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    addresses(draft, findings);
    if draft.all_parsed {
        empty_regions(draft, findings);
    }
}

fn addresses(draft: &Draft, findings: &mut Findings) {
    let mut used: BTreeMap<SocketAddr, &Arc<str>> = BTreeMap::new();
    for (name, target) in &draft.config.targets {
        let location = draft.value(&["targets", name, "address"]);
        let address = match parse_address(&target.address) {
            Ok(address) => address,
            Err(fault) => {
                findings.error(location, fault);
                continue;
            }
        };
        let Some(other) = used.insert(address, name) else {
            continue;
        };
        let there = draft.value(&["targets", other, "address"]);
        let message = |other: &str| {
            format!("`{address}` is also the address of target `{other}`; give each target its own")
        };
        findings.error(location, message(other));
        findings.error(there, message(name));
    }
}

fn empty_regions(draft: &Draft, findings: &mut Findings) {
    for region in draft.config.regions.keys() {
        let mut domains = draft.config.domains.values();
        if !domains.any(|domain| domain.region == *region) {
            findings.warning(
                draft.key(&["regions", region]),
                format!("region `{region}` has no domain; nothing can be served there"),
            );
        }
    }
}
