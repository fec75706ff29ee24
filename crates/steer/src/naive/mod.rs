//! Baseline for comparison: all traffic moves at once to the split over regions that the
//! configuration asks for, without a cap on the rate of change, grants of capacity or messages
//! between hosts.

use std::sync::Arc;

use crate::{DesiredSplits, hash};

/// A split of traffic over regions that always equals the desired one.
#[derive(Clone, Debug, Default)]
pub struct UncappedSplit {
    desired_splits: DesiredSplits,
}

impl UncappedSplit {
    /// Replaces the desired splits.
    pub fn set_desired(&mut self, desired_splits: &DesiredSplits) {
        self.desired_splits = desired_splits.clone();
    }

    /// Returns the region that serves a request, chosen by a hash of `value` in proportion to the
    /// shares; `None` if the desired split has no region.
    pub fn pick_region(&self, service: &str, callers: &str, value: u64) -> Option<&Arc<str>> {
        let shares = &self.desired_splits.find(service, callers)?.shares;
        let mut remaining = hash::to_unit_f64(hash::mix64(value));
        for (region, share) in shares {
            remaining -= share;
            if remaining <= 0.0 {
                return Some(region);
            }
        }
        shares.keys().next_back()
    }
}
