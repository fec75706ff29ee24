//! Dominant resource fairness by progressive filling.

use super::{Demand, dominant_use};

/// Fraction of a resource below which it counts as used up; otherwise rounding could keep the loop
/// from ending.
const EPSILON: f64 = 1e-12;

/// Raises all users' dominant shares at the same speed; a user stops at its demand or when a
/// resource that it uses is used up.
///
/// Ghodsi et al., *Dominant Resource Fairness* (NSDI 2011), with limited demands: what one user
/// leaves is divided among the others.
pub fn dominant(capacity: &[f64], demands: &[Demand]) -> Vec<f64> {
    let mut remaining: Vec<f64> = capacity.to_vec();
    let mut units_given = vec![0.0; demands.len()];
    let speeds: Vec<f64> = demands
        .iter()
        .map(|demand| speed(capacity, demand))
        .collect();
    loop {
        let active: Vec<usize> = (0..demands.len())
            .filter(|n| speeds[*n] > 0.0 && units_given[*n] < demands[*n].max_units)
            .filter(|n| has_capacity(capacity, &remaining, &demands[*n]))
            .collect();
        if active.is_empty() {
            return units_given;
        }
        let step = step(&remaining, demands, &units_given, &speeds, &active);
        for n in active {
            let units = (step * speeds[n]).min(demands[n].max_units - units_given[n]);
            // A step that ends at a user's demand must end exactly there, regardless of rounding.
            units_given[n] =
                match units >= (demands[n].max_units - units_given[n]) * (1.0 - EPSILON) {
                    true => demands[n].max_units,
                    false => units_given[n] + units,
                };
            for (remaining, uses) in remaining.iter_mut().zip(&demands[n].uses) {
                *remaining -= units * uses;
            }
        }
    }
}

/// Returns the units that a user gains while its dominant share rises by 1. A user that uses no
/// resource gets its full demand at once if that is finite.
fn speed(capacity: &[f64], demand: &Demand) -> f64 {
    let uses = dominant_use(capacity, demand);
    if uses > 0.0 {
        return 1.0 / uses;
    }
    if demand.max_units.is_finite() {
        demand.max_units
    } else {
        0.0
    }
}

/// Whether some capacity remains of every resource that a user uses.
fn has_capacity(capacity: &[f64], remaining: &[f64], demand: &Demand) -> bool {
    let resources = demand.uses.iter().zip(capacity).zip(remaining);
    resources
        .filter(|((uses, _), _)| **uses > 0.0)
        .all(|((_, capacity), remaining)| *remaining > capacity * EPSILON)
}

/// Returns how far the dominant shares may rise until a user reaches its demand or a resource is
/// used up.
fn step(
    remaining: &[f64],
    demands: &[Demand],
    units_given: &[f64],
    speeds: &[f64],
    active: &[usize],
) -> f64 {
    let wants = active
        .iter()
        .map(|n| (demands[*n].max_units - units_given[*n]) / speeds[*n]);
    let mut step = wants.fold(f64::INFINITY, f64::min);
    for (resource, remaining) in remaining.iter().enumerate() {
        let uses = active
            .iter()
            .map(|n| demands[*n].uses[resource] * speeds[*n]);
        let sum: f64 = uses.sum();
        if sum > 0.0 {
            step = step.min(remaining / sum);
        }
    }
    step.max(0.0)
}
