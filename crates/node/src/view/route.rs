//! Where the requests of a service go.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
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
    /// One-way delay to the owner.
    pub delay: Duration,
    /// Its load, as last heard.
    reading: Mutex<LoadReading>,
    /// Requests that this host has handed to it since that was heard.
    sent_since: AtomicU32,
}

/// The load of a pool as last heard, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReading {
    /// The load.
    pub load: Load,
    /// When it was heard, on this host's clock.
    pub at: Duration,
}

impl PoolRoute {
    /// Makes a route; what `before` heard or sent since `heard` is taken over.
    pub fn open(parts: RouteParts, reading: LoadReading, before: Option<&PoolRoute>) -> PoolRoute {
        let last = before
            .map(|route| (route.load_reading(), route.sent_since()))
            .filter(|(h, _)| h.at >= reading.at);
        let (reading, sent_since) = last.unwrap_or((reading, 0));
        let RouteParts {
            id,
            owner,
            targets,
            delay,
        } = parts;
        let (reading, sent_since) = (Mutex::new(reading), AtomicU32::new(sent_since));
        PoolRoute {
            id,
            owner,
            targets,
            delay,
            reading,
            sent_since,
        }
    }

    /// Its load, as last heard.
    pub fn load_reading(&self) -> LoadReading {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes its owner's word about its load, which counts what was handed over before it.
    pub fn update_load(&self, load: Load, at: Duration) {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner) = LoadReading { load, at };
        self.sent_since.store(0, Ordering::Relaxed);
    }

    /// Counts a request that is handed over.
    pub fn record_sent(&self) {
        self.sent_since.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests handed over since the load was heard.
    pub fn sent_since(&self) -> u32 {
        self.sent_since.load(Ordering::Relaxed)
    }
}

/// What a route is made from.
#[derive(Debug)]
pub struct RouteParts {
    /// Which pool.
    pub id: Arc<PoolId>,
    /// Host that owns it; none while no host is live.
    pub owner: Option<Arc<Member>>,
    /// Addresses of its targets by name.
    pub targets: BTreeMap<Arc<str>, SocketAddr>,
    /// One-way delay to the owner.
    pub delay: Duration,
}
