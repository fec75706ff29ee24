//! How the objects of each region's callers are spread over the regions' targets.
//!
//! Load: callers of all regions alike, and regions whose targets are few. Bytes between regions are
//! slow and dear, so an object belongs near its callers; but a region with an eighth of the slots
//! and a third of the callers would be overrun. Each region keeps as many of its own objects as its
//! part of the slots allows, and the rest go where slots are left over.
//!
//! The rows follow from slots and from a demand that is given, not from rates that were just
//! measured: a row that follows the hour's traffic moves objects with it, and each move costs a slow
//! run, while the swing itself evens out over a region's objects.

use std::{collections::BTreeMap, sync::Arc};

/// How much of its own objects a region keeps.
#[derive(Clone, Copy, Debug)]
pub struct RowRules {
    /// Largest part that stays: the rest goes elsewhere even where slots abound, so that the peak of
    /// one region's callers meets more than its own targets.
    pub most: f64,
    /// Part of a region's slots that its own callers may fill, against their share of all callers.
    pub fill: f64,
}

impl Default for RowRules {
    fn default() -> RowRules {
        RowRules {
            most: 0.9,
            fill: 0.9,
        }
    }
}

/// Least part of a region's slots that counts as left over, so that no region with targets is ever
/// out of the choice.
const LEAST_SPARE: f64 = 0.05;

/// Weight of one slot in each region, for callers of the region `near`.
///
/// `slots` are the slots of the service by region, `demand` the callers by region in any unit;
/// regions without demand have none.
pub fn row(
    near: &str,
    slots: &BTreeMap<Arc<str>, f64>,
    demand: &BTreeMap<Arc<str>, f64>,
    rules: &RowRules,
) -> BTreeMap<Arc<str>, f64> {
    let (all_slots, all_demand) = (sum(slots), sum(demand));
    let kept = |region: &str| {
        let part = slots.get(region).copied().unwrap_or_default() / all_slots;
        let calls = demand.get(region).copied().unwrap_or_default() / all_demand;
        if calls > 0.0 {
            (rules.fill * part / calls).min(rules.most)
        } else {
            0.0
        }
    };
    let spare = |region: &str| {
        let part = slots.get(region).copied().unwrap_or_default() / all_slots;
        let calls = demand.get(region).copied().unwrap_or_default() / all_demand;
        (part - calls * kept(region)).max(part * LEAST_SPARE)
    };
    let others: f64 = slots
        .keys()
        .filter(|r| &***r != near)
        .map(|r| spare(r))
        .sum();
    let stays = if others > 0.0 { kept(near) } else { 1.0 };
    let share = |region: &str| match region == near {
        true => stays,
        false => (1.0 - stays) * spare(region) / others,
    };
    let regions = slots.iter().filter(|(_, slots)| **slots > 0.0);
    regions
        .map(|(region, slots)| (Arc::clone(region), share(region) / slots))
        .collect()
}

fn sum(of: &BTreeMap<Arc<str>, f64>) -> f64 {
    of.values().sum()
}
