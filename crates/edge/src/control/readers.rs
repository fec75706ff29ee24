//! Which hosts read the store for the others.
//!
//! The heartbeats of all targets pass through every host that watches the store; in a fleet of 600
//! targets that is some 120 KB a second for each, most of it between regions. Two hosts read, and
//! pass on only what changes something.

use std::{collections::BTreeMap, sync::Arc};

use crate::model::HostEntry;

/// Hosts that read the store. With one, its death would send all others to the store at once.
pub const READERS: usize = 2;

/// The readers, first choice first: those nearest to the store, so that what the readers drop does
/// not travel between regions. All hosts that know the same hosts name the same.
pub fn readers(hosts: &BTreeMap<Arc<str>, Arc<HostEntry>>) -> Vec<Arc<HostEntry>> {
    let mut all: Vec<_> = hosts.values().cloned().collect();
    all.sort_by(|a, b| {
        a.distance
            .cmp(&b.distance)
            .then_with(|| a.name.cmp(&b.name))
    });
    all.truncate(READERS);
    all
}
