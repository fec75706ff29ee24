//! Routes of services to their pools.

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

/// Route of one service.
#[derive(Debug)]
pub struct ServiceRoute {
    /// Rules of the service.
    pub rules: Arc<Service>,
    /// Pools of the service by region.
    pub regions: BTreeMap<Arc<str>, Vec<Arc<PoolRoute>>>,
}

/// A pool and the host that owns it.
#[derive(Debug)]
pub struct PoolRoute {
    /// Id of the pool.
    pub id: Arc<PoolId>,
    /// Host that owns it; `None` while no host is live.
    pub owner: Option<Arc<Member>>,
    /// Addresses of its targets by name.
    pub targets: BTreeMap<Arc<str>, SocketAddr>,
    /// One-way delay to the owner.
    pub delay: Duration,
    /// Last reported load.
    reading: Mutex<LoadReading>,
    /// Requests that this host has forwarded to the owner since the load was reported.
    sent_since: AtomicU32,
}

/// Last reported load of a pool, with the time of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReading {
    /// Reported load.
    pub load: Load,
    /// Time of the report, on this host's clock.
    pub at: Duration,
}

impl PoolRoute {
    /// Creates a route. Takes over the reading and the counter of `before` if its reading is at
    /// least as new as `reading`.
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

    /// Returns the last reported load.
    pub fn load_reading(&self) -> LoadReading {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the load that the owner reported. The report includes the requests that were
    /// forwarded before it, so their counter is reset.
    pub fn update_load(&self, load: Load, at: Duration) {
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner) = LoadReading { load, at };
        self.sent_since.store(0, Ordering::Relaxed);
    }

    /// Counts a request that is forwarded to the owner.
    pub fn record_sent(&self) {
        self.sent_since.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests forwarded since the load was reported.
    pub fn sent_since(&self) -> u32 {
        self.sent_since.load(Ordering::Relaxed)
    }
}

/// Values that a route is created from.
#[derive(Debug)]
pub struct RouteParts {
    /// Id of the pool.
    pub id: Arc<PoolId>,
    /// Host that owns it; `None` while no host is live.
    pub owner: Option<Arc<Member>>,
    /// Addresses of its targets by name.
    pub targets: BTreeMap<Arc<str>, SocketAddr>,
    /// One-way delay to the owner.
    pub delay: Duration,
}
