//! The table at the demo's end.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    sync::Arc,
};

use super::{deployment::Stage, invariants::Audit, sampler::Samples};
use crate::load::{Pace, Report, Tally};

/// Writes the table.
pub(super) fn table(
    stage: &Stage,
    pace: &Pace,
    tally: &Tally,
    samples: &Samples,
    audit: &Audit,
) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write(&mut out, stage, pace, tally, samples, audit);
    out
}

fn write(
    out: &mut String,
    stage: &Stage,
    pace: &Pace,
    tally: &Tally,
    samples: &Samples,
    audit: &Audit,
) -> fmt::Result {
    writeln!(out, "\nTime to answer")?;
    write!(out, "{}", Report::of(pace, tally))?;
    writeln!(out, "\nHeadroom of regions (free slots)")?;
    writeln!(
        out,
        "{:<32}{:>8}{:>8}{:>8}",
        "region", "slots", "mean", "least"
    )?;
    for (name, region) in &samples.regions {
        let (mean, low) = (region.mean() * 100.0, region.low() * 100.0);
        writeln!(out, "{name:<32}{:>8}{mean:>7.1}%{low:>7.1}%", region.slots)?;
    }
    writeln!(out, "\nRequests begun by targets")?;
    writeln!(out, "{:<32}{:>12}{:>12}", "domain", "before drain", "after")?;
    for (name, domain) in &samples.domains {
        let after = domain.started - domain.before;
        writeln!(out, "{name:<32}{:>12}{after:>12}", domain.before)?;
    }
    writeln!(out, "\nHeadroom of links (answers, mean)")?;
    writeln!(
        out,
        "{:<32}{:>12}{:>12}{:>8}",
        "link", "bytes/s", "limit", "free"
    )?;
    let used = links(stage, tally);
    for (name, link) in &stage.config.links {
        let bytes = used.get(name).copied().unwrap_or_default();
        let rate = bytes as f64 / pace.time.as_secs_f64();
        let limit = link.bytes_per_s.get();
        let free = (1.0 - rate / limit as f64) * 100.0;
        writeln!(out, "{name:<32}{rate:>12.0}{limit:>12}{free:>7.1}%")?;
    }
    writeln!(out, "\nDrain time")?;
    let drain = audit.drain.as_secs_f64();
    writeln!(out, "domain {:<25}{drain:>8.3} s", audit.domain)?;
    if let Some(stop) = &audit.stop {
        let time = stop.time.as_secs_f64();
        writeln!(out, "host {:<27}{time:>8.3} s", stop.name)?;
    }
    writeln!(out, "\nPromises")?;
    for (text, kept) in audit.promises() {
        let mark = if kept { "kept  " } else { "BROKEN" };
        writeln!(out, "{mark}  {text}")?;
    }
    Ok(())
}

/// Adds up the bytes of answers that went over each link: from the region of the target to the
/// region of the host that answered.
fn links(stage: &Stage, tally: &Tally) -> BTreeMap<Arc<str>, u64> {
    let mut used = BTreeMap::new();
    for ((host, target), bytes) in &tally.bytes {
        let ends = stage.region_of(*host).zip(region(stage, target));
        let Some((from, to)) = ends.filter(|(from, to)| from != to) else {
            continue;
        };
        let link = stage.config.links.iter().find(|(_, link)| {
            let joins = |a: &Arc<str>, b: &Arc<str>| link.from == *a && link.to == *b;
            joins(&from, &to) || joins(&to, &from)
        });
        if let Some((name, _)) = link {
            *used.entry(Arc::clone(name)).or_default() += bytes;
        }
    }
    used
}

fn region(stage: &Stage, target: &str) -> Option<Arc<str>> {
    let domain = &stage.config.targets.get(target)?.domain;
    Some(Arc::clone(&stage.config.domains.get(domain)?.region))
}
