//! Dominant-resource fairness by progressive filling.

use super::{Demand, dominant_use};

/// Part of a resource below which it counts as used up; rounding would else go on for ever.
const SPENT: f64 = 1e-12;

/// Raises all users' dominant parts at one speed; a user stops at what it wants or where a
/// resource that it uses is used up.
///
/// Ghodsi et al., *Dominant Resource Fairness* (NSDI 2011), with limited demands: what one user
/// leaves is divided among the others.
pub fn dominant(capacity: &[f64], demands: &[Demand]) -> Vec<f64> {
    let mut left: Vec<f64> = capacity.to_vec();
    let mut given = vec![0.0; demands.len()];
    let speeds: Vec<f64> = demands
        .iter()
        .map(|demand| speed(capacity, demand))
        .collect();
    loop {
        let active: Vec<usize> = (0..demands.len())
            .filter(|n| speeds[*n] > 0.0 && given[*n] < demands[*n].max_units)
            .filter(|n| open(capacity, &left, &demands[*n]))
            .collect();
        if active.is_empty() {
            return given;
        }
        let step = step(&left, demands, &given, &speeds, &active);
        for n in active {
            let units = (step * speeds[n]).min(demands[n].max_units - given[n]);
            // A step that ends at what a user wants must end there, whatever rounding says.
            given[n] = match units >= (demands[n].max_units - given[n]) * (1.0 - SPENT) {
                true => demands[n].max_units,
                false => given[n] + units,
            };
            for (left, uses) in left.iter_mut().zip(&demands[n].uses) {
                *left -= units * uses;
            }
        }
    }
}

/// Units a user gains while its dominant part rises by 1. A user that uses nothing gets what it
/// wants at once, where that is finite.
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

/// Whether something is left of all that a user uses.
fn open(capacity: &[f64], left: &[f64], demand: &Demand) -> bool {
    let resources = demand.uses.iter().zip(capacity).zip(left);
    resources
        .filter(|((uses, _), _)| **uses > 0.0)
        .all(|((_, capacity), left)| *left > capacity * SPENT)
}

/// How far all may rise until one has what it wants or a resource is used up.
fn step(left: &[f64], demands: &[Demand], given: &[f64], speeds: &[f64], active: &[usize]) -> f64 {
    let wants = active
        .iter()
        .map(|n| (demands[*n].max_units - given[*n]) / speeds[*n]);
    let mut step = wants.fold(f64::INFINITY, f64::min);
    for (resource, left) in left.iter().enumerate() {
        let uses = active
            .iter()
            .map(|n| demands[*n].uses[resource] * speeds[*n]);
        let sum: f64 = uses.sum();
        if sum > 0.0 {
            step = step.min(left / sum);
        }
    }
    step.max(0.0)
}
