//! What would change between two configurations.

mod entries;
mod shifts;

use std::{fmt, sync::Arc, time::Duration};

use dunlinrock_schema::config::{Config, Drain};

pub use entries::{Change, Entry, Kind};

/// A move of a service's traffic from one region of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Shift {
    /// The service.
    pub service: Arc<str>,
    /// Region of the callers.
    pub callers: Arc<str>,
    /// Part of the callers' traffic that moves in all, of 1.
    pub fraction: f64,
    /// Least windows of the cap that the move needs.
    pub min_windows: u64,
    /// Time the move takes at the hosts' pace, which is below the cap's; longer where regions grant
    /// too little headroom.
    pub duration: Duration,
}

/// What would change, which shifts start and which drains begin or end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries that change, by kind and name.
    pub entries: Vec<Entry>,
    /// Shifts that start, by service and region of callers.
    pub shifts: Vec<Shift>,
    /// Drains that begin, by name.
    pub drains_started: Vec<(Arc<str>, Drain)>,
    /// Drains that end, by name.
    pub drains_ended: Vec<(Arc<str>, Drain)>,
}

impl Plan {
    /// Whether nothing would change.
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

/// Most entries of one kind that are shown by name; blocks come in hundreds of thousands.
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
