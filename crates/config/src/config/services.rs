//! Validation of services beyond what the JSON Schema can express.

use std::collections::BTreeMap;

use dunlinrock_schema::config::Service;

use super::draft::Draft;
use crate::Findings;

/// Maximum window of a cap, in milliseconds: one day. A longer one is most likely a mistaken unit.
const MAX_WINDOW_MS: u64 = 86_400_000;
/// Share from which a cap no longer limits a shift.
const FULL_SHARE: f64 = 1.0;
/// Methods that HTTP defines as idempotent. Others are retried only if the operator lists them as
/// repeatable, which is a warning.
const IDEMPOTENT: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    for (name, service) in &draft.config.services {
        check_times(draft, name, service, findings);
        cap(draft, name, service, findings);
        methods(draft, name, service, findings);
        header(draft, name, service, findings);
        short_slots(draft, name, service, findings);
        if draft.all_parsed && draft.regions_of(name).is_empty() {
            let location = draft.key(&["services", name]);
            findings.warning(
                location,
                format!("service `{name}` has no targets; every request will be refused"),
            );
        }
    }
}

fn check_times(draft: &Draft, name: &str, service: &Service, findings: &mut Findings) {
    let deadline = service.deadline_ms.get();
    // The default may exceed the deadline without harm, since the deadline ends the wait first.
    let explicit = draft.is_set(&["services", name, "queue_ms"]);
    if explicit && service.queue_ms > deadline {
        findings.error(
            draft.value(&["services", name, "queue_ms"]),
            format!(
                "`queue_ms` is {}; make it at most `deadline_ms`, which is {deadline}",
                service.queue_ms
            ),
        );
    }
    if deadline > service.longest_ms.get() {
        findings.error(
            draft.value(&["services", name, "deadline_ms"]),
            format!(
                "`deadline_ms` is {deadline}; make it at most `longest_ms`, which is {}",
                service.longest_ms
            ),
        );
    }
    if service.work_ms.get() > deadline {
        findings.warning(
            draft.value(&["services", name, "work_ms"]),
            format!(
                "`work_ms` is {}, more than `deadline_ms`, which is {deadline}: most requests will \
                 be refused",
                service.work_ms
            ),
        );
    }
}

fn cap(draft: &Draft, name: &str, service: &Service, findings: &mut Findings) {
    let cap = &service.cap;
    if cap.window_ms > MAX_WINDOW_MS {
        findings.error(
            draft.value(&["services", name, "cap", "window_ms"]),
            format!(
                "`window_ms` is {}; make it at most {MAX_WINDOW_MS}, a day",
                cap.window_ms
            ),
        );
    }
    if cap.share >= FULL_SHARE {
        findings.warning(
            draft.value(&["services", name, "cap", "share"]),
            "`share` of 1 lets all traffic move at once; the targets it moves to start with cold \
             caches",
        );
    }
}

fn methods(draft: &Draft, name: &str, service: &Service, findings: &mut Findings) {
    for method in &service.repeatable {
        let location = || draft.value(&["services", name, "repeatable"]);
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            findings.error(
                location(),
                format!("`{method}` is not an HTTP method; write it like `GET`"),
            );
        } else if !IDEMPOTENT.contains(&&**method) {
            findings.warning(
                location(),
                format!("`{method}` requests may be run more than once under this rule"),
            );
        }
    }
}

fn header(draft: &Draft, name: &str, service: &Service, findings: &mut Findings) {
    let header = &service.caller_header;
    let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if header.is_empty() || !header.bytes().all(valid) {
        findings.error(
            draft.value(&["services", name, "caller_header"]),
            format!("`{header}` is not a header name; use ASCII letters, digits, `-` and `_`"),
        );
    }
}

/// Checks that each domain keeps a slot for long requests, which would otherwise never run.
fn short_slots(draft: &Draft, name: &str, service: &Service, findings: &mut Findings) {
    let mut slots: BTreeMap<&str, u64> = BTreeMap::new();
    for target in draft.config.targets.values() {
        if &*target.service == name {
            let sum = slots.entry(&target.domain).or_default();
            *sum = sum.saturating_add(target.slots.get());
        }
    }
    let Some((domain, fewest)) = slots.into_iter().min_by_key(|(_, slots)| *slots) else {
        return;
    };
    let kept = (fewest as f64 * service.short_slots).ceil();
    if kept >= fewest as f64 {
        findings.error(
            draft.value(&["services", name, "short_slots"]),
            format!(
                "`short_slots` is {}, which leaves none of the {fewest} slots in domain `{domain}` \
                 for long requests; lower it",
                service.short_slots
            ),
        );
    }
}
