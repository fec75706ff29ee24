//! This host's links to the targets: whether they are lost, and which other hosts reach targets
//! meanwhile.
//!
//! A host whose links are cut sees what it would see if all targets had gone. The front end reports
//! connections that it could not open; the control thread then tries targets of several failure
//! domains and asks other hosts. While the links are lost, requests run through the hosts that reach
//! targets, nothing is concluded about targets, and lookups name other hosts.

mod ask;
mod probe;
mod watch;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use dunlinrock_decide::admit::direct::LinkStatus;
use dunlinrock_node::clock::{Clock, millis};
use tokio::sync::{Notify, watch as channel};

pub(crate) use self::{
    ask::routes,
    watch::{LocalHost, watch},
};
use crate::model::{HostEntry, Target};

/// How long another host that reports lost links counts as such. It reports again with each of its
/// checks.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// What a check can use: the targets, and the other hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Neighbors {
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) hosts: Vec<Arc<HostEntry>>,
}

/// Returns the targets and hosts that are known now.
pub(crate) type NeighborsFn = Arc<dyn Fn() -> Neighbors + Send + Sync>;

/// A host that reaches targets.
#[derive(Clone, Debug)]
pub(crate) struct Helper {
    pub(crate) host: Arc<HostEntry>,
    /// Distance: 0 in the same failure domain, 1 in the same region, 2 elsewhere.
    pub(crate) rank: u8,
}

/// What the last check found.
#[derive(Clone, Debug, Default)]
struct Finding {
    status: LinkStatus,
    /// Empty unless the links are lost.
    helpers: Vec<Helper>,
}

/// Numbers of the checks.
///
/// Invariant: `finished` is at most `started`.
#[derive(Clone, Copy, Debug, Default)]
struct Checks {
    started: u64,
    finished: u64,
}

/// State of the links, shared by the threads of a host.
#[derive(Debug)]
pub struct Links {
    clock: Clock,
    finding: ArcSwap<Finding>,
    checks: channel::Sender<Checks>,
    wanted: Notify,
    /// When a connection to a target was last opened, in milliseconds on `clock`.
    reached_at: AtomicU64,
    /// Hosts that have reported lost links, and until when they count as such.
    reports: Mutex<BTreeMap<Arc<str>, Duration>>,
}

impl Links {
    /// Opens links that are presumed to work.
    pub(crate) fn open(clock: Clock) -> Links {
        Links {
            clock,
            finding: ArcSwap::default(),
            checks: channel::channel(Checks::default()).0,
            wanted: Notify::new(),
            reached_at: AtomicU64::new(0),
            reports: Mutex::default(),
        }
    }

    /// Whether the links are lost.
    pub fn is_lost(&self) -> bool {
        self.finding.load().status == LinkStatus::Lost
    }

    /// Whether the links are lost and no other host can help.
    pub fn is_isolated(&self) -> bool {
        let finding = self.finding.load();
        finding.status == LinkStatus::Lost && finding.helpers.is_empty()
    }

    /// Describes the status for a dump.
    pub(crate) fn describe(&self) -> String {
        let finding = self.finding.load();
        let helpers: Vec<_> = finding.helpers.iter().map(|h| &*h.host.name).collect();
        match helpers.is_empty() {
            true => format!("{:?}", finding.status),
            false => format!("{:?}, served through {}", finding.status, helpers.join(",")),
        }
    }

    /// Returns the hosts that reach targets while this one does not.
    pub(crate) fn helpers(&self) -> Vec<Helper> {
        self.finding.load().helpers.clone()
    }

    /// Records that a connection to a target was opened.
    pub(crate) fn record_open(&self) {
        let now = millis(self.clock.now());
        self.reached_at.fetch_max(now, Ordering::Relaxed);
    }

    /// Records that a connection to a target could not be opened, and has the links checked unless
    /// another connection was opened since that one was begun, at `begun`.
    pub(crate) fn record_failure(&self, begun: Duration) {
        if self.reached_at.load(Ordering::Relaxed) <= millis(begun) {
            self.wanted.notify_one();
        }
    }

    /// Has the links checked, and returns whether they work, as of a check that began after this
    /// call. While no target is reached, the last check decides: they follow each other then.
    pub(crate) async fn confirm(&self) -> bool {
        let status = self.finding.load().status;
        if status != LinkStatus::Up {
            return status != LinkStatus::Lost;
        }
        let mut checks = self.checks.subscribe();
        let before = checks.borrow().started;
        self.wanted.notify_one();
        // The sender is in `self`.
        let _ = checks.wait_for(|checks| checks.finished > before).await;
        !self.is_lost()
    }

    /// Whether another host has lost its links, by its own report.
    pub(crate) fn is_lost_at(&self, host: &str) -> bool {
        let reports = self.reports();
        reports.get(host).is_some_and(|end| self.clock.now() < *end)
    }

    /// Records whether another host reports its links as lost.
    fn record_report(&self, host: Arc<str>, is_lost: bool) {
        let (mut reports, now) = (self.reports(), self.clock.now());
        reports.retain(|_, end| now < *end);
        match is_lost {
            true => reports.insert(host, now + REPORT_TTL),
            false => reports.remove(&host),
        };
    }

    fn reports(&self) -> std::sync::MutexGuard<'_, BTreeMap<Arc<str>, Duration>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a connection to a target was opened within this time.
    fn was_open_within(&self, time: Duration) -> bool {
        let at = self.reached_at.load(Ordering::Relaxed);
        at > 0 && millis(self.clock.now()).saturating_sub(at) <= millis(time)
    }
}
