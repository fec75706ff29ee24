//! Limits of workspaces across all hosts: which host owns a limit share, and what callers get.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_edge::{
    host::Host,
    limits::{JOIN_DELAY, LimitOwners, ListedHost, MAX_GRANT_AGE},
    model::{Config, HostEntry, KeyDigest, Revision, Workspace},
    settings::Settings,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use support::{
    Deployment, Script, ScriptedTarget, config, dialect, host_entry, read_all, request, rev,
    settings, wait_until,
};

const STEP: Duration = Duration::from_millis(50);

/// Timing with which hosts announce themselves.
const LEASE: Duration = Duration::from_secs(4);
const LEASE_SLACK: Duration = Duration::from_millis(200);
const RENEWAL: Duration = Duration::from_millis(1300);

/// Time for which a store may send nothing before it compacts its history.
const COMPACTION_SILENCE: Duration = Duration::from_millis(1200);

const HOSTS: usize = 8;
const NAMES: [&str; 4] = ["club", "desk", "portal", "coach"];

/// An event in the life of a host.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The host starts, unless it runs.
    Start,
    /// The host crashes.
    Crash,
    /// The host begins a graceful shutdown.
    Shutdown,
    /// The host neither receives nor sends anything for a while.
    Partition(Duration),
}

type List = Vec<ListedHost>;

/// A running host.
struct Running {
    /// Delay of the host behind the store.
    lag: Duration,
    partitioned_until: Duration,
    renewed: Option<Duration>,
    /// Time of the last announcement.
    announced: Duration,
    next_renewal: Duration,
    /// Time of the latest list of the store that the host knows.
    list_time: Option<Duration>,
    limit_owners: Option<LimitOwners>,
    is_leaving: bool,
}

fn domains() -> BTreeMap<Arc<str>, Arc<str>> {
    [("n", "north"), ("s", "south")]
        .map(|(d, r)| (d.into(), r.into()))
        .into()
}

fn entry(host: usize) -> Arc<HostEntry> {
    Arc::new(HostEntry {
        domain: if host.is_multiple_of(2) { "n" } else { "s" }.into(),
        ..host_entry(&format!("h{host}"), 0)
    })
}

/// Region, creation revision and name of each entry that is or recently was listed, with its
/// creation time.
type CreationTimes = BTreeMap<(bool, Revision, Arc<str>), Duration>;

fn update_creation_times(before: &CreationTimes, list: &List, now: Duration) -> CreationTimes {
    let key = |(entry, created): &ListedHost| (&*entry.domain == "n", *created, entry.name.clone());
    list.iter()
        .map(|listed| {
            (
                key(listed),
                before.get(&key(listed)).copied().unwrap_or(now),
            )
        })
        .collect()
}

/// Returns whether at least half of the hosts in a region joined so recently that others may not
/// know them.
fn joined_together(north: bool, creation_times: &CreationTimes, now: Duration) -> bool {
    let all = creation_times.iter().filter(|((n, ..), _)| *n == north);
    let (mut joined, mut count) = (0, 0);
    for (_, at) in all {
        count += 1;
        joined += usize::from(now < *at + JOIN_DELAY + MAX_GRANT_AGE + COMPACTION_SILENCE);
    }
    4 * joined >= 2 * count
}

/// Runs a history. Returns the times at which two hosts granted tokens of the same limit share,
/// except where at least half of the share's hosts had just joined.
fn play(events: &[(u32, usize, Event)], lags: &[u32]) -> Vec<(Duration, String)> {
    // Expiry of each host's lease, and when its entry was created.
    let mut leases: BTreeMap<usize, (Duration, Revision)> = BTreeMap::new();
    let mut lists: Vec<(Duration, List)> = Vec::new();
    let mut running: BTreeMap<usize, Running> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut creation_times = CreationTimes::new();
    let first = Duration::from_secs(100);
    for step in 0..900 {
        let now = first + STEP * step;
        for (_, host, event) in events.iter().filter(|(at, ..)| *at == step) {
            let host = *host;
            match event {
                Event::Start => {
                    let lag = Duration::from_millis(u64::from(lags[host]));
                    running.entry(host).or_insert(Running {
                        lag,
                        partitioned_until: now,
                        renewed: None,
                        announced: now,
                        next_renewal: now + STEP * 4,
                        list_time: None,
                        limit_owners: None,
                        is_leaving: false,
                    });
                }
                Event::Crash => {
                    running.remove(&host);
                }
                Event::Shutdown => {
                    if let Some(host_state) = running
                        .get_mut(&host)
                        .filter(|host_state| host_state.partitioned_until <= now)
                    {
                        host_state.is_leaving = true;
                        leases.remove(&host);
                    }
                }
                Event::Partition(time) => {
                    if let Some(host_state) = running.get_mut(&host) {
                        host_state.partitioned_until = now + *time;
                    }
                }
            }
        }
        for (host, host_state) in &mut running {
            if host_state.partitioned_until <= now
                && host_state.next_renewal <= now
                && !host_state.is_leaving
            {
                let created = leases
                    .get(host)
                    .map_or(rev(u64::from(step)), |(_, created)| *created);
                if host_state.renewed.is_none() || !leases.contains_key(host) {
                    host_state.announced = now;
                }
                leases.insert(*host, (now + LEASE, created));
                host_state.renewed = Some(now);
                host_state.next_renewal = now + RENEWAL;
            }
        }
        leases.retain(|_, (end, _)| *end > now);
        let list: List = leases
            .iter()
            .map(|(h, (_, created))| (entry(*h), *created))
            .collect();
        if lists.last().is_none_or(|(_, last)| *last != list) {
            lists.push((now, list.clone()));
        }
        creation_times = update_creation_times(&creation_times, &list, now);
        for host_state in running
            .values_mut()
            .filter(|host_state| host_state.partitioned_until <= now)
        {
            let moment = (now - host_state.lag).max(first);
            host_state.list_time = Some(
                host_state
                    .list_time
                    .map_or(moment, |list_time| list_time.max(moment)),
            );
            let (_, list) = lists.iter().rev().find(|(at, _)| *at <= moment).unwrap();
            host_state.limit_owners = Some(LimitOwners::next(
                host_state.limit_owners.as_ref(),
                list,
                &domains(),
                now,
            ));
        }
        for name in NAMES {
            let mut granting: BTreeMap<bool, usize> = BTreeMap::new();
            for (host, host_state) in &running {
                let (Some(limit_owners), Some(list_time)) =
                    (&host_state.limit_owners, host_state.list_time)
                else {
                    continue;
                };
                let is_leased = host_state
                    .renewed
                    .is_some_and(|at| now < at + LEASE - LEASE_SLACK);
                // A host that considers its data fresh may lack the changes that the store has not
                // sent yet.
                let is_fresh = now - list_time <= MAX_GRANT_AGE + COMPACTION_SILENCE;
                let is_listed = list_time >= host_state.announced;
                let me = entry(*host);
                if is_leased
                    && is_fresh
                    && is_listed
                    && !host_state.is_leaving
                    && limit_owners.may_grant(&me.name, name, now)
                {
                    *granting.entry(&*me.domain == "n").or_default() += 1;
                }
            }
            let has_two_grantors = granting
                .iter()
                .any(|(north, count)| *count > 1 && !joined_together(*north, &creation_times, now));
            if has_two_grantors {
                violations.push((now, name.to_owned()));
            }
        }
    }
    violations
}

fn events() -> impl Strategy<Value = Vec<(u32, usize, Event)>> {
    let event = prop_oneof![
        4 => Just(Event::Start),
        2 => Just(Event::Crash),
        1 => Just(Event::Shutdown),
        2 => (0..160u32).prop_map(|steps| Event::Partition(STEP * steps)),
    ];
    let events = proptest::collection::vec((300..880u32, 0..HOSTS, event), 1..60);
    // All hosts start first, long before other events.
    events.prop_map(|events| {
        let starts = (0..HOSTS).map(|host| (0, host, Event::Start));
        starts.chain(events).collect()
    })
}

/// Fixed seed: the same cases in every run.
fn cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        cases: 192,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    /// Hosts start, crash, shut down and are partitioned, and learn about each other with varying
    /// delay. If two of them granted tokens of the same limit share, twice the limit could run.
    #[test]
    fn no_limit_share_is_granted_by_two_hosts(
        events in events(),
        lags in proptest::collection::vec(0..4200u32, HOSTS),
    ) {
        prop_assert_eq!(play(&events, &lags), vec![]);
    }
}

/// A host that joins owns limit shares after a delay. Its shares move to another host as soon as it
/// is gone.
#[test]
fn a_limit_share_moves_to_a_host_that_joined_and_away_when_it_is_gone() {
    let list = |hosts: &[usize]| -> List { hosts.iter().map(|h| (entry(*h), rev(1))).collect() };
    let now = Duration::from_secs(100);
    let domains = domains();
    let one = LimitOwners::next(None, &list(&[0]), &domains, now);
    assert!(
        one.may_grant("h0", "club", now),
        "a host in the first list may grant at once"
    );
    let two = LimitOwners::next(Some(&one), &list(&[0, 2, 4, 6]), &domains, now);
    let later = now + JOIN_DELAY;
    let owners = |limit_owners: &LimitOwners, at| -> BTreeSet<String> {
        let names = (0..40).map(|n| format!("w{n}"));
        let of = names.filter_map(|w| {
            limit_owners
                .owner("north", &w, at)
                .map(|h| h.name.to_string())
        });
        of.collect()
    };
    assert_eq!(
        owners(&two, now).len(),
        1,
        "hosts that joined own no share yet"
    );
    assert_eq!(owners(&two, later).len(), 4);
    let three = LimitOwners::next(Some(&two), &list(&[0, 2, 6]), &domains, later);
    assert_eq!(owners(&three, later).len(), 3);
    let all_granted = (0..40).all(|n| {
        let name = format!("w{n}");
        let owner = three.owner("north", &name, later).unwrap();
        three.may_grant(&owner.name, &name, later)
    });
    assert!(all_granted, "no share waits for a host that is gone");
}

/// Guards against hosts that disagree on who takes over a duty when the one that has it is gone:
/// without it, the others keep their order.
#[test]
fn a_duty_passes_to_the_next_host_in_the_same_order() {
    let list = |hosts: &[usize]| -> List { hosts.iter().map(|h| (entry(*h), rev(1))).collect() };
    let now = Duration::from_secs(100);
    let domains = domains();
    let names = |owners: &LimitOwners, duty: &str| -> Vec<Arc<str>> {
        let ranking = owners.ranking("north", duty, now);
        ranking.iter().map(|host| Arc::clone(&host.name)).collect()
    };
    let all = LimitOwners::next(None, &list(&[0, 1, 2, 4, 6]), &domains, now);
    assert_eq!(all.share_of("h1").map(|s| &**s), Some("south"));
    assert_eq!(all.share_size("north"), 4);
    for duty in (0..40).map(|n| format!("d{n}")) {
        let mut expected = names(&all, &duty);
        let first = expected.remove(0);
        assert_eq!(all.owner("north", &duty, now).unwrap().name, first);
        let gone: usize = first[1..].parse().unwrap();
        let left: Vec<_> = [0, 2, 4, 6].into_iter().filter(|h| *h != gone).collect();
        let rest = LimitOwners::next(None, &list(&left), &domains, now);
        assert_eq!(names(&rest, &duty), expected);
    }
}

fn limited(rate: f64) -> Config {
    let mut config = config(1);
    config.workspaces = vec![Arc::new(Workspace {
        name: "club".into(),
        keys: BTreeSet::from([KeyDigest::of(b"k")]),
        rate,
        burst: 1.0,
        rank: None,
        homes: BTreeSet::new(),
    })];
    config
}

fn call(deployment: &Deployment, path: &str) -> String {
    let more = "Authorization: Key k\r\nConnection: close\r\n";
    read_all(&mut deployment.send(&request("GET", path, "r1", more)))
}

/// Starts a host in one region with one failure domain. Each of the two regions in the settings has
/// a limit share.
fn open(rate: f64, scripted: &ScriptedTarget) -> Deployment {
    let mut settings = settings();
    settings.reloadable.limit.slack = 4.0;
    Deployment::open_with(settings, limited(rate), &[scripted])
}

/// The caller is told when to retry, and the request does not run.
#[test]
fn a_workspace_at_its_limit_gets_retry_after() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = open(1.0, &scripted);
    wait_until(|| call(&deployment, "/read/").starts_with("HTTP/1.1 200"));
    let mut limited = String::new();
    while !limited.starts_with("HTTP/1.1 429") {
        limited = call(&deployment, "/read/");
    }
    assert!(limited.contains("retry-after: "), "{limited}");
    let metrics = support::get(
        deployment.host.shared().settings.listen.metrics.unwrap(),
        "/metrics",
    );
    assert!(metrics.contains("limited"), "{metrics}");
}

/// A target that sheds requests runs none of them, so they consume none of the workspace's tokens.
#[test]
fn a_request_that_did_not_run_returns_its_token() {
    let shed = ScriptedTarget::open(|head| {
        let text = head.answer_with("503 Service Unavailable", "Unrun: 1\r\n", "");
        Script::Write(text)
    });
    let deployment = open(1000.0, &shed);
    wait_until(|| shed.count() > 0 || !call(&deployment, "/read/").is_empty());
    let metrics = || deployment.host.shared().meters.text();
    let tokens = |text: &str| -> u64 {
        let line = text.lines().find(|l| l.contains("tokens_given"));
        line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
            .unwrap_or_default()
    };
    let calls = 12;
    (0..calls).for_each(|_| drop(call(&deployment, "/once/")));
    let text = metrics();
    assert!(tokens(&text) <= calls + 4, "{text}");
}

/// Callers of many workspaces wait at once, at a host that owns none of their limit shares. Their
/// token requests go to the other host in one call. That host must accept the call whatever its
/// length, and the calling host must accept a response of any length.
#[rstest]
fn many_workspaces_that_wait_together_all_get_tokens(#[values(40, 2000)] length: usize) {
    let scripted = ScriptedTarget::healthy("hello");
    let name = |n: usize| format!("w{n:0length$}");
    let mut config = limited(1000.0);
    let workspace = Workspace::clone(&config.workspaces[0]);
    config.workspaces = (0..150)
        .map(|n| {
            Arc::new(Workspace {
                name: name(n).into(),
                keys: BTreeSet::from([KeyDigest::of(name(n).as_bytes())]),
                ..workspace.clone()
            })
        })
        .collect();
    let small = Settings {
        processor: 0.1,
        ..settings()
    };
    let deployment = Deployment::open_with(small, config, &[&scripted]);
    let large = Settings {
        name: "h2".into(),
        ..settings()
    };
    let _large = Host::spawn(large, deployment.store.platform_store(), dialect()).unwrap();
    let send = |n: usize, id: &str| {
        let more = format!("Authorization: Key {}\r\nConnection: close\r\n", name(n));
        deployment.send(&request("GET", "/read/", id, &more))
    };
    let meters = || deployment.host.shared().meters.text();
    wait_until(|| {
        let answer = read_all(&mut send(0, "r0"));
        answer.starts_with("HTTP/1.1 200") && meters().contains("tokens_asked")
    });
    let failed = || {
        let text = meters();
        let line = text.lines().find(|line| line.contains("tokens_failed"));
        line.map(str::to_owned)
    };
    let before = failed();
    let mut streams: Vec<_> = (0..150).map(|n| send(n, &format!("all-{n}"))).collect();
    streams.iter_mut().for_each(|stream| drop(read_all(stream)));
    assert_eq!(failed(), before, "every token request is answered");
}
