//! Rules that divide several scarce resources among those who want them.
//!
//! The load: a region's spare slots and a link's spare bytes are both short, and rival colleges
//! (or services, on the link) want them in different proportions: searches carry long answers,
//! reservations hold slots. With a rule for each resource alone, one resource is divided fairly
//! and the other stands idle; with none, whoever asks most gets most.
//!
//! All rules give each user a number of units (requests a second, say) and keep the sum of what
//! the units use within the capacity of each resource. [`dominant`] is the one in use;
//! `docs/decisions/division.md` holds the figures of the comparison.

mod adaptive;
mod dominant;
mod equal;

pub use {adaptive::adaptive, dominant::dominant, equal::equal};

/// What one user wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// What one unit uses of each resource, at least 0; as long as the list of capacities.
    pub uses: Vec<f64>,
    /// Units wanted at most, at least 0; infinite where there is no limit.
    pub max_units: f64,
}

/// Units that would use up all of a resource of which nothing else is used: the user's part of
/// each resource that one unit takes, the largest of them.
fn dominant_use(capacity: &[f64], demand: &Demand) -> f64 {
    let parts = demand.uses.iter().zip(capacity);
    parts
        .filter(|(uses, _)| **uses > 0.0)
        .map(|(uses, capacity)| uses / capacity)
        .fold(0.0, f64::max)
}
