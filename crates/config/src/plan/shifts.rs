//! Computes the traffic shifts that a change of configuration starts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dunlinrock_schema::config::{Cap, Config};

use super::Shift;
use crate::goal::{CAP_FRACTION, RegionShares, desired_split};

/// Fraction of the traffic below which a difference is a rounding error, not a shift.
const EPSILON: f64 = 1e-9;

pub(super) fn compare(old: &Config, new: &Config) -> Vec<Shift> {
    let mut shifts = Vec::new();
    // `desired_split` walks all targets, so a plan costs services × regions × targets: a few thousand
    // steps today, and only when an operator's command asks for it.
    for (name, service) in &new.services {
        if !old.services.contains_key(name) {
            continue;
        }
        for callers in regions(old, new) {
            let before = desired_split(old, name, &callers);
            let after = desired_split(new, name, &callers);
            let fraction = moved_fraction(&before, &after);
            if fraction > EPSILON {
                shifts.push(shift(name, &callers, fraction, &service.cap));
            }
        }
    }
    shifts
}

fn regions(old: &Config, new: &Config) -> BTreeSet<Arc<str>> {
    let regions = old.regions.keys();
    regions
        .filter(|region| new.regions.contains_key(*region))
        .cloned()
        .collect()
}

/// Returns the fraction of the traffic whose serving region differs between two splits.
fn moved_fraction(before: &RegionShares, after: &RegionShares) -> f64 {
    let gain = |(region, share): (&Arc<str>, &f64)| {
        (share - before.get(region).copied().unwrap_or(0.0)).max(0.0)
    };
    // If no region served before, there is no traffic to shift.
    if before.is_empty() {
        return 0.0;
    }
    after.iter().map(gain).sum()
}

fn shift(service: &Arc<str>, callers: &Arc<str>, fraction: f64, cap: &Cap) -> Shift {
    let windows = fraction / cap.share;
    let window = Duration::from_millis(cap.window_ms).as_secs_f64();
    Shift {
        service: service.clone(),
        callers: callers.clone(),
        fraction,
        min_windows: (windows - EPSILON).ceil().max(1.0) as u64,
        duration: Duration::try_from_secs_f64(window * windows / CAP_FRACTION)
            .unwrap_or(Duration::MAX),
    }
}
