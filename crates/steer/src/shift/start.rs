//! The shares that a new host starts from.

use std::collections::BTreeMap;

use dunlinrock_config::goal::{Row, normal};

use super::{Peer, Rows};

/// What a host without shares knows of where to start.
#[derive(Clone, Debug, Default)]
pub(super) enum Start {
    /// Peers are alive that were not heard, and no other peer has shares.
    #[default]
    Unknown,
    /// Nobody has shares: there is no traffic that could jump, so the goal will do.
    Goal,
    /// Mean of the shares of all peers that have some.
    Mean(Rows),
}

impl Start {
    pub(super) fn from_peers(peers: &[Peer<'_>]) -> Self {
        let heard = peers.iter().filter_map(|peer| peer.rows);
        let with: Vec<&Rows> = heard.filter(|rows| !rows.is_empty()).collect();
        if !with.is_empty() {
            return Self::Mean(mean(&with));
        }
        if peers.iter().all(|peer| peer.rows.is_some()) {
            return Self::Goal;
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
            Self::Unknown | Self::Goal => None,
        }
    }
}

fn mean(all: &[&Rows]) -> Rows {
    let mut sums = Rows::new();
    for rows in all {
        for (service, lanes) in *rows {
            let sums = sums.entry(service.clone()).or_default();
            for (callers, row) in lanes {
                let sums: &mut BTreeMap<_, _> = sums.entry(callers.clone()).or_default();
                for (region, share) in row {
                    *sums.entry(region.clone()).or_default() += share;
                }
            }
        }
    }
    for lanes in sums.values_mut() {
        for row in lanes.values_mut() {
            *row = normal(std::mem::take(row));
        }
        lanes.retain(|_, row| !row.is_empty());
    }
    sums
}
