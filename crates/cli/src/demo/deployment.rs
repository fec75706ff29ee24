//! The demo's deployment: fakes of the platform and hosts, on free loopback ports.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use dunlinrock_coord::root::{ApplyOutcome, ApplyRequest};
use dunlinrock_fakes::{List, ListOptions, Store, StoreOptions, Targets};
use dunlinrock_node::{Host, operate, store};
use dunlinrock_schema::{
    config::{Config, Drain, DrainKind},
    settings::{ListSettings, Settings, StoreSettings, TimingSettings},
};

use crate::{
    exit::{CliError, Exit},
    fake_targets,
    runtime::block_on,
};

/// Number of hosts in each failure domain.
const HOSTS_PER_DOMAIN: usize = 2;

/// Prefix of the deployment's keys in the store.
const PREFIX: &str = "dunlinrock/";

/// Timeout for hosts to become ready, and for an apply.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the hosts' readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// TTL of lookup responses. A graceful shutdown takes at least that long.
const ANSWER_TTL_MS: u64 = 1000;

/// Delay until an announced host appears in the host list.
const LIST_LAG: Duration = Duration::from_millis(500);

/// A running deployment.
pub(super) struct DemoDeployment {
    /// The active configuration.
    pub(super) config: Config,
    pub(super) targets: Targets,
    pub(super) hosts: Vec<Host>,
    /// Region of each host, keyed by its address for callers.
    regions: BTreeMap<SocketAddr, Arc<str>>,
    store: Store,
    list: List,
    applies: u64,
}

/// A drain that was applied.
pub(super) struct ActiveDrain {
    pub(super) domain: Arc<str>,
    /// Time at which the apply started.
    pub(super) at: Instant,
}

impl DemoDeployment {
    /// Starts the fakes and the hosts, and waits until every host is ready.
    pub(super) fn open(mut config: Config) -> Result<Self, CliError> {
        let targets = fake_targets::bind(&mut config, true, 0)?;
        let options = ListOptions {
            visibility_delay: LIST_LAG,
            ..ListOptions::default()
        };
        let mut deployment = Self {
            config,
            targets,
            hosts: Vec::new(),
            regions: BTreeMap::new(),
            store: Store::bind("127.0.0.1:0", StoreOptions::default())?,
            list: List::bind("127.0.0.1:0", options)?,
            applies: 0,
        };
        let revision = deployment.apply()?;
        deployment.spawn()?;
        deployment.wait_ready(revision)?;
        Ok(deployment)
    }

    /// Returns the lowest revision that any host has applied.
    pub(super) fn revision(&self) -> u64 {
        self.hosts
            .iter()
            .map(Host::revision)
            .min()
            .unwrap_or_default()
    }

    /// Returns the region of a host, even if the host has been stopped.
    pub(super) fn region_of(&self, callers: SocketAddr) -> Option<Arc<str>> {
        self.regions.get(&callers).cloned()
    }

    /// Returns the number of requests started by the targets of each domain.
    pub(super) fn started(&self) -> BTreeMap<Arc<str>, u64> {
        let mut started = BTreeMap::new();
        for target in self.targets.iter() {
            if let Some(entry) = self.config.targets.get(target.name()) {
                *started.entry(Arc::clone(&entry.domain)).or_default() += target.counts().started;
            }
        }
        started
    }

    /// Drains the domain that started the most requests since `earlier`. Draining an idle domain
    /// would have no visible effect.
    pub(super) fn drain(
        &mut self,
        earlier: &BTreeMap<Arc<str>, u64>,
    ) -> Result<ActiveDrain, CliError> {
        let begun = |(name, n): &(Arc<str>, u64)| n - earlier.get(name).copied().unwrap_or(0);
        let busiest = self.started().into_iter().max_by_key(begun);
        let (domain, _) = busiest.ok_or_else(|| failed("the configuration has no target"))?;
        let drain = Drain {
            kind: DrainKind::Domain,
            name: Arc::clone(&domain),
        };
        self.config.drains.insert("demo".into(), drain);
        let at = Instant::now();
        self.apply()?;
        Ok(ActiveDrain { domain, at })
    }

    /// Removes and returns a host of a domain that is not drained.
    pub(super) fn remove_host(&mut self, drained: &str) -> Option<Host> {
        let mut domains = self.config.domains.keys().rev();
        let last = domains.find(|name| ***name != *drained)?;
        let name = host_name(last, HOSTS_PER_DOMAIN);
        let at = self.hosts.iter().position(|host| **host.name() == *name)?;
        Some(self.hosts.remove(at))
    }

    /// Applies the current configuration and returns its revision.
    fn apply(&mut self) -> Result<u64, CliError> {
        self.applies += 1;
        let request = ApplyRequest {
            id: format!("demo-{}", self.applies).into(),
            by: "demo".into(),
            at_ms: 0,
            base: None,
        };
        let client = store::Store::open(self.store.addr(), PREFIX, Duration::from_secs(2));
        let ended = block_on(operate::apply(
            &client,
            &self.config,
            request,
            READY_TIMEOUT,
        ))?;
        match ended.map_err(|error| CliError::from_error(Exit::Unknown, &error))? {
            ApplyOutcome::Applied { revision, .. } | ApplyOutcome::Unchanged { revision } => {
                Ok(revision)
            }
            outcome => Err(failed(&outcome.to_string())),
        }
    }

    fn spawn(&mut self) -> Result<(), CliError> {
        for (domain, entry) in &self.config.domains {
            for n in 1..=HOSTS_PER_DOMAIN {
                let settings = self.settings(&host_name(domain, n), domain, &entry.region);
                let host = Host::spawn(settings)?;
                self.regions
                    .insert(host.callers_addr(), Arc::clone(&entry.region));
                self.hosts.push(host);
            }
        }
        Ok(())
    }

    fn settings(&self, name: &str, domain: &Arc<str>, region: &Arc<str>) -> Settings {
        let store = StoreSettings {
            address: self.store.addr().to_string(),
            prefix: PREFIX.into(),
            timeout_ms: std::num::NonZeroU64::MIN.saturating_add(1999),
        };
        let list = ListSettings {
            address: self.list.addr().to_string(),
            poll_ms: 200,
        };
        Settings {
            name: name.into(),
            region: Arc::clone(region),
            domain: Arc::clone(domain),
            callers: "127.0.0.1:0".into(),
            peers: "127.0.0.1:0".into(),
            store,
            list,
            log: None,
            metrics: None,
            limits: None,
            timing: Some(TimingSettings {
                answer_ttl_ms: ANSWER_TTL_MS,
                ..TimingSettings::default()
            }),
        }
    }

    /// Waits until every host is ready and has applied a revision.
    fn wait_ready(&self, revision: u64) -> Result<(), CliError> {
        let end = Instant::now() + READY_TIMEOUT;
        let ready = |host: &&Host| host.is_ready() && host.revision() >= revision;
        while self.hosts.iter().filter(ready).count() < self.hosts.len() {
            if Instant::now() >= end {
                return Err(failed("the hosts did not become ready"));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

fn host_name(domain: &str, number: usize) -> String {
    format!("{domain}-{number}")
}

fn failed(text: &str) -> CliError {
    CliError::open(Exit::Failed, text)
}
