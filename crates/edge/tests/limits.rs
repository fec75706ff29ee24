//! Limits of workspaces over all hosts: who counts, and what a caller is told.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_edge::{
    host::Host,
    limits::{JOIN_DELAY, LimitOwners, ListedHost, MAX_GRANT_AGE},
    model::{Config, HostEntry, KeyDigest, Workspace},
    settings::Settings,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use support::{
    Deployment, Script, Stand, config, dialect, host_entry, read_all, request, settings, until,
};

const STEP: Duration = Duration::from_millis(50);

/// As hosts announce themselves.
const LEASE: Duration = Duration::from_secs(4);
const LEASE_SLACK: Duration = Duration::from_millis(200);
const RENEWAL: Duration = Duration::from_millis(1300);

/// What a store may keep silent about before it drops its history.
const DEAF: Duration = Duration::from_millis(1200);

const HOSTS: usize = 8;
const NAMES: [&str; 4] = ["club", "desk", "portal", "coach"];

/// What happens to a host.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It starts, unless it runs.
    Start,
    /// It ends without a word.
    Die,
    /// It is asked to stop.
    Leave,
    /// It hears nothing and reaches nobody for a while.
    Cut(Duration),
}

type List = Vec<ListedHost>;

/// A host that runs.
struct Running {
    /// How far behind the store it is.
    lag: Duration,
    cut_until: Duration,
    renewed: Option<Duration>,
    /// When it was last announced.
    announced: Duration,
    next_renewal: Duration,
    /// Moment of the store's list that it knows.
    known: Option<Duration>,
    roster: Option<LimitOwners>,
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

/// Slice, creation and the moment of it, of the entries that are listed or were lately.
type Births = BTreeMap<(bool, u64, Arc<str>), Duration>;

fn births_of(before: &Births, list: &List, now: Duration) -> Births {
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

/// Whether most hosts of a slice joined within the time in which others may not know them.
fn joined_together(north: bool, births: &Births, now: Duration) -> bool {
    let all = births.iter().filter(|((n, ..), _)| *n == north);
    let (mut joined, mut count) = (0, 0);
    for (_, at) in all {
        count += 1;
        joined += usize::from(now < *at + JOIN_DELAY + MAX_GRANT_AGE + DEAF);
    }
    4 * joined >= 2 * count
}

/// Plays a history; gives the times at which two hosts gave out one slice, unless most of its hosts had just
/// joined.
fn play(events: &[(u32, usize, Event)], lags: &[u32]) -> Vec<(Duration, String)> {
    // End of each host's lease, and when its entry was created.
    let mut leases: BTreeMap<usize, (Duration, u64)> = BTreeMap::new();
    let mut lists: Vec<(Duration, List)> = Vec::new();
    let mut running: BTreeMap<usize, Running> = BTreeMap::new();
    let mut found = Vec::new();
    let mut births = Births::new();
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
                        cut_until: now,
                        renewed: None,
                        announced: now,
                        next_renewal: now + STEP * 4,
                        known: None,
                        roster: None,
                        is_leaving: false,
                    });
                }
                Event::Die => {
                    running.remove(&host);
                }
                Event::Leave => {
                    if let Some(held) = running.get_mut(&host).filter(|held| held.cut_until <= now)
                    {
                        held.is_leaving = true;
                        leases.remove(&host);
                    }
                }
                Event::Cut(time) => {
                    if let Some(held) = running.get_mut(&host) {
                        held.cut_until = now + *time;
                    }
                }
            }
        }
        for (host, held) in &mut running {
            if held.cut_until <= now && held.next_renewal <= now && !held.is_leaving {
                let created = leases
                    .get(host)
                    .map_or(u64::from(step), |(_, created)| *created);
                if held.renewed.is_none() || !leases.contains_key(host) {
                    held.announced = now;
                }
                leases.insert(*host, (now + LEASE, created));
                held.renewed = Some(now);
                held.next_renewal = now + RENEWAL;
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
        births = births_of(&births, &list, now);
        for held in running.values_mut().filter(|held| held.cut_until <= now) {
            let moment = (now - held.lag).max(first);
            held.known = Some(held.known.map_or(moment, |known| known.max(moment)));
            let (_, list) = lists.iter().rev().find(|(at, _)| *at <= moment).unwrap();
            held.roster = Some(LimitOwners::next(
                held.roster.as_ref(),
                list,
                &domains(),
                now,
            ));
        }
        for name in NAMES {
            let mut giving: BTreeMap<bool, usize> = BTreeMap::new();
            for (host, held) in &running {
                let (Some(roster), Some(known)) = (&held.roster, held.known) else {
                    continue;
                };
                let is_leased = held
                    .renewed
                    .is_some_and(|at| now < at + LEASE - LEASE_SLACK);
                // A host that takes itself for up to date may miss what the store kept silent about.
                let is_fresh = now - known <= MAX_GRANT_AGE + DEAF;
                let is_told = known >= held.announced;
                let me = entry(*host);
                if is_leased
                    && is_fresh
                    && is_told
                    && !held.is_leaving
                    && roster.may_grant(&me.name, name, now)
                {
                    *giving.entry(&*me.domain == "n").or_default() += 1;
                }
            }
            let has_twice = giving
                .iter()
                .any(|(north, count)| *count > 1 && !joined_together(*north, &births, now));
            if has_twice {
                found.push((now, name.to_owned()));
            }
        }
    }
    found
}

fn events() -> impl Strategy<Value = Vec<(u32, usize, Event)>> {
    let event = prop_oneof![
        4 => Just(Event::Start),
        2 => Just(Event::Die),
        1 => Just(Event::Leave),
        2 => (0..160u32).prop_map(|steps| Event::Cut(STEP * steps)),
    ];
    let events = proptest::collection::vec((300..880u32, 0..HOSTS, event), 1..60);
    // All hosts start first, long before anything happens.
    events.prop_map(|events| {
        let starts = (0..HOSTS).map(|host| (0, host, Event::Start));
        starts.chain(events).collect()
    })
}

/// The same cases every time.
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

    /// Hosts start, die, leave and are cut off, and each hears of the others later or earlier. Two that gave
    /// out the same slice would let twice the limit run.
    #[test]
    fn no_slice_is_given_out_by_two_hosts(
        events in events(),
        lags in proptest::collection::vec(0..4200u32, HOSTS),
    ) {
        prop_assert_eq!(play(&events, &lags), vec![]);
    }
}

/// A host that joins counts after a while, and what it counted is taken over as soon as it is gone.
#[test]
fn a_slice_is_counted_by_a_host_that_joined_and_by_another_when_it_is_gone() {
    let list = |hosts: &[usize]| -> List { hosts.iter().map(|h| (entry(*h), 1)).collect() };
    let now = Duration::from_secs(100);
    let domains = domains();
    let one = LimitOwners::next(None, &list(&[0]), &domains, now);
    assert!(one.may_grant("h0", "club", now), "it was there before");
    let two = LimitOwners::next(Some(&one), &list(&[0, 2, 4, 6]), &domains, now);
    let later = now + JOIN_DELAY;
    let counts = |roster: &LimitOwners, at| -> BTreeSet<String> {
        let names = (0..40).map(|n| format!("w{n}"));
        let of = names.filter_map(|w| roster.owner("north", &w, at).map(|h| h.name.to_string()));
        of.collect()
    };
    assert_eq!(
        counts(&two, now).len(),
        1,
        "those that joined have not settled"
    );
    assert_eq!(counts(&two, later).len(), 4);
    let three = LimitOwners::next(Some(&two), &list(&[0, 2, 6]), &domains, later);
    assert_eq!(counts(&three, later).len(), 3);
    let given = (0..40).all(|n| {
        let name = format!("w{n}");
        let counter = three.owner("north", &name, later).unwrap();
        three.may_grant(&counter.name, &name, later)
    });
    assert!(given, "nobody waits for a host that is gone");
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

/// One region, one failure domain with hosts: a slice for each of the two that the settings name.
fn open(rate: f64, stand: &Stand) -> Deployment {
    let mut settings = settings();
    settings.reloadable.limit.slack = 4.0;
    Deployment::open_with(settings, limited(rate), &[stand])
}

/// The caller is told when to come back, and nothing runs.
#[test]
fn a_workspace_at_its_limit_is_told_when_to_come_back() {
    let stand = Stand::sound("hello");
    let deployment = open(1.0, &stand);
    until(|| call(&deployment, "/read/").starts_with("HTTP/1.1 200"));
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

/// A target that turns requests away runs none of them: they leave the workspace its tokens.
#[test]
fn a_request_that_did_not_run_gives_its_token_back() {
    let shed = Stand::open(|head| {
        let text = head.answer_with("503 Service Unavailable", "Unrun: 1\r\n", "");
        Script::Write(text)
    });
    let deployment = open(1000.0, &shed);
    until(|| shed.count() > 0 || !call(&deployment, "/read/").is_empty());
    let given = || deployment.host.shared().meters.text();
    let tokens = |text: &str| -> u64 {
        let line = text.lines().find(|l| l.contains("tokens_given"));
        line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
            .unwrap_or_default()
    };
    let calls = 12;
    (0..calls).for_each(|_| drop(call(&deployment, "/once/")));
    let text = given();
    assert!(tokens(&text) <= calls + 4, "{text}");
}

/// Load: callers of many workspaces at once, at a host that counts none of them. What they wait for goes to
/// the other host in one call, which it must take however long it is, and so must its answer be.
#[rstest]
fn many_workspaces_that_wait_together_are_all_answered(#[values(40, 2000)] length: usize) {
    let stand = Stand::sound("hello");
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
    let deployment = Deployment::open_with(small, config, &[&stand]);
    let large = Settings {
        name: "h2".into(),
        ..settings()
    };
    let _large = Host::spawn(large, deployment.board.feed(), dialect()).unwrap();
    let send = |n: usize, id: &str| {
        let more = format!("Authorization: Key {}\r\nConnection: close\r\n", name(n));
        deployment.send(&request("GET", "/read/", id, &more))
    };
    let meters = || deployment.host.shared().meters.text();
    until(|| {
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
    assert_eq!(failed(), before, "every call is answered");
}
