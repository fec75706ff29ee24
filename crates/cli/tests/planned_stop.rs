//! SIGTERM on a host under load, with every part a process of its own but the platform.

mod support;

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use dunlinrock::{
    caller::{Caller, Rules},
    load::{self, Mix, Pace, Tally},
};
use dunlinrock_config::config::load_dir;
use dunlinrock_fakes::{
    List, ListOptions, Store, StoreOptions, TargetOptions, TargetSpec, Targets, WorkTime,
};
use dunlinrock_schema::config::Config;
use support::{
    block_on,
    program::{Running, example, free, run},
};

/// Requests that are answered before the host is stopped.
const BEFORE: u64 = 200;

/// A deployment of three hosts, one a region.
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

    /// Starts a host and gives its address for callers.
    fn serve(&self, name: &str, domain: &str) -> (Running, SocketAddr) {
        let region = &self.config.domains[domain].region;
        let (callers, peers) = (free(), free());
        let (store, list) = (self.store.addr(), self.list.addr());
        let text = format!(
            "name = \"{name}\"\nregion = \"{region}\"\ndomain = \"{domain}\"\n\
             callers = \"{callers}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\n[list]\naddress = \"{list}\"\npoll_ms = 50\n\
             [timing]\nanswer_ttl_ms = 300\n"
        );
        let file = self.dir.path().join(format!("{name}.toml"));
        fs::write(&file, text).unwrap();
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

/// Waits until a look-up at `at` names as many hosts as there are.
fn settle(at: SocketAddr, hosts: usize) {
    loop {
        let found = run(&["hosts", "--at", &at.to_string(), "catalogue"]);
        if found.code == 0 && found.out.matches("127.0.0.1").count() >= hosts + 2 {
            return;
        }
    }
}

fn callers(starts: &[SocketAddr]) -> Vec<Arc<Caller>> {
    let caller = |n: u64| {
        Arc::new(Caller::open(Rules {
            name: format!("caller-{n}").into(),
            starts: starts.to_vec(),
            from: None,
            attempts: 8,
            seed: n,
        }))
    };
    (0..6).map(caller).collect()
}

#[test]
fn a_host_that_is_stopped_under_load_loses_no_request() {
    // An operator sends SIGTERM to one of three hosts while callers search and reserve. Callers
    // with old look-ups still come to it, and keys name it as owner or witness. Every request must
    // be answered, none may run twice, and the process must end by itself.
    let deployment = Deployment::open();
    let (one, a) = deployment.serve("h1", "bucharest-a");
    let (mut two, b) = deployment.serve("h2", "cluj-a");
    let (three, c) = deployment.serve("h3", "iasi-a");
    for at in [a, b, c] {
        settle(at, 3);
    }
    let mix = Mix {
        services: deployment.config.services.keys().cloned().collect(),
        path: "/p".into(),
        keys: 50,
        writes: 0.5,
        deadline: Duration::from_secs(8),
    };
    let pace = Pace {
        rate: 200.0,
        time: Duration::from_secs(4),
        seed: 5,
    };
    let tally = Arc::new(Mutex::new(Tally::default()));
    let answered = |tally: &Tally| tally.services.values().map(|t| t.answered).sum::<u64>();
    block_on(async {
        let callers = callers(&[a, b, c]);
        let load = load::run(&callers, &mix, &pace, &tally);
        let stop = async {
            while answered(&tally.lock().unwrap()) < BEFORE {
                tokio::task::yield_now().await;
            }
            two.terminate();
        };
        futures::join!(load, stop);
    });
    assert_eq!(two.wait(), Some(0));
    let tally = tally.lock().unwrap();
    for (name, totals) in &tally.services {
        assert_eq!(totals.answered, totals.sent, "{name}: {:?}", tally.reasons);
    }
    let runs = deployment.targets.run_counts();
    assert!(
        runs.len() > 10 && runs.values().all(|n| *n == 1),
        "{runs:?}"
    );
    assert!(
        tally.closed.iter().all(|key| !runs.contains_key(key)),
        "a false `run: no`"
    );
    drop((one, three));
}
