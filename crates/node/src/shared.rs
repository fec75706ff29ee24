//! State shared by the workers of a host.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use dunlinrock_decide::steer::Grantee;
use dunlinrock_schema::settings::{LimitSettings, Settings, TimingSettings};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    duties::{
        control, ledger,
        pools::{self, Fence},
    },
    metrics::Metrics,
    ring,
    run::UngrantedLimiter,
    traffic::TrafficMeter,
    view::{Member, View},
};

/// State shared by the workers of a host. All of them read it; several of them send into each
/// channel.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: Settings,
    /// Limits from the settings, with defaults filled in.
    pub limits: LimitSettings,
    /// Times from the settings, with defaults filled in.
    pub timing: TimingSettings,
    /// This host, as it announces itself.
    pub me: Member,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// The current view.
    pub view: Arc<ArcSwap<View>>,
    /// Grants that hosts of other regions gave this host.
    pub grantee: Arc<Mutex<Grantee>>,
    /// Limiter of the requests that are sent without a grant.
    pub ungranted_limiter: UngrantedLimiter,
    /// Traffic measured at this host.
    pub traffic: TrafficMeter,
    /// Number of the current view, for subscribers that wait for a newer one.
    pub published: watch::Sender<u64>,
    /// Incarnation of an earlier process of this name, if it is higher than that of this process.
    pub higher_incarnation: watch::Sender<Option<u64>>,
    /// Fence that keeps a paused host from starting requests that it still holds.
    pub fence: Fence,
    /// Channel to the pools worker.
    pub pools: ring::Sender<pools::Input>,
    /// Channel to the ledger worker.
    pub ledger: ring::Sender<ledger::Input>,
    /// Current epoch of the request ledger, stored by the ledger worker.
    pub epoch: Arc<AtomicU64>,
    /// Channel to the control worker.
    pub control: ring::Sender<control::Input>,
    /// Counters and timers.
    pub metrics: Metrics,
    /// Next ticket.
    pub tickets: AtomicU64,
}

impl Shared {
    /// Returns a ticket that no other request of this host has.
    pub fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the time since the host started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }
}
