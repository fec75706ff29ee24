//! All hosts of a deployment, in the order in which look-ups want them.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_schema::config::Config;

use super::{ChosenHosts, FULL_WEIGHT, Host, MAX_HOSTS, SUSPECT_WEIGHT, WeightedHost};
use crate::hash;

/// Hosts by region, with the regions near to each. Replaced whole when something changes.
#[derive(Clone, Debug)]
pub struct HostTable {
    /// In order of region, then of name.
    hosts: Vec<Host>,
    /// As long as `hosts`: hash of the name, and the weight.
    keys: Vec<(u64, u16)>,
    /// For each region of callers, the hosts of each region (a range of `hosts`), nearest first.
    by_distance: BTreeMap<Arc<str>, Vec<(usize, usize)>>,
}

impl HostTable {
    /// Orders hosts; regions are near to one another by the delay of the link between them.
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

    /// The hosts for a block of callers near to a region; allocates nothing.
    ///
    /// Hosts of the callers' own region come first. Others fill the answer up where fewer than
    /// needed are well there: a caller whose region was lost still has whom to turn to.
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

    /// Adds the best hosts of a range, those of a least weight that are not there yet.
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
            // The order goes by the name alone: a change of load must not send callers elsewhere.
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

    /// The host of a choice.
    pub fn host(&self, choice: WeightedHost) -> Option<&Host> {
        self.hosts.get(choice.host as usize)
    }
}

/// All regions, the callers' own first, then by delay; those without a link last.
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
