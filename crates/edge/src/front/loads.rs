//! Reports this host's requests in flight to the collector of its region, and records what that
//! tells of other hosts' requests.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::{
    admit::direct::{LoadFigure, Reporter, ToldLoad},
    steer::hash::hash_str,
};
use dunlinrock_node::clock::{millis, since_boot};
use futures::future::join_all;

use super::Front;
use crate::{
    control::{LoadError, report_loads},
    model::HostEntry,
    replica::View,
};

/// Name of the collector's duty, by which hosts choose it.
const DUTY: &str = "loads";

/// Number of hosts of a region that may be asked in turn: the collector, and those that take over
/// from it.
const MAX_COLLECTORS: usize = 3;

/// Timeout of a report within the region, and to another one. The answer to a slower one would be
/// of little use.
const REGION_TIMEOUT: Duration = Duration::from_millis(200);
const REMOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a host that did not answer is passed over.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// How long a host of an earlier release is.
const UNKNOWN_BACKOFF: Duration = Duration::from_secs(30);

/// Time between two reports for each host of the region, so that a collector gets 200 a second at
/// most.
const TIME_PER_HOST: Duration = Duration::from_millis(5);

/// Maximum time between two reports.
const MAX_PERIOD: Duration = Duration::from_millis(500);

/// Priority of routes whose requests must find room when others compete for it. A configuration
/// that has none does not need the loads to be shared.
const URGENT_PRIORITY: u8 = 0;

/// Interval between two checks whether loads are shared.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// State of the exchange.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    /// When the last report that was answered was sent: what targets said later is news.
    reported_at: Cell<Duration>,
    /// The same for reports to other regions.
    told_regions_at: Cell<Duration>,
    /// The collector that answered last.
    collector: RefCell<Option<Arc<str>>>,
    /// Until when hosts that did not answer are passed over.
    backoff_until: RefCell<BTreeMap<SocketAddr, Duration>>,
}

impl LoadExchange {
    fn is_usable(&self, host: &HostEntry, now: Duration) -> bool {
        let backoff_until = self.backoff_until.borrow();
        backoff_until
            .get(&host.peers)
            .is_none_or(|until| *until <= now)
    }
}

/// Shares loads for as long as the host runs.
pub(super) async fn share(front: Rc<Front>) {
    loop {
        match front.share_period() {
            None => tokio::time::sleep(IDLE_INTERVAL).await,
            Some(period) => {
                let jitter = 0.8 + 0.4 * rand::random::<f64>();
                tokio::time::sleep(period.mul_f64(jitter)).await;
                front.share_loads().await;
            }
        }
    }
}

impl Front {
    /// Returns the time between two reports; `None` if loads are not shared.
    fn share_period(&self) -> Option<Duration> {
        let period = self.shared.reloadable.load().load_period?;
        let view = self.shared.view.load();
        let routes = &view.config.as_ref()?.routes;
        if !routes.iter().any(|r| r.priority == URGENT_PRIORITY) {
            return None;
        }
        let owners = &view.limit_owners;
        let share = owners.share_of(&self.shared.settings.name)?;
        let hosts = owners.share_size(share) as u32;
        let period = period.max(TIME_PER_HOST * hosts);
        // What is told less often has decayed before it is told again.
        (hosts > 1 && period <= MAX_PERIOD).then_some(period)
    }

    async fn share_loads(&self) {
        let (view, now) = (self.shared.view.load_full(), self.shared.now());
        let me = &self.shared.settings.name;
        let share = view.limit_owners.share_of(me);
        let Some(host) = share.and_then(|share| self.collector_of(&view, share, now)) else {
            return;
        };
        let figures = self.targets.load_figures(self.loads.reported_at.get(), now);
        let reporter = Reporter {
            host: self.name_hash,
            region: None,
        };
        if host.name == *me {
            let told = self.shared.collect_loads(reporter, since_boot(), &figures);
            self.record_told(&host, Ok(told), now);
            self.report_to_regions(&view, now).await;
            return;
        }
        self.shared.meters.count("loads_asked");
        let told = report_loads(&self.client, host.peers, reporter, &figures, REGION_TIMEOUT);
        self.record_told(&host, told.await, now);
    }

    /// Returns the host that collects the loads of a share, unless all that may have failed lately.
    fn collector_of(&self, view: &View, share: &str, now: Duration) -> Option<Arc<HostEntry>> {
        let ranking = view.limit_owners.ranking(share, DUTY, since_boot());
        let mut ranking = ranking.into_iter().take(MAX_COLLECTORS);
        ranking
            .find(|host| self.loads.is_usable(host, now))
            .cloned()
    }

    fn record_told(
        &self,
        host: &HostEntry,
        told: Result<Vec<ToldLoad>, LoadError>,
        sent: Duration,
    ) {
        let told = match told {
            Ok(told) => told,
            Err(e) => return self.record_failure(host, &e),
        };
        self.loads.reported_at.set(sent);
        self.shared.meters.gauge("loads_told", told.len() as u64);
        self.targets.record_told(&told, sent);
        let before = self.loads.collector.replace(Some(Arc::clone(&host.name)));
        if before.as_ref() != Some(&host.name) {
            log::info!(
                target: "belief", event = "load_collector", host = &*host.name,
                from = before.as_deref().unwrap_or("-"), told = told.len(),
                took_ms = millis(self.shared.now() - sent);
                "another host collects the load of targets"
            );
        }
    }

    fn record_failure(&self, host: &HostEntry, error: &LoadError) {
        self.shared.meters.count("loads_failed");
        let now = self.shared.now();
        let backoff = match error.is_unknown() {
            true => UNKNOWN_BACKOFF,
            false => FAILURE_BACKOFF,
        };
        log::info!(
            target: "peers", event = "load_failed", host = &*host.name, error:% = error,
            backoff_ms = millis(backoff);
            "a collector of loads did not answer"
        );
        let mut backoff_until = self.loads.backoff_until.borrow_mut();
        backoff_until.retain(|_, until| *until > now);
        backoff_until.insert(host.peers, now + backoff);
    }

    /// Reports the sums of this region to the collectors of the others.
    async fn report_to_regions(&self, view: &View, now: Duration) {
        let owners = &view.limit_owners;
        let Some(own) = owners.share_of(&self.shared.settings.name) else {
            return;
        };
        let figures = self
            .shared
            .region_loads(self.loads.told_regions_at.replace(now));
        let reporter = Reporter {
            host: self.name_hash,
            region: Some(hash_str(own)),
        };
        let others = owners.shares().filter(|share| *share != own);
        let collectors = others.filter_map(|share| self.collector_of(view, share, now));
        let reports = collectors.map(|host| self.report_to_region(host, reporter, &figures));
        join_all(reports).await;
    }

    async fn report_to_region(
        &self,
        host: Arc<HostEntry>,
        reporter: Reporter,
        figures: &[LoadFigure],
    ) {
        self.shared.meters.count("loads_asked");
        let told = report_loads(&self.client, host.peers, reporter, figures, REMOTE_TIMEOUT);
        if let Err(e) = told.await {
            self.record_failure(&host, &e);
        }
    }
}
