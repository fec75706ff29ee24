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
pub const PACE: f64 = 0.8;

/// For each serving region its part of the traffic; the parts sum up to 1, or there are none.
pub type Row = BTreeMap<Arc<str>, f64>;

/// The link between two regions.
pub fn link<'c>(config: &'c Config, a: &str, b: &str) -> Option<&'c Link> {
    let joins =
        |link: &&Link| (&*link.from == a && &*link.to == b) || (&*link.from == b && &*link.to == a);
    config.links.values().find(joins)
}

/// Whether a drain takes a target out, itself or with its domain or region.
pub fn drained(config: &Config, name: &str, target: &Target) -> bool {
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
    pub all: u64,
    /// Slots that no drain takes out; at most `all`.
    pub left: u64,
}

impl Slots {
    /// The part that is left, of 1.
    pub fn part(self) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        self.left as f64 / self.all as f64
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
        sum.all = sum.all.saturating_add(target.slots.get());
        if !drained(config, name, target) {
            sum.left = sum.left.saturating_add(target.slots.get());
        }
    }
    slots
}

/// The row that the operator wrote for the callers of a region: itself alone where there is none.
pub fn written(config: &Config, service: &str, callers: &str) -> Row {
    let row = config
        .services
        .get(service)
        .and_then(|service| service.spread.get(callers));
    match row {
        Some(row) => normal(row.clone()),
        None => Row::from([(Arc::from(callers), 1.0)]),
    }
}

/// The goal of a service's callers in one region.
///
/// Empty where no region can serve them.
pub fn goal(config: &Config, service: &str, callers: &str) -> Row {
    goal_without(config, service, callers, &BTreeSet::new())
}

/// The goal of a service's callers in one region while some regions are lost: a lost region counts
/// as one without slots.
///
/// Empty where no region can serve them.
pub fn goal_without(
    config: &Config,
    service: &str,
    callers: &str,
    lost: &BTreeSet<Arc<str>>,
) -> Row {
    let mut slots = slots(config, service);
    slots.retain(|region, _| !lost.contains(region));
    let part = |region: &Arc<str>| slots.get(region).map_or(0.0, |slots| slots.part());
    let mut row = written(config, service, callers);
    for (region, weight) in &mut row {
        *weight *= part(region);
    }
    let row = normal(row);
    if !row.is_empty() {
        return row;
    }
    let linked = |region: &str| region == callers || link(config, callers, region).is_some();
    let left = slots.iter().filter(|(region, _)| linked(region));
    normal(
        left.map(|(r, slots)| (r.clone(), slots.left as f64))
            .collect(),
    )
}

/// Leaves out regions without weight and brings the sum to 1.
pub fn normal(mut row: Row) -> Row {
    row.retain(|_, weight| weight.is_finite() && *weight > 0.0);
    // The largest weight goes out first: a sum of large weights would not be finite.
    let most = row.values().copied().fold(0.0, f64::max);
    row.values_mut().for_each(|weight| *weight /= most);
    let sum: f64 = row.values().sum();
    row.values_mut().for_each(|weight| *weight /= sum);
    row.retain(|_, weight| *weight > 0.0);
    row
}
