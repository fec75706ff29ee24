//! The results that the demo prints at its end.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    sync::Arc,
};

use super::{deployment::DemoDeployment, invariants::InvariantChecks, sampler::Samples};
use crate::load::{LoadSchedule, LoadStats, Report};

/// Formats the results as text tables.
pub(super) fn table(
    deployment: &DemoDeployment,
    schedule: &LoadSchedule,
    stats: &LoadStats,
    samples: &Samples,
    checks: &InvariantChecks,
) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(&mut out, deployment, schedule, stats, samples, checks);
    out
}

fn write(
    out: &mut String,
    deployment: &DemoDeployment,
    schedule: &LoadSchedule,
    stats: &LoadStats,
    samples: &Samples,
    checks: &InvariantChecks,
) -> fmt::Result {
    writeln!(out, "\nTime to answer")?;
    write!(out, "{}", Report::from_stats(schedule, stats))?;
    writeln!(out, "\nHeadroom of regions (free slots)")?;
    writeln!(
        out,
        "{:<32}{:>8}{:>8}{:>8}",
        "region", "slots", "mean", "least"
    )?;
    for (name, region) in &samples.regions {
        let (mean, min_free) = (region.mean() * 100.0, region.min_free() * 100.0);
        writeln!(
            out,
            "{name:<32}{:>8}{mean:>7.1}%{min_free:>7.1}%",
            region.slots
        )?;
    }
    writeln!(out, "\nRequests begun by targets")?;
    writeln!(out, "{:<32}{:>12}{:>12}", "domain", "before drain", "after")?;
    for (name, domain) in &samples.domains {
        let after = domain.started - domain.started_before_drain;
        writeln!(
            out,
            "{name:<32}{:>12}{after:>12}",
            domain.started_before_drain
        )?;
    }
    writeln!(out, "\nHeadroom of links (answers, mean)")?;
    writeln!(
        out,
        "{:<32}{:>12}{:>12}{:>8}",
        "link", "bytes/s", "limit", "free"
    )?;
    let used = links(deployment, stats);
    for (name, link) in &deployment.config.links {
        let bytes = used.get(name).copied().unwrap_or_default();
        let rate = bytes as f64 / schedule.duration.as_secs_f64();
        let limit = link.bytes_per_s.get();
        let free = (1.0 - rate / limit as f64) * 100.0;
        writeln!(out, "{name:<32}{rate:>12.0}{limit:>12}{free:>7.1}%")?;
    }
    writeln!(out, "\nDrain time")?;
    let drain = checks.drain.as_secs_f64();
    writeln!(out, "domain {:<25}{drain:>8.3} s", checks.domain)?;
    if let Some(stop) = &checks.stop {
        let time = stop.time.as_secs_f64();
        writeln!(out, "host {:<27}{time:>8.3} s", stop.name)?;
    }
    writeln!(out, "\nPromises")?;
    for (text, kept) in checks.results() {
        let mark = if kept { "kept  " } else { "BROKEN" };
        writeln!(out, "{mark}  {text}")?;
    }
    Ok(())
}

/// Returns the bytes of responses that crossed each link, from the target's region to the region of
/// the host that responded.
fn links(deployment: &DemoDeployment, stats: &LoadStats) -> BTreeMap<Arc<str>, u64> {
    let mut used = BTreeMap::new();
    for ((host, target), bytes) in &stats.bytes {
        let ends = deployment.region_of(*host).zip(region(deployment, target));
        let Some((from, to)) = ends.filter(|(from, to)| from != to) else {
            continue;
        };
        let link = deployment.config.links.iter().find(|(_, link)| {
            let joins = |a: &Arc<str>, b: &Arc<str>| link.from == *a && link.to == *b;
            joins(&from, &to) || joins(&to, &from)
        });
        if let Some((name, _)) = link {
            *used.entry(Arc::clone(name)).or_default() += bytes;
        }
    }
    used
}

fn region(deployment: &DemoDeployment, target: &str) -> Option<Arc<str>> {
    let domain = &deployment.config.targets.get(target)?.domain;
    Some(Arc::clone(&deployment.config.domains.get(domain)?.region))
}
