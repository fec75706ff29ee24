//! Where the requests of a service go.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use dunlinrock_decide::admit::Load;
use dunlinrock_schema::config::Service;

use super::Member;
use crate::duties::pools::PoolId;

/// One service.
#[derive(Debug)]
pub struct ServiceRoute {
    /// Its rules.
    pub rules: Arc<Service>,
    /// Its pools by region.
    pub regions: BTreeMap<Arc<str>, Vec<Arc<PoolRoute>>>,
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
