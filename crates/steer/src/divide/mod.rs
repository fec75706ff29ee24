//! Algorithms that divide several scarce resources among users.
//!
//! A region's spare slots and a link's spare bytes may both be short, and users (colleges, or
//! services on the link) need them in different proportions: searches have long responses,
//! reservations occupy slots. With a separate rule for each resource, one resource is divided
//! fairly while the other stays idle; without any rule, the user that requests most gets most.
//!
//! All algorithms assign each user a number of units (such as requests per second) and keep the sum
//! of what the units use within the capacity of each resource. [`dominant`] is the one in use;
//! `docs/decisions/division.md` holds the comparison.

mod adaptive;
mod dominant;
mod equal;

pub use {adaptive::adaptive, dominant::dominant, equal::equal};

/// The demand of one user.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Use of each resource by one unit, at least 0; as long as the list of capacities.
    pub uses: Vec<f64>,
    /// Maximum number of units wanted, at least 0; infinite if there is no limit.
    pub max_units: f64,
}

/// Returns the dominant share of one unit: the largest of the fractions of each resource that it
/// uses.
fn dominant_use(capacity: &[f64], demand: &Demand) -> f64 {
    let parts = demand.uses.iter().zip(capacity);
    parts
        .filter(|(uses, _)| **uses > 0.0)
        .map(|(uses, capacity)| uses / capacity)
        .fold(0.0, f64::max)
}
