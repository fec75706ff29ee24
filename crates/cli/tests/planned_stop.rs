//! Test of a graceful shutdown by SIGTERM under load, with hosts as processes and fakes of the
//! platform in the test.

mod support;

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use dunlinrock::{
    caller::{Caller, CallerOptions},
    load::{self, LoadSchedule, LoadStats, Workload},
};
use dunlinrock_config::config::load_dir;
use dunlinrock_fakes::{
    List, ListOptions, Store, StoreOptions, TargetOptions, TargetSpec, Targets, WorkTime,
};
use dunlinrock_schema::config::Config;
use support::{
    block_on,
    program::{Running, example, run, unused_addr},
};

/// Number of requests that are answered before the host is stopped.
const BEFORE: u64 = 200;

/// A deployment for three hosts, one in each region.
struct Deployment {
    dir: tempfile::TempDir,
    store: Store,
    list: List,
    targets: Targets,
    config: Config,
}

impl Deployment {
    fn open() -> Self {
        let mut config = load_dir(&example("cursuri")).unwrap();
        let targets = bind(&config);
        for target in targets.iter() {
            let entry = config.targets.get_mut(target.name()).unwrap();
            entry.address = target.addr().to_string().into();
        }
        let dir = tempfile::tempdir().unwrap();
        let files = dir.path().join("config");
        fs::create_dir(&files).unwrap();
        fs::write(files.join("all.toml"), toml::to_string(&config).unwrap()).unwrap();
        let store = Store::bind("127.0.0.1:0", StoreOptions::default()).unwrap();
        let at = store.addr().to_string();
        let apply = run(&["apply", "--store", &at, &files.display().to_string()]);
        assert_eq!(apply.code, 0, "{apply:?}");
        Self {
            dir,
            store,
            list: List::bind("127.0.0.1:0", ListOptions::default()).unwrap(),
            targets,
            config,
        }
    }

    /// Starts a host and returns its address for callers.
    fn serve(&self, name: &str, domain: &str) -> (Running, SocketAddr) {
        let region = &self.config.domains[domain].region;
        let (callers, peers) = (unused_addr(), unused_addr());
        let (store, list) = (self.store.addr(), self.list.addr());
        let settings = format!(
            "name = \"{name}\"\nregion = \"{region}\"\ndomain = \"{domain}\"\n\
             callers = \"{callers}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\n[list]\naddress = \"{list}\"\npoll_ms = 50\n\
             [timing]\nanswer_ttl_ms = 300\n"
        );
        let file = self.dir.path().join(format!("{name}.toml"));
        fs::write(&file, settings).unwrap();
        let host = Running::spawn(&["serve", "--settings", &file.display().to_string()]);
        (host, callers.parse().unwrap())
    }
}

fn bind(config: &Config) -> Targets {
    let specs = config.targets.iter().map(|(name, target)| TargetSpec {
        name: Arc::clone(name),
        addr: "127.0.0.1:0".into(),
        options: TargetOptions {
            slots: u32::try_from(target.slots.get()).unwrap(),
            work: WorkTime {
                median: Duration::from_millis(5),
                sigma: 0.3,
                slow_fraction: 0.0,
                slow_factor: 1.0,
            },
            ..TargetOptions::default()
        },
    });
    Targets::bind(specs.collect()).unwrap()
}

/// Waits until a lookup at `at` returns `hosts` hosts.
fn wait_until_listed(at: SocketAddr, hosts: usize) {
    loop {
        let found = run(&["hosts", "--at", &at.to_string(), "catalogue"]);
        if found.code == 0 && found.out.matches("127.0.0.1").count() >= hosts + 2 {
            return;
        }
    }
}

fn callers(seeds: &[SocketAddr]) -> Vec<Arc<Caller>> {
    let caller = |n: u64| {
        Arc::new(Caller::open(CallerOptions {
            name: format!("caller-{n}").into(),
            seeds: seeds.to_vec(),
            local_addr: None,
            attempts: 8,
            seed: n,
        }))
    };
    (0..6).map(caller).collect()
}

#[test]
fn a_host_that_is_stopped_under_load_loses_no_request() {
    // One of three hosts gets SIGTERM under load. Callers with cached lookups still send requests
    // to it, and idempotency keys name it as owner or witness. Every request must be answered, none
    // may run twice, and the process must exit by itself.
    let deployment = Deployment::open();
    let (one, a) = deployment.serve("h1", "bucharest-a");
    let (mut two, b) = deployment.serve("h2", "cluj-a");
    let (three, c) = deployment.serve("h3", "iasi-a");
    for at in [a, b, c] {
        wait_until_listed(at, 3);
    }
    let workload = Workload {
        services: deployment.config.services.keys().cloned().collect(),
        path: "/p".into(),
        path_count: 50,
        write_fraction: 0.5,
        deadline: Duration::from_secs(8),
    };
    let schedule = LoadSchedule {
        rate: 200.0,
        duration: Duration::from_secs(4),
        seed: 5,
    };
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    let answered = |stats: &LoadStats| stats.services.values().map(|t| t.answered).sum::<u64>();
    block_on(async {
        let callers = callers(&[a, b, c]);
        let load = load::run(&callers, &workload, &schedule, &stats);
        let stop = async {
            while answered(&stats.lock().unwrap()) < BEFORE {
                tokio::task::yield_now().await;
            }
            two.terminate();
        };
        futures::join!(load, stop);
    });
    assert_eq!(two.wait(), Some(0));
    let stats = stats.lock().unwrap();
    for (name, counts) in &stats.services {
        assert_eq!(counts.answered, counts.sent, "{name}: {:?}", stats.reasons);
    }
    let runs = deployment.targets.run_counts();
    assert!(
        runs.len() > 10 && runs.values().all(|n| *n == 1),
        "{runs:?}"
    );
    assert!(
        stats.not_run_keys.iter().all(|key| !runs.contains_key(key)),
        "a false `run: no`"
    );
    drop((one, three));
}
