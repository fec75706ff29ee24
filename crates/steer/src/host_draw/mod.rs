//! Draws the hosts that a lookup names, in proportion to what they can carry.
//!
//! Callers choose one of the named hosts at random. If every lookup names all hosts of a region, a
//! host with a tenth of a core and a narrow link gets as many callers as one with five times as
//! much, and their requests wait there while other hosts are idle. Each lookup therefore names a
//! sample of the hosts, and a host is in it with a probability in proportion to its capacity. Hosts
//! of equal capacity are all named.
//!
//! ```
//! use dunlinrock_steer::host_draw::{HostCapacity, draw};
//!
//! let large = HostCapacity { power: 50, link: 200 };
//! let small = HostCapacity { power: 10, link: 10 };
//! // Both large hosts are named each time, the small ones seldom.
//! let named = draw(&[large, small, small, large], 3);
//! assert!(named.contains(&0) && named.contains(&3));
//! assert_eq!(draw(&[small, small], 3).len(), 2);
//! ```

use crate::hash::{mix64, to_unit_f64};

/// Minimum number of hosts in a sample, if there are as many: one to use, one for failover, and one
/// more for the time until the next lookup.
const MIN_HOSTS: usize = 3;

/// What a host can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCapacity {
    /// Processor limit, in hundredths of a core; 0 if unknown.
    pub power: u32,
    /// Rate of its link, in Mbit/s; 0 if unknown.
    pub link: u32,
}

/// Returns the indexes of the hosts to name, in a random order that `seed` determines; about as many
/// as the hosts are worth in hosts of the greatest capacity, and at least three.
pub fn draw(hosts: &[HostCapacity], seed: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by_key(|i| mix64(seed ^ mix64(*i as u64)));
    let weights = weights(hosts);
    let total: f64 = weights.iter().sum();
    let step = (total / MIN_HOSTS as f64).min(1.0);
    // A systematic sample: a host is drawn if a multiple of the step falls into its interval, so
    // every sample has the same size but for one.
    let offset = to_unit_f64(mix64(seed)) * step;
    let mut end = offset;
    let mut named = Vec::new();
    for &index in &order {
        let start = end;
        end += weights[index];
        if (end / step).floor() > (start / step).floor() {
            named.push(index);
        }
    }
    match named.len() >= MIN_HOSTS {
        true => named,
        false => fill(named, &order, &weights),
    }
}

/// Returns the weight of each host: 1 for one that has most of everything.
///
/// A request needs the processor and the link one after the other, so the times that it takes at
/// them add up.
fn weights(hosts: &[HostCapacity]) -> Vec<f64> {
    let powers: Vec<_> = hosts.iter().map(|h| h.power).collect();
    let links: Vec<_> = hosts.iter().map(|h| h.link).collect();
    let times = relative_times(&powers).into_iter();
    let times: Vec<f64> = times
        .zip(relative_times(&links))
        .map(|(processor, link)| processor + link)
        .collect();
    let least = times.iter().copied().fold(f64::INFINITY, f64::min);
    times.into_iter().map(|time| least / time).collect()
}

/// Returns how many times as long as the fastest each takes; 1 for all if one is unknown.
fn relative_times(rates: &[u32]) -> Vec<f64> {
    let most = rates.iter().copied().max().unwrap_or_default();
    if rates.contains(&0) {
        return vec![1.0; rates.len()];
    }
    let times = rates.iter().map(|rate| f64::from(most) / f64::from(*rate));
    times.collect()
}

/// Adds the hosts of the greatest capacity that are missing in a small sample, in this order among
/// equals.
fn fill(mut named: Vec<usize>, order: &[usize], weights: &[f64]) -> Vec<usize> {
    let missing = order.iter().copied().filter(|i| !named.contains(i));
    let mut missing: Vec<_> = missing.collect();
    missing.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]));
    missing.truncate(MIN_HOSTS - named.len());
    named.extend(missing);
    named
}
