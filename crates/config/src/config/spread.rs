//! Validation of the spread of a service's traffic over regions.

use std::{collections::BTreeSet, sync::Arc};

use dunlinrock_schema::config::Service;

use super::draft::Draft;
use crate::{Findings, goal};

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    for (name, service) in &draft.config.services {
        let serving_regions = draft.regions_of(name);
        for (callers, shares) in &service.spread {
            let path = ["services", name, "spread", callers];
            // An invalid weight is missing from `shares`; it may be the one above 0.
            let valid = shares.len() == draft.count(&path);
            if valid && shares.values().all(|weight| *weight == 0.0) {
                findings.error(
                    draft.key(&path),
                    format!(
                        "no region has a weight for callers of `{callers}`; give at least one a \
                         weight above 0"
                    ),
                );
            }
            for (region, weight) in shares {
                if *weight > 0.0 {
                    check_reachable(draft, name, callers, region, &serving_regions, findings);
                }
            }
        }
        if draft.all_parsed {
            unserved(draft, name, service, &serving_regions, findings);
        }
    }
}

/// Checks that callers of one region can be served by another.
fn check_reachable(
    draft: &Draft,
    service: &str,
    callers: &Arc<str>,
    region: &Arc<str>,
    serving_regions: &BTreeSet<&Arc<str>>,
    findings: &mut Findings,
) {
    if !draft.all_parsed || !draft.defines("regions", region) {
        return;
    }
    let path = ["services", service, "spread", callers, region];
    // An invalid target or domain may be the one in this region.
    let all_valid = draft.names("targets").count() == draft.config.targets.len()
        && draft.names("domains").count() == draft.config.domains.len();
    if all_valid && !serving_regions.contains(region) {
        findings.error(
            draft.key(&path),
            format!(
                "`{service}` has no targets in region `{region}`; add one there or remove the weight"
            ),
        );
    }
    let links_valid = draft.names("links").count() == draft.config.links.len();
    if links_valid && callers != region && goal::link(&draft.config, callers, region).is_none() {
        findings.error(
            draft.key(&path),
            format!(
                "no link joins `{callers}` and `{region}`; add one to the links or remove the weight"
            ),
        );
    }
}

/// Warns of regions with callers that no region serves.
fn unserved(
    draft: &Draft,
    name: &str,
    service: &Service,
    serving_regions: &BTreeSet<&Arc<str>>,
    findings: &mut Findings,
) {
    let callers: BTreeSet<&Arc<str>> = draft.config.blocks.values().collect();
    for region in callers {
        if serving_regions.is_empty()
            || serving_regions.contains(region)
            || service.spread.contains_key(region)
        {
            continue;
        }
        findings.warning(
            draft.key(&["services", name]),
            format!(
                "`{name}` has no targets in region `{region}` and no spread for its callers; add \
                 `spread.{region}`"
            ),
        );
    }
}
