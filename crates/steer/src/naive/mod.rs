//! The baseline that the decisions are measured against: traffic goes to its goal at once, with
//! no cap, no grants and no word between hosts.

use std::sync::Arc;

use crate::{DesiredSplits, hash};

/// TrafficSplit that are always at their goal.
#[derive(Clone, Debug, Default)]
pub struct UncappedSplit {
    desired_splits: DesiredSplits,
}

impl UncappedSplit {
    /// Follows goals from now on.
    pub fn set_desired(&mut self, desired_splits: &DesiredSplits) {
        self.desired_splits = desired_splits.clone();
    }

    /// The region that serves a request; `None` where the goal has none.
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
