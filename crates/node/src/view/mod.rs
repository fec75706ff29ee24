//! The view: a snapshot of configuration, members, pool owners and traffic shares.
//!
//! The control worker builds a view and replaces the previous one atomically; the other workers
//! read the current view without a lock. So no request sees a mix of two configurations.

mod lookup;
mod member;
mod route;

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use dunlinrock_decide::{
    admit::QuarantineUpdate,
    steer::{Blocks, TrafficSplit},
};
use dunlinrock_schema::config::{Config, Service};

pub use self::{
    lookup::{LookupAnswers, VARIANTS_PER_REGION},
    member::Member,
    route::{LoadReading, PoolRoute, RouteParts, ServiceRoute},
};
use crate::duties::pools::PoolId;

/// A host's view. It is immutable once published.
#[derive(Debug)]
pub struct View {
    /// Sequence number of this view, incremented by one with each published view.
    pub number: u64,
    /// Revision of the configuration; 0 before there is one.
    pub revision: u64,
    /// The configuration.
    pub config: Arc<Config>,
    /// Whether this host has a configuration and has heard from other hosts since its process last
    /// paused.
    pub ready: bool,
    /// Whether this host is shutting down.
    pub leaving: bool,
    /// Live hosts by name, including this one.
    pub members: BTreeMap<Arc<str>, Arc<Member>>,
    /// Live hosts by incarnation.
    pub incarnations: BTreeMap<u64, Arc<Member>>,
    /// Every pool of the configuration.
    pub pools: BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
    /// Every service of the configuration.
    pub services: BTreeMap<Arc<str>, Arc<ServiceRoute>>,
    /// Traffic shares that this host applies.
    pub shares: Arc<TrafficSplit>,
    /// Prepared answers to lookups.
    pub answers: Arc<LookupAnswers>,
    /// Client blocks and their regions.
    pub blocks: Arc<Blocks>,
    /// Quarantined requests: those known to crash their targets.
    pub quarantines: Arc<Vec<QuarantineUpdate>>,
}

impl View {
    /// Returns the view of a host that has received nothing yet.
    pub fn empty() -> View {
        View {
            number: 0,
            revision: 0,
            config: Arc::default(),
            ready: false,
            leaving: false,
            members: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            shares: Arc::new(TrafficSplit::open()),
            answers: Arc::default(),
            blocks: Arc::new(Blocks::builder().finish()),
            quarantines: Arc::default(),
        }
    }

    /// Returns the region of the client block that contains the address; `fallback` if no block
    /// does.
    pub fn region(&self, client: IpAddr, fallback: &Arc<str>) -> Arc<str> {
        self.blocks
            .find(client)
            .map_or_else(|| Arc::clone(fallback), Arc::clone)
    }

    /// Returns the rules of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name).map(|route| &route.rules)
    }
}
