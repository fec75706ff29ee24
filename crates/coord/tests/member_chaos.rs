//! Random deaths, restarts, pauses, partitions and message losses; afterwards all hosts agree
//! again.

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{
    config,
    fleet::{Fleet, name},
};
use dunlinrock_coord::{member::HostState, pieces};
use rand::{Rng, SeedableRng, rngs::StdRng};

const DOMAINS: usize = 4;
const HOSTS: usize = 3;
const MINUTE: Duration = Duration::from_secs(60);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Revisions and incarnations that a process has reported, which must not decrease.
type Observed = BTreeMap<(Arc<str>, Arc<str>), u64>;

fn check(fleet: &Fleet, started: &BTreeMap<Arc<str>, u64>, observed: &mut Observed, seed: u64) {
    for (who, node) in &fleet.nodes {
        let process: Arc<str> = format!("{who} {}", started[who]).into();
        for (other, host) in node.member.hosts() {
            let last = observed
                .entry((process.clone(), other.clone()))
                .or_default();
            assert!(host.incarnation >= *last, "seed {seed}: {who} of {other}");
            *last = host.incarnation;
        }
        let key = (process, "revision".into());
        let last = observed.entry(key).or_default();
        assert!(node.follower.revision() >= *last, "seed {seed}: {who}");
        *last = node.follower.revision();
    }
}

fn inject_fault(fleet: &mut Fleet, started: &mut BTreeMap<Arc<str>, u64>, rng: &mut StdRng) {
    let (domain, host) = (rng.random_range(0..DOMAINS), rng.random_range(0..HOSTS));
    let victim = name(domain, host);
    match rng.random_range(0..6) {
        0 if !fleet.node(&victim).dead => fleet.node(&victim).paused = true,
        1 if fleet.node(&victim).paused => fleet.resume(&victim),
        2 => fleet.node(&victim).dead = true,
        3 => restart(fleet, started, domain, host),
        4 => {
            let domain_name: Arc<str> = format!("domain-{domain:02}").into();
            if !fleet.partitioned.remove(&domain_name) {
                fleet.partitioned.insert(domain_name);
            }
        }
        _ => fleet.loss = [0.0, 0.1, 0.4][rng.random_range(0..3)],
    }
}

fn restart(fleet: &mut Fleet, started: &mut BTreeMap<Arc<str>, u64>, domain: usize, host: usize) {
    let incarnation = started.entry(name(domain, host)).or_insert(1);
    *incarnation += 1;
    fleet.start(domain, host, *incarnation);
    fleet.list(domain, host, *incarnation);
}

/// Ends all faults and lets the hosts settle.
fn heal(fleet: &mut Fleet, started: &mut BTreeMap<Arc<str>, u64>) {
    fleet.partitioned.clear();
    fleet.loss = 0.0;
    for (domain, host) in (0..DOMAINS).flat_map(|d| (0..HOSTS).map(move |h| (d, h))) {
        let name = name(domain, host);
        if fleet.node(&name).dead {
            restart(fleet, started, domain, host);
        } else if fleet.node(&name).paused {
            fleet.resume(&name);
        }
    }
    for _ in 0..40 {
        fleet.send_listing();
        fleet.run(ms(1000));
    }
}

// Many faults at once: hosts die, are replaced, pause and resume, domains are partitioned, messages
// are lost. Meanwhile no known incarnation and no revision decreases; afterwards all hosts see all
// others as serving, are caught up and have the newest revision.
#[test]
fn after_random_faults_all_hosts_agree_again_and_nothing_fell_meanwhile() {
    let mut config = config(6, 3, 300);
    // Seeds 0, 1, 12 and 52 have each found a fault.
    for seed in (0..16).chain([52]) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::open(DOMAINS, HOSTS, seed);
        let mut started: BTreeMap<_, _> =
            fleet.nodes.keys().map(|name| (name.clone(), 1)).collect();
        let mut observed = Observed::new();
        fleet.apply("first", pieces::split(&config));
        fleet.run(ms(15_000));
        let end = fleet.now + MINUTE * 3;
        let mut turn = 0;
        while fleet.now < end {
            inject_fault(&mut fleet, &mut started, &mut rng);
            fleet.run(ms(rng.random_range(1..60) * 50));
            if rng.random_bool(0.2) {
                turn += 1;
                config.services.get_mut("service-001").unwrap().cap.share =
                    0.1 + f64::from(turn % 80) / 100.0;
                fleet.apply(&format!("a{turn}"), pieces::split(&config));
            }
            fleet.send_listing();
            check(&fleet, &started, &mut observed, seed);
        }
        heal(&mut fleet, &mut started);
        check(&fleet, &started, &mut observed, seed);
        let revision = fleet.store.revision();
        for (who, node) in &fleet.nodes {
            let serving = node.member.serving().len();
            let wrong: Vec<_> = node
                .member
                .hosts()
                .iter()
                .map(|(name, host)| (name, node.member.state_of(name), host))
                .filter(|(_, state, _)| *state != HostState::Serving)
                .collect();
            assert_eq!(serving, DOMAINS * HOSTS, "seed {seed}: {who}: {wrong:?}");
            assert!(node.member.caught_up(), "seed {seed}: {who}");
            assert_eq!(node.follower.revision(), revision, "seed {seed}: {who}");
            assert_eq!(
                node.member.lowest_revision(),
                Some(revision),
                "seed {seed}: {who}"
            );
        }
    }
}
