//! A deployment in one process: fakes of the platform, hosts, and a plain caller.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::root::{ApplyOutcome, ApplyRequest};
use dunlinrock_fakes::{
    List, ListOptions, Store, StoreOptions, TargetOptions, TargetSpec, Targets, WorkTime,
};
use dunlinrock_node::{
    Host, operate,
    store::Store as StoreClient,
    wire::{Answer, Client},
};
use dunlinrock_schema::{
    api::{Hosts, Problem},
    config::Config,
    settings::{ListSettings, Settings, StoreSettings, TimingSettings},
};
use http_body_util::Full;
use hyper::Request;

/// Timeout of a call in a test; long, so that only a hang reaches it.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Deployment {
    pub store: Store,
    pub list: List,
    pub targets: Targets,
    pub config: Config,
    pub hosts: Vec<Host>,
    pub client: Client,
    applies: u64,
}

impl Deployment {
    /// Creates fakes for an example, with its targets on free ports; without a host, and with no
    /// configuration applied.
    pub fn open(example: &str, work: Duration) -> Deployment {
        Deployment::open_with(example, work, |_| {})
    }

    /// Creates fakes as [`Deployment::open`] does, for an example modified by `change`.
    pub fn open_with(
        example: &str,
        work: Duration,
        change: impl FnOnce(&mut Config),
    ) -> Deployment {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(example);
        let mut config = dunlinrock_config::config::load_dir(&dir).expect("the example is valid");
        change(&mut config);
        let targets = bind(&config, work);
        for target in targets.iter() {
            let entry = config
                .targets
                .get_mut(target.name())
                .expect("bound from it");
            entry.address = target.addr().to_string().into();
        }
        Deployment {
            store: Store::bind("127.0.0.1:0", StoreOptions::default()).expect("a free port"),
            list: List::bind("127.0.0.1:0", ListOptions::default()).expect("a free port"),
            targets,
            config,
            hosts: Vec::new(),
            client: Client::open(64 << 20),
            applies: 0,
        }
    }

    /// Starts a host in a domain.
    pub fn host(&mut self, name: &str, domain: &str) -> &Host {
        let host = Host::spawn(self.settings(name, domain)).expect("the host starts");
        self.hosts.push(host);
        self.hosts.last().expect("just pushed")
    }

    pub fn settings(&self, name: &str, domain: &str) -> Settings {
        let region = &self.config.domains[domain].region;
        Settings {
            name: name.into(),
            region: Arc::clone(region),
            domain: domain.into(),
            callers: "127.0.0.1:0".into(),
            peers: "127.0.0.1:0".into(),
            store: StoreSettings {
                address: self.store.addr().to_string(),
                prefix: "dunlinrock/".into(),
                timeout_ms: std::num::NonZeroU64::new(2000).expect("not zero"),
            },
            list: ListSettings {
                address: self.list.addr().to_string(),
                poll_ms: 50,
            },
            log: None,
            metrics: None,
            limits: None,
            timing: Some(TimingSettings {
                heartbeat_ms: 50,
                answer_ttl_ms: 200,
                ..Default::default()
            }),
        }
    }

    /// Applies the current configuration.
    pub async fn apply(&mut self) -> ApplyOutcome {
        self.applies += 1;
        let intent = ApplyRequest {
            id: format!("apply-{}", self.applies).into(),
            by: "test".into(),
            at_ms: 0,
            base: None,
        };
        let store = self.store_client();
        operate::apply(&store, &self.config, intent, HANG_TIMEOUT)
            .await
            .expect("the store answers")
    }

    pub fn store_client(&self) -> StoreClient {
        StoreClient::open(self.store.addr(), "dunlinrock/", Duration::from_secs(2))
    }

    /// Waits until all hosts are ready, have `revision` and know all others.
    pub async fn settle(&self, revision: u64) {
        let all = self.hosts.len();
        for host in &self.hosts {
            host.wait_for(|view| {
                view.ready && view.revision >= revision && view.members.len() == all
            })
            .await;
        }
    }

    pub async fn look_up(&self, host: SocketAddr, service: &str) -> Hosts {
        let answer = self.get(host, &format!("/v1/hosts/{service}")).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        serde_json::from_slice(&answer.body).expect("an answer to a look-up")
    }

    pub async fn get(&self, host: SocketAddr, path: &str) -> Answer {
        let request = Request::get(format!("http://{host}{path}")).body(Full::default());
        self.client
            .call(request.expect("a request"), HANG_TIMEOUT)
            .await
            .expect("an answer")
    }

    /// Starts a host in each domain, and applies the configuration at all of them.
    pub async fn start(&mut self) {
        let domains: Vec<String> = self
            .config
            .domains
            .keys()
            .map(ToString::to_string)
            .collect();
        for domain in domains {
            self.host(&format!("h-{domain}"), &domain);
        }
        self.apply().await;
        self.settle(1).await;
    }

    /// Returns the host with this address for callers.
    pub fn host_at(&self, callers: SocketAddr) -> &Host {
        let found = self
            .hosts
            .iter()
            .find(|host| host.callers_addr() == callers);
        found.expect("a host of the deployment")
    }

    /// Looks a service up and returns the binding for a key.
    pub async fn binding(&self, service: &str) -> KeyBinding {
        let binding = self
            .look_up(self.hosts[0].callers_addr(), service)
            .await
            .binding;
        let binding = binding.expect("a binding");
        KeyBinding {
            prefix: binding.prefix.to_string(),
            owner: binding.owner.parse().expect("an address"),
            witness: binding.witness.parse().expect("an address"),
        }
    }

    /// Sends a request with a key.
    pub async fn post(&self, host: SocketAddr, path: &str, key: &str, attempts: &str) -> Answer {
        let request = Request::post(format!("http://{host}{path}"))
            .header("idempotency-key", key)
            .header("dunlinrock-attempts", attempts)
            .header("dunlinrock-caller", "a test")
            .body(Full::new(Bytes::from_static(b"seat 4")))
            .expect("a request");
        self.client
            .call(request, HANG_TIMEOUT)
            .await
            .expect("an answer")
    }

    /// Returns the number of runs per key, over all targets.
    pub fn runs(&self) -> BTreeMap<Arc<str>, u64> {
        self.targets.run_counts()
    }
}

/// The binding of a key.
pub struct KeyBinding {
    pub prefix: String,
    pub owner: SocketAddr,
    pub witness: SocketAddr,
}

/// Attempts header of a first attempt.
pub const FIRST_ATTEMPT: &str = "owner=0, witness=0";

/// Returns the problem of a response; panics if the response is none.
pub fn problem(answer: &Answer) -> Problem {
    let kind = answer.headers.get("content-type");
    assert_eq!(
        kind.map(hyper::http::HeaderValue::as_bytes),
        Some(&b"application/problem+json"[..]),
        "{answer:?}"
    );
    serde_json::from_slice(&answer.body).expect("a problem")
}

/// Returns the kind of a problem: the last segment of its URI.
pub fn kind(problem: &Problem) -> &str {
    problem.type_.rsplit('/').next().unwrap_or_default()
}

/// Waits until `test` holds, for counts without a notification. Only a hang makes it fail.
pub async fn wait_until(what: &str, mut test: impl FnMut() -> bool) {
    let hang = tokio::time::Instant::now() + HANG_TIMEOUT;
    while !test() {
        assert!(tokio::time::Instant::now() < hang, "{what}: never");
        tokio::task::yield_now().await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn bind(config: &Config, work: Duration) -> Targets {
    let specs = config.targets.iter().map(|(name, target)| TargetSpec {
        name: Arc::clone(name),
        addr: "127.0.0.1:0".into(),
        options: TargetOptions {
            slots: u32::try_from(target.slots.get()).expect("few slots"),
            work: WorkTime {
                median: work,
                sigma: 0.0,
                slow_fraction: 0.0,
                slow_factor: 1.0,
            },
            ..TargetOptions::default()
        },
    });
    Targets::bind(specs.collect()).expect("free ports")
}
