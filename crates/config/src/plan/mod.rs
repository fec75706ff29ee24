//! What would change between two configurations.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::config::{Config, Drain};

/// Kind of a named entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A service.
    Service,
    /// A region.
    Region,
    /// A failure domain.
    Domain,
    /// A link between regions.
    Link,
    /// A target.
    Target,
    /// A drain.
    Drain,
    /// A block of client addresses.
    Block,
}

/// What happens to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is new.
    Added,
    /// It is no longer there.
    Removed,
    /// It differs, in these keys.
    Changed(Vec<String>),
}

/// One entry that changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Kind of the entry.
    pub kind: Kind,
    /// Its name.
    pub name: Arc<str>,
    /// What happens to it.
    pub change: Change,
}

/// A move of a service's traffic from one region of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Shift {
    /// The service.
    pub service: Arc<str>,
    /// Region of the callers.
    pub callers: Arc<str>,
    /// Part of the callers' traffic that moves in all, of 1.
    pub moved: f64,
    /// Windows of the cap that the move takes.
    pub windows: u64,
    /// Time the move takes under the cap at best.
    pub takes: Duration,
}

/// What would change, which shifts start and which drains begin or end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries that change, by kind and name.
    pub entries: Vec<Entry>,
    /// Shifts that start, by service and region of callers.
    pub shifts: Vec<Shift>,
    /// Drains that begin, by name.
    pub begins: Vec<(Arc<str>, Drain)>,
    /// Drains that end, by name.
    pub ends: Vec<(Arc<str>, Drain)>,
}

/// Compares two configurations.
pub fn plan(_old: &Config, _new: &Config) -> Plan {
    todo!()
}
