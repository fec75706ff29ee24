//! Simulates the hosts of a deployment through a fault in virtual time.
//!
//! Hosts are the crate's own state machines; their environment is kept minimal: ticks of 100 ms,
//! messages that arrive a tick later or not at all, callers at a steady rate, and regions that are
//! a number of slots, with requests that take longer while the caches are cold.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "shared by tests and an example; each uses a part"
)]

mod host;
mod metrics;
mod requests;
mod scenario;

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::{config as files, goal};
use dunlinrock_schema::config::{Config, Drain, DrainKind};
use dunlinrock_steer::{DesiredSplits, Grant, GrantRequest, LinkCapacity, SplitTable, hash};

pub use host::{Host, Policy};
pub use metrics::{Metrics, Report};
pub use scenario::{Scenario, run, scenarios};

/// Time between two steps.
pub const TICK: Duration = Duration::from_millis(100);
/// Ticks between two rounds of heartbeats, grant requests and grants.
const HEARTBEAT_TICKS: u64 = 3;
/// Silence after which a host or region counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(3);

/// A message between hosts.
#[derive(Clone, Debug)]
pub enum Message {
    Split {
        from: Arc<str>,
        table: Arc<SplitTable>,
    },
    Request(GrantRequest),
    Grant(Grant),
}

/// Fault of the usage measurements of a region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UsageReports {
    #[default]
    Correct,
    /// No measurements arrive.
    Lost,
    /// The measurements report that no slot is in use.
    Idle,
}

/// Service, callers and serving region.
type FlowRegion = (Arc<str>, Arc<str>, Arc<str>);
/// Service and serving region.
type Pool = (Arc<str>, Arc<str>);

/// A deployment and the environment of its hosts.
pub struct Simulation {
    pub config: Config,
    pub policy: Policy,
    pub now: Duration,
    pub hosts: Vec<Host>,
    pub metrics: Metrics,
    /// Regions that have failed.
    pub failed: BTreeSet<Arc<str>>,
    /// Failed regions that the hosts know of.
    pub lost: BTreeSet<Arc<str>>,
    /// Fraction of a region's slots for a service that its own callers use, by region.
    pub load: BTreeMap<Arc<str>, f64>,
    pub usage_reports: BTreeMap<Arc<str>, UsageReports>,
    /// Whether all messages between hosts are dropped.
    pub partitioned: bool,
    /// Fraction of messages that are lost.
    pub loss: f64,
    messages: Vec<(Arc<str>, Message)>,
    failed_at: Option<Duration>,
    ticks: u64,
    seed: u64,
    /// Shares by service, callers and region for which the caches are warm.
    warm: SplitTable,
    /// Slots that each region's own callers used in the last tick, by service and region.
    used: BTreeMap<Pool, f64>,
    work: BTreeMap<Pool, f64>,
    /// Requests of the last tick from each region's own callers.
    own: BTreeMap<Pool, f64>,
    slots: BTreeMap<Arc<str>, BTreeMap<Arc<str>, goal::Slots>>,
    /// Requests that wait for granted capacity, by host, service and callers, each with its queue
    /// timeout.
    waiting: BTreeMap<FlowRegion, Vec<(Duration, u64)>>,
    /// Smoothed shares that reach the regions.
    flow: BTreeMap<FlowRegion, f64>,
}

/// Opens one of the examples.
pub fn example(name: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    files::load_dir(&root.join(name)).unwrap_or_else(|findings| panic!("{findings}"))
}

impl Simulation {
    /// Creates twelve hosts, four per region, that have been running for some time.
    pub fn open(config: Config, policy: Policy, load: f64, seed: u64) -> Self {
        let regions: Vec<_> = config.regions.keys().cloned().collect();
        let mut sim = Self {
            load: regions.iter().map(|r| (r.clone(), load)).collect(),
            policy,
            now: Duration::ZERO,
            hosts: Vec::new(),
            metrics: Metrics::open(&config),
            failed: BTreeSet::new(),
            lost: BTreeSet::new(),
            usage_reports: BTreeMap::new(),
            partitioned: false,
            loss: 0.0,
            messages: Vec::new(),
            failed_at: None,
            ticks: 0,
            seed: hash::mix64(seed),
            warm: SplitTable::new(),
            used: BTreeMap::new(),
            work: BTreeMap::new(),
            own: BTreeMap::new(),
            slots: BTreeMap::new(),
            flow: BTreeMap::new(),
            waiting: BTreeMap::new(),
            config,
        };
        for region in &regions {
            for n in 0..4 {
                sim.join(&format!("{region}-{n}"), region);
            }
        }
        let desired_splits = sim.desired_splits();
        for (service, flows) in &desired_splits.flows {
            let table = flows
                .iter()
                .map(|(c, desired)| (c.clone(), desired.shares.clone()));
            sim.warm.insert(service.clone(), table.collect());
        }
        sim
    }

    /// Starts a host.
    pub fn join(&mut self, name: &str, region: &Arc<str>) {
        let host = Host::open(&Arc::from(name), region, self.policy, self.now);
        self.hosts.push(host);
    }

    pub fn desired_splits(&self) -> DesiredSplits {
        DesiredSplits::open(&self.config, &self.lost)
    }

    pub fn drain(&mut self, kind: DrainKind, name: &str) {
        let drain = Drain {
            kind,
            name: name.into(),
        };
        self.config.drains.insert("run".into(), drain);
    }

    /// Fails a region with its hosts; the other hosts detect it after [`GONE_AFTER`].
    pub fn fail_region(&mut self, region: &Arc<str>) {
        self.failed.insert(region.clone());
        self.hosts.retain(|host| host.region != *region);
        self.failed_at = Some(self.now);
    }

    /// Returns a uniform number below 1.
    pub fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_add(1);
        hash::to_unit_f64(hash::mix64(self.seed))
    }

    /// Returns the slots that serve requests. A region under a drain continues to serve what has
    /// not moved yet.
    fn slots(&self, service: &str, region: &Arc<str>) -> f64 {
        if self.failed.contains(region) {
            return 0.0;
        }
        let slots = self.slots[service].get(region).copied().unwrap_or_default();
        if slots.available == 0 {
            slots.total as f64
        } else {
            slots.available as f64
        }
    }

    /// Returns the slots without regard to drains: callers do not send less during a drain.
    fn all_slots(&self, service: &str, region: &Arc<str>) -> f64 {
        let slots = self.slots[service].get(region);
        slots.map_or(0.0, |slots| slots.total as f64)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        let services = self.config.services.keys();
        self.slots = services
            .map(|name| (name.clone(), goal::slots(&self.config, name)))
            .collect();
        if self.failed_at.is_some_and(|at| self.now - at >= GONE_AFTER) {
            self.lost = self.failed.clone();
        }
        self.deliver();
        let desired_splits = Arc::new(self.desired_splits());
        if self.ticks.is_multiple_of(HEARTBEAT_TICKS) {
            self.send_heartbeats(&desired_splits);
        }
        for host in &mut self.hosts {
            host.advance(&desired_splits, self.now);
        }
        self.serve(&desired_splits);
        let shares = self.shares();
        self.metrics.shares(self.now, &shares, &desired_splits);
        self.report_usage();
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        for (to, message) in messages {
            if self.partitioned || self.random() < self.loss {
                continue;
            }
            let now = self.now;
            if let Some(host) = self.hosts.iter_mut().find(|host| host.name == to) {
                host.receive(message, now);
            }
        }
    }

    /// Sends heartbeats, grant requests and grants.
    fn send_heartbeats(&mut self, desired_splits: &DesiredSplits) {
        let all: Vec<(Arc<str>, Arc<str>)> = self
            .hosts
            .iter()
            .map(|host| (host.name.clone(), host.region.clone()))
            .collect();
        let config = self.config.clone();
        for host in &mut self.hosts {
            let links = links(&config, &host.region);
            let headroom = config.regions[&host.region].headroom;
            let sent = host.send_heartbeats(desired_splits, &all, (headroom, links), self.now);
            self.messages.extend(sent);
        }
    }

    /// Returns the mean shares over the traffic: each host has an equal part of its region's
    /// callers.
    pub fn shares(&self) -> SplitTable {
        let mut sum = SplitTable::new();
        for service in self.config.services.keys() {
            for callers in self.config.regions.keys() {
                let hosts = self.hosts_of(callers);
                let split = sum.entry(service.clone()).or_default();
                let split = split.entry(callers.clone()).or_default();
                for n in &hosts {
                    for (region, share) in self.hosts[*n].shares_of(service, callers) {
                        *split.entry(region).or_insert(0.0) += share / hosts.len() as f64;
                    }
                }
            }
        }
        sum
    }

    /// Returns the hosts that a region's callers use: the region's own hosts that are ready, or all
    /// hosts if there are none.
    fn hosts_of(&self, callers: &str) -> Vec<usize> {
        let ready = |n: &usize| self.hosts[*n].ready();
        let own = |n: &usize| *self.hosts[*n].region == *callers;
        let all: Vec<usize> = (0..self.hosts.len()).filter(ready).collect();
        let local: Vec<usize> = all.iter().copied().filter(own).collect();
        if local.is_empty() { all } else { local }
    }
}

/// Returns the usable capacity of a region's links, without the headroom.
fn links(config: &Config, region: &str) -> LinkCapacity {
    let mut links = LinkCapacity::new();
    for link in config.links.values() {
        let bytes = link.bytes_per_s.get() as f64 * (1.0 - link.headroom);
        if &*link.from == region {
            links.insert(link.to.clone(), bytes);
        } else if &*link.to == region {
            links.insert(link.from.clone(), bytes);
        }
    }
    links
}
