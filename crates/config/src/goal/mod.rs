//! Computes the desired split: the shares of a service's traffic by serving region.
//!
//! The desired split for the callers of one region is the spread that the operator configured for
//! them, with each region's weight multiplied by the fraction of the service's slots there that is
//! not drained. If no weight remains, the traffic is not refused while other regions could serve
//! it: it goes to all linked regions with available slots, in proportion to these slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::config::{Config, DrainKind, Link, Target};

/// Fraction of a cap's rate at which each host shifts its traffic. The rest is reserved for changes
/// that are not the host's own shift; see `docs/decisions/shift.md`.
pub const CAP_FRACTION: f64 = 0.8;

/// Share of the traffic by serving region; the shares sum to 1, or the map is empty.
pub type RegionShares = BTreeMap<Arc<str>, f64>;

/// Returns the link between two regions, in either direction.
pub fn link<'c>(config: &'c Config, a: &str, b: &str) -> Option<&'c Link> {
    let joins =
        |link: &&Link| (&*link.from == a && &*link.to == b) || (&*link.from == b && &*link.to == a);
    config.links.values().find(joins)
}

/// Returns whether a target is drained, by itself or with its domain or region.
pub fn is_drained(config: &Config, name: &str, target: &Target) -> bool {
    let region = config.domains.get(&target.domain).map(|d| &*d.region);
    config.drains.values().any(|drain| match drain.kind {
        DrainKind::Target => &*drain.name == name,
        DrainKind::Domain => drain.name == target.domain,
        DrainKind::Region => Some(&*drain.name) == region,
        DrainKind::Host => false,
    })
}

/// A service's slots in one region.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// All slots.
    pub total: u64,
    /// Slots that are not drained; at most `total`.
    pub available: u64,
}

impl Slots {
    /// Returns the fraction of the slots that is available, from 0 to 1.
    pub fn available_fraction(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.available as f64 / self.total as f64
    }
}

/// Returns a service's slots by region.
pub fn slots(config: &Config, service: &str) -> BTreeMap<Arc<str>, Slots> {
    let mut slots: BTreeMap<Arc<str>, Slots> = BTreeMap::new();
    for (name, target) in &config.targets {
        if &*target.service != service {
            continue;
        }
        let Some(domain) = config.domains.get(&target.domain) else {
            continue;
        };
        let sum = slots.entry(domain.region.clone()).or_default();
        sum.total = sum.total.saturating_add(target.slots.get());
        if !is_drained(config, name, target) {
            sum.available = sum.available.saturating_add(target.slots.get());
        }
    }
    slots
}

/// Returns the shares that the operator configured for the callers of a region. Without a spread,
/// all traffic stays in the callers' region.
pub fn configured(config: &Config, service: &str, callers: &str) -> RegionShares {
    let shares = config
        .services
        .get(service)
        .and_then(|service| service.spread.get(callers));
    match shares {
        Some(shares) => normalize(shares.clone()),
        None => RegionShares::from([(Arc::from(callers), 1.0)]),
    }
}

/// Returns the desired split of a service's traffic from the callers of one region.
///
/// It is empty if no region can serve them.
pub fn desired_split(config: &Config, service: &str, callers: &str) -> RegionShares {
    desired_split_excluding(config, service, callers, &BTreeSet::new())
}

/// Returns the desired split of a service's traffic from the callers of one region, with the regions
/// in `lost` treated as regions without slots.
///
/// It is empty if no region can serve them.
pub fn desired_split_excluding(
    config: &Config,
    service: &str,
    callers: &str,
    lost: &BTreeSet<Arc<str>>,
) -> RegionShares {
    let mut slots = slots(config, service);
    slots.retain(|region, _| !lost.contains(region));
    let available_fraction = |region: &Arc<str>| {
        slots
            .get(region)
            .map_or(0.0, |slots| slots.available_fraction())
    };
    let mut shares = configured(config, service, callers);
    for (region, weight) in &mut shares {
        *weight *= available_fraction(region);
    }
    let shares = normalize(shares);
    if !shares.is_empty() {
        return shares;
    }
    let linked = |region: &str| region == callers || link(config, callers, region).is_some();
    let available = slots.iter().filter(|(region, _)| linked(region));
    normalize(
        available
            .map(|(r, slots)| (r.clone(), slots.available as f64))
            .collect(),
    )
}

/// Removes regions without weight and scales the rest to a sum of 1.
pub fn normalize(mut shares: RegionShares) -> RegionShares {
    shares.retain(|_, weight| weight.is_finite() && *weight > 0.0);
    // Divides by the largest weight first: the sum of very large weights would not be finite.
    let max = shares.values().copied().fold(0.0, f64::max);
    shares.values_mut().for_each(|weight| *weight /= max);
    let sum: f64 = shares.values().sum();
    shares.values_mut().for_each(|weight| *weight /= sum);
    shares.retain(|_, weight| *weight > 0.0);
    shares
}
