//! Validation of references between configuration entries, such as the region of a failure domain.

use dunlinrock_schema::config::DrainKind;

use super::draft::Draft;
use crate::{Findings, check::suggest};

/// Reports references to names that no entry defines. Does nothing unless all files were parsed,
/// since the names in the others are unknown.
pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    if !draft.all_parsed {
        return;
    }
    let config = &draft.config;
    for (name, domain) in &config.domains {
        let path = ["domains", name, "region"];
        check_reference(draft, "regions", &domain.region, &path, findings);
    }
    for (name, link) in &config.links {
        let path = ["links", name, "from"];
        check_reference(draft, "regions", &link.from, &path, findings);
        let path = ["links", name, "to"];
        check_reference(draft, "regions", &link.to, &path, findings);
    }
    for (name, target) in &config.targets {
        let path = ["targets", name, "service"];
        check_reference(draft, "services", &target.service, &path, findings);
        let path = ["targets", name, "domain"];
        check_reference(draft, "domains", &target.domain, &path, findings);
    }
    for (block, region) in &config.blocks {
        check_reference(draft, "regions", region, &["blocks", block], findings);
    }
    check_drains(draft, findings);
    check_spreads(draft, findings);
}

fn check_drains(draft: &Draft, findings: &mut Findings) {
    for (name, drain) in &draft.config.drains {
        let section = match drain.kind {
            DrainKind::Target => "targets",
            DrainKind::Domain => "domains",
            DrainKind::Region => "regions",
            // Hosts are not in the configuration; they are in the platform's list of hosts.
            DrainKind::Host => continue,
        };
        check_reference(
            draft,
            section,
            &drain.name,
            &["drains", name, "name"],
            findings,
        );
    }
}

/// Checks the regions that the `spread` tables of services name: those of the callers, and those
/// that serve them.
fn check_spreads(draft: &Draft, findings: &mut Findings) {
    for (service, service_config) in &draft.config.services {
        for (callers, shares) in &service_config.spread {
            let path = ["services", service, "spread", callers];
            if !draft.defines("regions", callers) {
                report_undefined(draft, "regions", callers, draft.key(&path), findings);
            }
            for region in shares.keys() {
                if !draft.defines("regions", region) {
                    let path = ["services", service, "spread", callers, region];
                    report_undefined(draft, "regions", region, draft.key(&path), findings);
                }
            }
        }
    }
}

fn check_reference(
    draft: &Draft,
    section: &str,
    name: &str,
    path: &[&str],
    findings: &mut Findings,
) {
    if !draft.defines(section, name) {
        report_undefined(draft, section, name, draft.value(path), findings);
    }
}

fn report_undefined(
    draft: &Draft,
    section: &str,
    name: &str,
    location: crate::Location,
    findings: &mut Findings,
) {
    let kind = section.trim_end_matches('s');
    let fix = suggest(name, draft.names(section).map(AsRef::as_ref), section);
    findings.error(location, format!("no {kind} `{name}` is defined; {fix}"));
}
