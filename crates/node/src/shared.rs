//! What the duties of one host share.

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

/// What the duties of one host share: read by all, the rings written by many.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: Settings,
    /// Limits of the settings, defaults filled in.
    pub limits: LimitSettings,
    /// Times of the settings, defaults filled in.
    pub timing: TimingSettings,
    /// This host, as it announces itself.
    pub me: Member,
    /// Time of this process.
    pub clock: Clock,
    /// The newest view.
    pub view: Arc<ArcSwap<View>>,
    /// What other regions' hosts lent to this one.
    pub grantee: Arc<Mutex<Grantee>>,
    /// The few requests that go without a grant.
    pub ungranted_limiter: UngrantedLimiter,
    /// What is measured of the traffic.
    pub traffic: TrafficMeter,
    /// Number of the newest view, for those who wait for one.
    pub published: watch::Sender<u64>,
    /// Incarnation of an earlier process of this name, if it is higher than this one's.
    pub higher_incarnation: watch::Sender<Option<u64>>,
    /// Keeps a host that was paused from starting what it held.
    pub fence: Fence,
    /// To the pools duty.
    pub pools: ring::Sender<pools::Input>,
    /// To the ledger duty.
    pub ledger: ring::Sender<ledger::Input>,
    /// Epoch of the request ledger, as its duty keeps it.
    pub epoch: Arc<AtomicU64>,
    /// To the control duty.
    pub control: ring::Sender<control::Input>,
    /// Counters and timers.
    pub metrics: Metrics,
    /// Last ticket given out.
    pub tickets: AtomicU64,
}

impl Shared {
    /// A ticket that no other request of this host has.
    pub fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Time since the host's start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }
}
