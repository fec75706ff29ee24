//! The desired split of traffic over regions, for each service and region of callers.
//!
//! Operators configure which regions serve a service's callers in a region. The desired split is
//! this configuration without drained and unavailable regions. How fast traffic moves towards it is
//! up to [`crate::TrafficSplit`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::goal::{self, RegionShares};
use dunlinrock_schema::config::Config;

/// The desired split of one service's traffic from the callers of one region, and its cap on moves.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredSplit {
    /// Share of the traffic by serving region; empty if no region can serve it.
    pub shares: RegionShares,
    /// Regions that can serve: available and with targets. A region under a drain is included until
    /// its last share has moved.
    pub eligible: BTreeSet<Arc<str>>,
    /// Largest fraction of the traffic that may move within a window, above 0 and at most 1.
    pub cap: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The desired splits of all services and regions of callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredSplits {
    /// Desired splits by service, then by region of callers.
    pub flows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, DesiredSplit>>,
}

impl DesiredSplits {
    /// Computes the desired splits of a configuration while the regions in `lost` are unavailable.
    pub fn open(config: &Config, lost: &BTreeSet<Arc<str>>) -> Self {
        let flows = config.services.iter().map(|(name, service)| {
            let eligible: BTreeSet<Arc<str>> = goal::slots(config, name)
                .into_keys()
                .filter(|region| !lost.contains(region))
                .collect();
            let desired_splits = config.regions.keys().map(|callers| {
                let desired = DesiredSplit {
                    shares: goal::desired_split_excluding(config, name, callers, lost),
                    eligible: eligible.clone(),
                    cap: service.cap.share,
                    window: Duration::from_millis(service.cap.window_ms),
                };
                (callers.clone(), desired)
            });
            (name.clone(), desired_splits.collect())
        });
        Self {
            flows: flows.collect(),
        }
    }

    /// Returns the desired split of a service's callers in one region.
    pub fn find(&self, service: &str, callers: &str) -> Option<&DesiredSplit> {
        self.flows.get(service)?.get(callers)
    }
}
