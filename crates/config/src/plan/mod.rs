//! Computes what would change between two configurations.

mod entries;
mod shifts;

use std::{fmt, sync::Arc, time::Duration};

use dunlinrock_schema::config::{Config, Drain};

pub use entries::{Change, Entry, Kind};

/// A shift of a service's traffic from the callers of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct Shift {
    /// The service.
    pub service: Arc<str>,
    /// Region of the callers.
    pub callers: Arc<str>,
    /// Total fraction of the callers' traffic that changes its serving region, from 0 to 1.
    pub fraction: f64,
    /// Minimum number of the cap's windows that the shift takes.
    pub min_windows: u64,
    /// Duration of the shift at the hosts' rate, which is below the cap's. The shift takes longer
    /// where regions grant too little headroom.
    pub duration: Duration,
}

/// Differences between two configurations and the shifts and drains that they cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries that change, by kind and name.
    pub entries: Vec<Entry>,
    /// Shifts that start, by service and region of callers.
    pub shifts: Vec<Shift>,
    /// Drains that start, with their names.
    pub drains_started: Vec<(Arc<str>, Drain)>,
    /// Drains that end, with their names.
    pub drains_ended: Vec<(Arc<str>, Drain)>,
}

impl Plan {
    /// Returns whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Compares two configurations.
pub fn plan(old: &Config, new: &Config) -> Plan {
    let missing = |from: &Config, other: &Config| {
        let drains = from.drains.iter();
        drains
            .filter(|(name, drain)| other.drains.get(*name) != Some(*drain))
            .map(|(name, drain)| (name.clone(), drain.clone()))
            .collect()
    };
    Plan {
        entries: entries::compare(old, new),
        shifts: shifts::compare(old, new),
        drains_started: missing(new, old),
        drains_ended: missing(old, new),
    }
}

/// Maximum number of entries of one kind that are listed; there can be hundreds of thousands of
/// blocks.
const MAX_SHOWN: usize = 20;

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "nothing changes");
        }
        for kind in Kind::ALL {
            let of_kind: Vec<_> = self.entries.iter().filter(|e| e.kind == kind).collect();
            for entry in of_kind.iter().take(MAX_SHOWN) {
                writeln!(f, "{entry}")?;
            }
            if of_kind.len() > MAX_SHOWN {
                writeln!(
                    f,
                    "  ... and {} more of kind {kind}",
                    of_kind.len() - MAX_SHOWN
                )?;
            }
        }
        for (name, drain) in &self.drains_started {
            writeln!(f, "drain `{name}` begins: {} `{}`", drain.kind, drain.name)?;
        }
        for (name, drain) in &self.drains_ended {
            writeln!(f, "drain `{name}` ends: {} `{}`", drain.kind, drain.name)?;
        }
        self.shifts.iter().try_for_each(|s| writeln!(f, "{s}"))
    }
}

impl fmt::Display for Shift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plural = if self.min_windows == 1 { "" } else { "s" };
        write!(
            f,
            "shift of `{}` for callers of `{}`: {:.1}% of the traffic, {} window{plural}, {:.1} s",
            self.service,
            self.callers,
            self.fraction * 100.0,
            self.min_windows,
            self.duration.as_secs_f64()
        )
    }
}
