//! Initial shares of a host that has none.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_config::goal::{RegionShares, normalize};

use super::{PeerSplit, SplitTable};

/// What a host without shares starts from.
#[derive(Clone, Debug, Default)]
pub(super) enum InitialSplit {
    /// Some live peers have not answered yet, and no other peer has shares.
    #[default]
    Unknown,
    /// No peer has shares: there is no traffic that could jump, so the host starts from the desired
    /// split.
    Desired,
    /// Mean of the shares of all peers that have some.
    Mean(SplitTable),
}

impl InitialSplit {
    pub(super) fn from_peers(peers: &[PeerSplit<'_>]) -> Self {
        let known = peers.iter().filter_map(|peer| peer.table);
        let with: Vec<&SplitTable> = known.filter(|table| !table.is_empty()).collect();
        if !with.is_empty() {
            return Self::Mean(mean_table(&with));
        }
        if peers.iter().all(|peer| peer.table.is_some()) {
            return Self::Desired;
        }
        Self::Unknown
    }

    pub(super) fn known(&self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Returns the initial shares of a flow, if any peer has some.
    pub(super) fn find(&self, service: &str, callers: &str) -> Option<&RegionShares> {
        match self {
            Self::Mean(table) => table.get(service)?.get(callers),
            Self::Unknown | Self::Desired => None,
        }
    }
}

/// Returns the mean of the splits; empty if there are none.
pub(super) fn mean_split<'r>(splits: impl Iterator<Item = &'r RegionShares>) -> RegionShares {
    let mut sum = RegionShares::new();
    for split in splits {
        for (region, share) in split {
            *sum.entry(region.clone()).or_default() += share;
        }
    }
    normalize(sum)
}

fn mean_table(all: &[&SplitTable]) -> SplitTable {
    let mut groups: BTreeMap<_, BTreeMap<_, Vec<&RegionShares>>> = BTreeMap::new();
    for (service, flows) in all.iter().copied().flatten() {
        let groups = groups.entry(service).or_default();
        for (callers, split) in flows {
            groups.entry(callers).or_default().push(split);
        }
    }
    let mean = |splits: Vec<&RegionShares>| mean_split(splits.into_iter());
    let flows = |flows: BTreeMap<&Arc<str>, Vec<&RegionShares>>| {
        let splits = flows.into_iter();
        let splits = splits.map(|(callers, splits)| (callers.clone(), mean(splits)));
        splits.filter(|(_, split)| !split.is_empty()).collect()
    };
    let services = groups.into_iter();
    services
        .map(|(service, splits)| (service.clone(), flows(splits)))
        .collect()
}
