//! Baseline for comparison: traffic moves to the desired split at once, without a cap, grants or
//! messages between hosts.

use std::sync::Arc;

use crate::{DesiredSplits, hash};

/// A split that always equals the desired one.
#[derive(Clone, Debug, Default)]
pub struct UncappedSplit {
    desired_splits: DesiredSplits,
}

impl UncappedSplit {
    /// Replaces the desired splits.
    pub fn set_desired(&mut self, desired_splits: &DesiredSplits) {
        self.desired_splits = desired_splits.clone();
    }

    /// Returns the region that serves a request; `None` if the desired split has none.
    pub fn pick_region(&self, service: &str, callers: &str, value: u64) -> Option<&Arc<str>> {
        let row = &self.desired_splits.find(service, callers)?.shares;
        let mut rest = hash::to_unit_f64(hash::mix64(value));
        for (region, share) in row {
            rest -= share;
            if rest <= 0.0 {
                return Some(region);
            }
        }
        row.keys().next_back()
    }
}
