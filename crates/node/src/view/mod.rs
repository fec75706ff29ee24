//! What a host holds to be true now: configuration, members, who owns what, where traffic goes.
//!
//! The control duty makes a view and publishes it whole; the other duties read the newest one
//! without a lock. So no request ever sees one half of a configuration and one half of the next.

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

/// A host's view. Published whole, never changed.
#[derive(Debug)]
pub struct View {
    /// Number of this view, one more for each that is published.
    pub number: u64,
    /// Revision of the configuration; 0 before there is one.
    pub revision: u64,
    /// The configuration.
    pub config: Arc<Config>,
    /// Whether this host holds a configuration and has heard from others since it last paused.
    pub ready: bool,
    /// Whether this host is leaving.
    pub leaving: bool,
    /// Live hosts by name, this one included.
    pub members: BTreeMap<Arc<str>, Arc<Member>>,
    /// Live hosts by incarnation.
    pub incarnations: BTreeMap<u64, Arc<Member>>,
    /// Every pool of the configuration.
    pub pools: BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
    /// Every service of the configuration.
    pub services: BTreeMap<Arc<str>, Arc<ServiceRoute>>,
    /// Shares of traffic that this host goes by.
    pub shares: Arc<TrafficSplit>,
    /// Answers to look-ups.
    pub answers: Arc<LookupAnswers>,
    /// Client blocks and their regions.
    pub blocks: Arc<Blocks>,
    /// Requests known to kill their targets.
    pub quarantines: Arc<Vec<QuarantineUpdate>>,
}

impl View {
    /// What a host holds before it has heard of anything.
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

    /// Region that a client address is near to; `fallback` where no block holds it.
    pub fn region(&self, client: IpAddr, fallback: &Arc<str>) -> Arc<str> {
        self.blocks
            .find(client)
            .map_or_else(|| Arc::clone(fallback), Arc::clone)
    }

    /// Rules of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name).map(|route| &route.rules)
    }
}
