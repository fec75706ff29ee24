//! Equal division of each resource.

use super::Demand;

/// Assigns each user an equal part of each resource; unused parts are not given to others.
pub fn equal(capacity: &[f64], demands: &[Demand]) -> Vec<f64> {
    let users = demands.len().max(1) as f64;
    let units = |demand: &Demand| {
        let parts = demand.uses.iter().zip(capacity);
        parts
            .filter(|(uses, _)| **uses > 0.0)
            .map(|(uses, capacity)| capacity.max(0.0) / users / uses)
            .fold(demand.max_units, f64::min)
    };
    demands.iter().map(units).collect()
}
