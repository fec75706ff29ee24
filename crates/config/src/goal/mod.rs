//! Where a service's traffic is meant to go under a configuration.
//!
//! The goal of a region's callers is the row that the operator wrote for them, less what drains
//! take out: a region's weight counts by the part of the service's slots that is left in it. Where
//! no weight of the row is left, the traffic is not turned away while other regions could take it:
//! it goes to all linked regions that have slots left, in proportion to these slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::config::{Config, DrainKind, Link, Target};

/// Part of a cap's speed at which each host moves its shares. The rest is kept for what is not a
/// host's own move, as `docs/decisions/shift.md` says.
pub const CAP_FRACTION: f64 = 0.8;

/// For each serving region its part of the traffic; the parts sum up to 1, or there are none.
pub type RegionShares = BTreeMap<Arc<str>, f64>;

/// The link between two regions.
pub fn link<'c>(config: &'c Config, a: &str, b: &str) -> Option<&'c Link> {
    let joins =
        |link: &&Link| (&*link.from == a && &*link.to == b) || (&*link.from == b && &*link.to == a);
    config.links.values().find(joins)
}

/// Whether a drain takes a target out, itself or with its domain or region.
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
    /// Slots that no drain takes out; at most `all`.
    pub available: u64,
}

impl Slots {
    /// The part that is left, of 1.
    pub fn available_fraction(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.available as f64 / self.total as f64
    }
}

/// A service's slots by region.
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

/// The row that the operator wrote for the callers of a region: itself alone where there is none.
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

/// The goal of a service's callers in one region.
///
/// Empty where no region can serve them.
pub fn desired_split(config: &Config, service: &str, callers: &str) -> RegionShares {
    desired_split_excluding(config, service, callers, &BTreeSet::new())
}

/// The goal of a service's callers in one region while some regions are lost: a lost region counts
/// as one without slots.
///
/// Empty where no region can serve them.
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

/// Leaves out regions without weight and brings the sum to 1.
pub fn normalize(mut shares: RegionShares) -> RegionShares {
    shares.retain(|_, weight| weight.is_finite() && *weight > 0.0);
    // The largest weight goes out first: a sum of large weights would not be finite.
    let max = shares.values().copied().fold(0.0, f64::max);
    shares.values_mut().for_each(|weight| *weight /= max);
    let sum: f64 = shares.values().sum();
    shares.values_mut().for_each(|weight| *weight /= sum);
    shares.retain(|_, weight| *weight > 0.0);
    shares
}
