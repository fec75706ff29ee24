//! The shares that a new host starts from.

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_config::goal::{Row, normal};

use super::{PeerSplit, SplitTable};

/// What a host without shares knows of where to start.
#[derive(Clone, Debug, Default)]
pub(super) enum Start {
    /// Peers are alive that were not heard, and no other peer has shares.
    #[default]
    Unknown,
    /// Nobody has shares: there is no traffic that could jump, so the goal will do.
    Desired,
    /// Mean of the shares of all peers that have some.
    Mean(SplitTable),
}

impl Start {
    pub(super) fn from_peers(peers: &[PeerSplit<'_>]) -> Self {
        let heard = peers.iter().filter_map(|peer| peer.table);
        let with: Vec<&SplitTable> = heard.filter(|rows| !rows.is_empty()).collect();
        if !with.is_empty() {
            return Self::Mean(mean(&with));
        }
        if peers.iter().all(|peer| peer.table.is_some()) {
            return Self::Desired;
        }
        Self::Unknown
    }

    pub(super) fn known(&self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// The row to start a lane from, if any peer has one.
    pub(super) fn row(&self, service: &str, callers: &str) -> Option<&Row> {
        match self {
            Self::Mean(rows) => rows.get(service)?.get(callers),
            Self::Unknown | Self::Desired => None,
        }
    }
}

/// Mean of rows; empty where there are none.
pub(super) fn mean_row<'r>(rows: impl Iterator<Item = &'r Row>) -> Row {
    let mut sum = Row::new();
    for row in rows {
        for (region, share) in row {
            *sum.entry(region.clone()).or_default() += share;
        }
    }
    normal(sum)
}

fn mean(all: &[&SplitTable]) -> SplitTable {
    let mut lists: BTreeMap<_, BTreeMap<_, Vec<&Row>>> = BTreeMap::new();
    for (service, lanes) in all.iter().copied().flatten() {
        let lists = lists.entry(service).or_default();
        for (callers, row) in lanes {
            lists.entry(callers).or_default().push(row);
        }
    }
    let mean = |rows: Vec<&Row>| mean_row(rows.into_iter());
    let lanes = |lanes: BTreeMap<&Arc<str>, Vec<&Row>>| {
        let rows = lanes.into_iter();
        let rows = rows.map(|(callers, rows)| (callers.clone(), mean(rows)));
        rows.filter(|(_, row)| !row.is_empty()).collect()
    };
    let services = lists.into_iter();
    services
        .map(|(service, rows)| (service.clone(), lanes(rows)))
        .collect()
}
