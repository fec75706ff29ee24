//! Validation of address blocks of clients.

use std::{collections::BTreeMap, sync::Arc};

use ipnet::IpNet;

use super::draft::{BLOCKS, Draft};
use crate::Findings;

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    let mut seen: BTreeMap<IpNet, &Arc<str>> = BTreeMap::new();
    for block in draft.names(BLOCKS) {
        let location = || draft.key(&[BLOCKS, block]);
        let Ok(net) = block.parse::<IpNet>() else {
            findings.error(
                location(),
                format!("`{block}` is not an address block; write it like `10.16.0.0/16`"),
            );
            continue;
        };
        if net.trunc() != net {
            let fix = net.trunc();
            findings.error(
                location(),
                format!("`{block}` has bits set beyond its prefix; write `{fix}`"),
            );
        }
        if let Some(other) = seen.insert(net.trunc(), block) {
            let there = draft.key(&[BLOCKS, other]);
            let message = |other: &str| format!("the block `{other}` covers the same addresses");
            findings.error(location(), message(other));
            findings.error(there, message(block));
        }
    }
}
