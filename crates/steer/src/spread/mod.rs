//! Where each service's callers are meant to be served.
//!
//! The load: callers of one region, of one service; the operator says which regions serve them.
//! The goal is the operator's row less what drains and lost regions take out. It says nothing of
//! how fast to get there: that is for [`crate::TrafficSplit`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::goal::{self, Row};
use dunlinrock_schema::config::Config;

/// Where a service's callers in one region are meant to be served, and how fast that may change.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredSplit {
    /// Part of the traffic by serving region; empty where nobody can serve it.
    pub shares: Row,
    /// Regions that can serve at all: neither lost nor without targets. A region under a drain is
    /// among them until its last share has moved.
    pub eligible: BTreeSet<Arc<str>>,
    /// Largest part of the traffic that may move in any window, above 0 and at most 1.
    pub cap: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The goals of all services and regions of callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredSplits {
    /// DesiredSplits by service, then by region of callers.
    pub flows: BTreeMap<Arc<str>, BTreeMap<Arc<str>, DesiredSplit>>,
}

impl DesiredSplits {
    /// The goals under a configuration while some regions are lost.
    pub fn open(config: &Config, lost: &BTreeSet<Arc<str>>) -> Self {
        let flows = config.services.iter().map(|(name, service)| {
            let eligible: BTreeSet<Arc<str>> = goal::slots(config, name)
                .into_keys()
                .filter(|region| !lost.contains(region))
                .collect();
            let desired_splits = config.regions.keys().map(|callers| {
                let desired = DesiredSplit {
                    shares: goal::goal_without(config, name, callers, lost),
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

    /// The goal of a service's callers in one region.
    pub fn find(&self, service: &str, callers: &str) -> Option<&DesiredSplit> {
        self.flows.get(service)?.get(callers)
    }
}
