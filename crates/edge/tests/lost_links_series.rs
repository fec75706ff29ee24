//! Links of two hosts that are cut and restored in random series while callers send requests.

mod support;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{Cut, Fleet, MemoryStore, ScriptedTarget, config, read_all, request, wait_until};

const TARGETS: usize = 4;
const CALLERS: usize = 6;
const REQUESTS: usize = 40;

/// Changes of the links, and requests between two of them.
const STEPS: usize = 16;
const STEP: usize = CALLERS * REQUESTS / (STEPS + 1);

/// Sends one request and returns the status of its response; 0 without one.
fn send(fleet: &Fleet, host: usize, method: &str, id: &str) -> u16 {
    let path = if method == "POST" { "/once/" } else { "/read/" };
    let text = request(method, &format!("{path}{id}"), id, "Connection: close\r\n");
    let text = text.replace("20000", "2000");
    let answer = read_all(&mut fleet.hosts[host].send(&text));
    let status = answer.get(9..12).and_then(|status| status.parse().ok());
    status.unwrap_or_default()
}

/// Cuts and restores links, one change each time that the callers have sent some requests.
fn change_links(fleet: &Fleet, done: &AtomicUsize, rng: &mut StdRng) {
    let mut cuts = [None; 2];
    for step in 1..=STEPS {
        wait_until(|| done.load(Ordering::SeqCst) >= step * STEP);
        let host = rng.random_range(0..2);
        if cuts[host].take().is_some() {
            fleet.restore(host);
        } else {
            let cut = [Cut::Hang, Cut::Reset, Cut::RefuseNew][rng.random_range(0..3)];
            fleet.cut(host, cut);
            cuts[host] = Some(cut);
        }
    }
    (0..2)
        .filter(|host| cuts[*host].is_some())
        .for_each(|host| fleet.restore(host));
}

/// Guards against a request that runs although its caller was told that it has not, or twice, or
/// that is refused by all hosts, because links were cut and restored while it was on its way.
#[rstest]
fn promises_hold_while_links_are_cut_and_restored(#[values(1, 2, 3)] seed: u64) {
    let targets: Vec<_> = (0..TARGETS)
        .map(|_| ScriptedTarget::healthy("run"))
        .collect();
    let fleet = Arc::new(Fleet::open(&["north-1", "south-1"], &config(1), &targets));
    let (done, statuses) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (fleet, done, statuses) = (&fleet, &done, &statuses);
            scope.spawn(move || {
                for n in 0..REQUESTS {
                    let method = if n % 2 == 0 { "GET" } else { "POST" };
                    let id = format!("{method}-{caller}-{n}");
                    let status = send(fleet, caller % 2, method, &id);
                    statuses.lock().unwrap().insert(id, status);
                    done.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        change_links(&fleet, &done, &mut StdRng::seed_from_u64(seed));
    });
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for head in targets.iter().flat_map(ScriptedTarget::heads) {
        *runs.entry(head.id().to_owned()).or_default() += 1;
    }
    for (id, status) in statuses.into_inner().unwrap() {
        let count = runs.get(&id).copied().unwrap_or_default();
        assert!([200, 502, 503, 504].contains(&status), "{id}: {status}");
        assert!(status != 503 || count == 0, "{id} was refused and ran");
        assert!(
            status != 200 || count > 0,
            "{id} was answered and never ran"
        );
        assert!(
            !id.starts_with("POST") || count <= 1,
            "{id} ran {count} times"
        );
    }
    let stores = fleet.hosts.iter().map(|host| &host.store);
    let confirmed = |entries: Vec<(u64, bool)>| entries.iter().any(|(_, confirmed)| *confirmed);
    assert!(!stores.map(MemoryStore::quarantined).any(confirmed));
    for host in &fleet.hosts {
        wait_until(|| !host.host.shared().links.is_lost());
    }
}
