//! The hosts of a deployment, in lookup order.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_schema::config::Config;

use super::{ChosenHosts, FULL_WEIGHT, Host, MAX_HOSTS, SUSPECT_WEIGHT, WeightedHost};
use crate::hash;

/// All hosts by region, and each region's other regions by distance. Rebuilt completely on each
/// change.
#[derive(Clone, Debug)]
pub struct HostTable {
    /// Ordered by region, then by name.
    hosts: Vec<Host>,
    /// Hash of the name and weight of each host; as long as `hosts`.
    keys: Vec<(u64, u16)>,
    /// For each region of callers, the hosts of each region (a range of `hosts`), nearest first.
    by_distance: BTreeMap<Arc<str>, Vec<(usize, usize)>>,
}

impl HostTable {
    /// Builds the table; the distance of two regions is the delay of the link between them.
    pub fn open(config: &Config, mut hosts: Vec<Host>) -> Self {
        hosts.sort_by(|a, b| (&a.region, &a.name).cmp(&(&b.region, &b.name)));
        let keys = hosts
            .iter()
            .map(|host| (hash::hash_str(&host.name), host.weight()))
            .collect();
        let by_distance = config.regions.keys().map(|callers| {
            let ranges = regions_by_distance(config, callers)
                .into_iter()
                .map(|region| {
                    let from = hosts.partition_point(|host| host.region < region);
                    let to = hosts.partition_point(|host| host.region <= region);
                    (from, to)
                });
            (
                callers.clone(),
                ranges.filter(|(from, to)| from < to).collect(),
            )
        });
        let by_distance = by_distance.collect();
        Self {
            hosts,
            keys,
            by_distance,
        }
    }

    /// Returns the hosts for a block of callers whose region is `callers`; allocates nothing.
    ///
    /// Hosts of the callers' own region come first. Hosts of other regions fill the result if fewer
    /// than needed are alive there, so callers of a failed region still get hosts.
    pub fn lookup(&self, callers: &str, block: u64) -> ChosenHosts {
        let mut choices = ChosenHosts::default();
        let mut count = 0;
        let Some(by_distance) = self.by_distance.get(callers) else {
            return choices;
        };
        for min_weight in [SUSPECT_WEIGHT + 1, SUSPECT_WEIGHT] {
            for (from, to) in by_distance {
                if count < MAX_HOSTS {
                    count = self.fill(&mut choices, count, block, *from..*to, min_weight);
                }
            }
        }
        choices
    }

    /// Adds the best hosts of a range that have at least the given weight and are not in the result
    /// yet.
    fn fill(
        &self,
        choices: &mut ChosenHosts,
        count: usize,
        block: u64,
        range: std::ops::Range<usize>,
        min_weight: u16,
    ) -> usize {
        let value = hash::mix64(block);
        let mut best: [Option<(u64, usize)>; MAX_HOSTS] = [None; MAX_HOSTS];
        let max_weight = if min_weight > SUSPECT_WEIGHT {
            FULL_WEIGHT
        } else {
            SUSPECT_WEIGHT
        };
        for at in range {
            let (key, weight) = self.keys[at];
            if weight < min_weight || weight > max_weight {
                continue;
            }
            // The order depends on the name alone: a change of load must not send callers to other
            // hosts.
            let score = hash::mix64(key ^ value);
            let position = best.partition_point(|other| other.is_some_and(|(o, _)| o >= score));
            if position < MAX_HOSTS {
                best[position..].rotate_right(1);
                best[position] = Some((score, at));
            }
        }
        let found = best.iter().flatten();
        let empty = choices.list[count..].iter_mut();
        let mut added = 0;
        for (slot, (_, at)) in empty.zip(found) {
            *slot = Some(WeightedHost {
                host: *at as u32,
                weight: self.keys[*at].1,
            });
            added += 1;
        }
        count + added
    }

    /// Returns the host of a lookup result's entry.
    pub fn host(&self, choice: WeightedHost) -> Option<&Host> {
        self.hosts.get(choice.host as usize)
    }
}

/// Returns all regions, the callers' own first, then by delay; regions without a link come last.
fn regions_by_distance(config: &Config, callers: &Arc<str>) -> Vec<Arc<str>> {
    let delay = |region: &Arc<str>| {
        if region == callers {
            return 0;
        }
        let link = dunlinrock_config::goal::link(config, callers, region);
        link.map_or(u64::MAX, |link| link.delay_us.max(1))
    };
    let mut regions: Vec<_> = config.regions.keys().cloned().collect();
    regions.sort_by_key(|region| (delay(region), region.clone()));
    regions
}
