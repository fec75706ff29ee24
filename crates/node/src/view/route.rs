//! Where the requests of a service go.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_decide::admit::Load;
use dunlinrock_schema::config::Service;

use super::Member;
use crate::duties::pools::PoolId;

/// One service.
#[derive(Debug)]
pub struct ServiceRoute {
    /// Its rules.
    pub rules: Arc<Service>,
    /// For each region of callers, where their requests go.
    pub picks: BTreeMap<Arc<str>, Pick>,
    /// Its pools by region.
    pub regions: BTreeMap<Arc<str>, Vec<Arc<PoolRoute>>>,
    /// Answers to look-ups by region of callers, ready to send.
    pub answers: BTreeMap<Arc<str>, Vec<Bytes>>,
}

/// Shares of the regions that serve one region's callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pick {
    /// Regions with the sum of the shares up to and with their own; the last is 1 or less, and
    /// what is missing cannot be served now.
    pub sums: Vec<(f64, Arc<str>)>,
    /// When what cannot be served now may be tried again.
    pub retry_after: Duration,
}

impl Pick {
    /// Region for a request; `draw` is uniform in 0 to 1.
    pub fn region(&self, draw: f64) -> Option<&Arc<str>> {
        self.sums.iter().find(|(sum, _)| draw < *sum).map(|(_, region)| region)
    }
}

/// One pool and the host that owns it.
#[derive(Debug)]
pub struct PoolRoute {
    /// Which pool.
    pub id: Arc<PoolId>,
    /// Host that owns it; none while no host is live.
    pub owner: Option<Arc<Member>>,
    /// Addresses of its targets by name.
    pub targets: BTreeMap<Arc<str>, SocketAddr>,
    /// Its load, as last heard.
    pub load: Load,
    /// When that was heard, on this host's clock.
    pub heard: Duration,
    /// One-way delay to the owner.
    pub delay: Duration,
    /// Requests that this host has handed to it since that was heard.
    pub sent: AtomicU32,
}
