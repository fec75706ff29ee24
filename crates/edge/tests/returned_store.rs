//! A store that returns from an older copy, in the next era: what its answers change, and what stays
//! known.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use dunlinrock_edge::{
    host::Host,
    model::{
        Answer, Entry, HostEntry, Item, Lease, PlatformStore, PlatformStoreError, QuarantineEntry,
        QuarantineWrite, Revision, Snapshot, Target,
    },
    replica::{Replica, View},
    settings::Settings,
    store::Store,
};
use futures::FutureExt;
use rstest::rstest;
use support::{MemoryStore, config, dialect, get, host_entry, settings, target, wait_until};

const NOW: Duration = Duration::from_secs(100);

/// Time after which a target's entry that the copy lacks must be gone, and time after which what
/// undoes something known is in effect.
const TARGET_KEPT: Duration = Duration::from_secs(2);
const RETURN_KEPT: Duration = Duration::from_secs(10);

fn at(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

fn put(rev: Revision, created: u64, target: Target) -> Item {
    Item {
        key: Arc::clone(&target.id),
        rev,
        created: at(rev.era, created),
        entry: Some(Entry::Target(Arc::new(target))),
    }
}

fn ready(id: &str) -> Target {
    target(id, "127.0.0.1:1".parse().expect("an address"))
}

fn leaving(id: &str) -> Target {
    Target {
        leaving: true,
        ..ready(id)
    }
}

/// Returns the ids of the targets that may get requests.
fn ids(replica: &Replica) -> Vec<String> {
    let view = View::open(
        replica,
        &Default::default(),
        &Default::default(),
        &View::default(),
    );
    let all = view.services.values().flatten();
    all.map(|known| known.target.id.to_string()).collect()
}

/// Opens a store whose full reads give these answers in turn, and whose other calls are counted.
fn scripted(eras: &[Option<u64>]) -> (Store, Arc<AtomicU32>) {
    let (eras, n) = (eras.to_vec(), AtomicU32::new(0));
    let calls = Arc::new(AtomicU32::new(0));
    let (renewed, written) = (Arc::clone(&calls), Arc::clone(&calls));
    let store = Store::open(PlatformStore {
        list: Arc::new(move |()| {
            let era = eras[n.fetch_add(1, Ordering::SeqCst) as usize];
            let snapshot = Snapshot {
                revision: at(0, 7),
                items: vec![put(at(0, 5), 3, ready("t1"))],
            };
            let result = Ok(snapshot);
            async move { Answer { era, result } }.boxed()
        }),
        renew: Arc::new(move |_| {
            renewed.fetch_add(1, Ordering::SeqCst);
            async {
                Answer {
                    era: None,
                    result: Ok(()),
                }
            }
            .boxed()
        }),
        quarantine: Arc::new(move |_| {
            written.fetch_add(1, Ordering::SeqCst);
            let result = Ok(at(0, 9));
            async { Answer { era: None, result } }.boxed()
        }),
        ..MemoryStore::open().platform_store()
    });
    (store, calls)
}

/// Guards against an answer that was sent before the store returned and arrives afterwards.
#[tokio::test]
async fn a_late_answer_of_an_earlier_era_is_dropped() {
    let (store, _) = scripted(&[Some(2), Some(1), Some(2)]);
    assert_eq!(store.list().await.expect("an answer").revision, at(2, 7));
    let late = store.list().await.map(|snapshot| snapshot.revision);
    assert_eq!(late, Err(PlatformStoreError::OtherEra));
    assert_eq!(store.era(), 2);
    assert_eq!(store.list().await.expect("an answer").revision, at(2, 7));
}

/// Guards against a host that uses nothing of a store, or of a proxy before it, that tells no era.
#[tokio::test]
async fn an_answer_without_an_era_is_of_the_known_one() {
    let (store, calls) = scripted(&[None, Some(3), None]);
    let mut eras = Vec::new();
    for _ in 0..3 {
        let snapshot = store.list().await.expect("an answer");
        eras.push(snapshot.revision.era);
        assert_eq!(snapshot.items[0].rev, at(snapshot.revision.era, 5));
        assert_eq!(snapshot.items[0].created, at(snapshot.revision.era, 3));
    }
    assert_eq!(eras, [0, 3, 3]);
    let own = Lease { era: 3, number: 4 };
    assert_eq!(store.renew(own).await, Ok(()));
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}

/// Guards against a lease or a condition of a lost time that holds by chance, since the store has
/// given out its number again.
#[tokio::test]
async fn numbers_of_an_earlier_era_are_not_sent() {
    let (store, calls) = scripted(&[]);
    store.learn(2);
    let lost = Lease { era: 1, number: 4 };
    assert_eq!(
        store.renew(lost).await,
        Err(PlatformStoreError::LeaseExpired)
    );
    let write = |expected| QuarantineWrite {
        entry: QuarantineEntry {
            fingerprint: 1,
            is_confirmed: true,
        },
        expected,
        ttl: Duration::from_secs(60),
    };
    let conflict = Err(PlatformStoreError::Conflict);
    assert_eq!(store.quarantine(write(at(1, 9))).await, conflict);
    assert_eq!(
        store.release(1, at(1, 9)).await,
        Err(PlatformStoreError::Conflict)
    );
    assert_eq!(calls.load(Ordering::SeqCst), 0);
    assert_eq!(store.quarantine(write(Revision::NONE)).await, Ok(at(2, 9)));
    assert_eq!(store.quarantine(write(at(2, 9))).await, Ok(at(2, 9)));
}

/// Guards against requests to a target that was leaving, because the copy shows it from before.
#[rstest]
#[case::read(true)]
#[case::watched(false)]
fn a_leaving_target_does_not_return_by_the_copy(#[case] is_read: bool) {
    let mut replica = Replica::open();
    replica.apply_item(put(at(1, 9), 2, leaving("t1")), NOW);
    let copy = put(at(2, 3), 2, ready("t1"));
    match is_read {
        true => replica.replace(at(2, 5), vec![copy], NOW),
        false => replica.apply_item(copy, NOW),
    };
    replica.apply_item(put(at(2, 6), 2, ready("t1")), NOW + TARGET_KEPT);
    replica.apply_deferred(NOW + RETURN_KEPT / 2);
    assert!(ids(&replica).is_empty());
    let mut told = replica;
    told.apply_item(put(at(2, 8), 2, leaving("t1")), NOW + RETURN_KEPT / 2);
    told.apply_deferred(NOW + RETURN_KEPT);
    assert!(ids(&told).is_empty());
}

/// Guards against a target that never gets requests again because it was leaving once: the store
/// has it ready for as long as targets take to write their entries again, and longer.
#[test]
fn what_the_store_shows_for_long_is_in_effect() {
    let mut replica = Replica::open();
    replica.apply_item(put(at(1, 9), 2, leaving("t1")), NOW);
    replica.apply_item(put(at(2, 3), 2, ready("t1")), NOW);
    replica.apply_item(put(at(2, 7), 2, ready("t1")), NOW + RETURN_KEPT / 2);
    replica.apply_deferred(NOW + RETURN_KEPT);
    assert_eq!(ids(&replica), ["t1"]);
}

/// Guards against requests to a target that is gone, because the copy shows it from before. Another
/// process under its id is used at once.
#[test]
fn a_removed_target_does_not_return_by_the_copy() {
    let mut replica = Replica::open();
    for id in ["t1", "t2", "t3"] {
        replica.apply_item(put(at(1, 5), 2, ready(id)), NOW);
        replica.apply_item(Item::removal(id.into(), at(1, 9)), NOW);
    }
    replica.apply_item(put(at(2, 5), 2, ready("t1")), NOW);
    let restarted = Target {
        born: 1,
        ..ready("t2")
    };
    replica.apply_item(put(at(2, 6), 2, restarted), NOW);
    replica.apply_item(put(at(2, 7), 7, ready("t3")), NOW);
    assert_eq!(ids(&replica), ["t2", "t3"]);
    replica.apply_deferred(NOW + RETURN_KEPT);
    assert_eq!(ids(&replica), ["t1", "t2", "t3"]);
}

/// Guards against targets without requests, and callers without hosts, until all have written
/// again what the store has lost.
#[test]
fn what_the_copy_lacks_is_kept_until_it_can_have_been_written_again() {
    let mut replica = Replica::open();
    replica.apply_item(put(at(1, 5), 5, ready("t1")), NOW);
    replica.apply_item(put(at(1, 6), 6, ready("t2")), NOW);
    replica.replace(at(2, 4), Vec::new(), NOW);
    assert_eq!(ids(&replica), ["t1", "t2"]);
    replica.apply_item(put(at(2, 5), 5, ready("t1")), NOW + TARGET_KEPT / 2);
    replica.apply_deferred(NOW + TARGET_KEPT);
    assert_eq!(ids(&replica), ["t1"]);
}

/// Guards against a host that was cut off and gives a target that is long gone another two seconds:
/// it learns from its source how long ago the store returned.
#[test]
fn a_host_that_follows_late_keeps_nothing_longer() {
    let (mut source, mut follower) = (Replica::open(), Replica::open());
    for replica in [&mut source, &mut follower] {
        replica.replace(at(1, 5), vec![put(at(1, 5), 5, ready("t1"))], NOW);
    }
    source.replace(at(2, 4), Vec::new(), NOW);
    let later = NOW + TARGET_KEPT;
    source.apply_deferred(later);
    let changes = source.changes(follower.synced_revision(), later);
    follower.apply_changes(changes, later);
    assert!(ids(&follower).is_empty());
}

/// Guards against hosts of two eras that undo what the other knows, while only one of them reaches
/// the store.
#[test]
fn hosts_of_two_eras_do_not_undo_each_other() {
    let (mut ahead, mut behind) = (Replica::open(), Replica::open());
    let version = |number| Item {
        entry: Some(Entry::Config(Arc::new(config(number)))),
        ..Item::removal("config".into(), at(1, 1))
    };
    for replica in [&mut ahead, &mut behind] {
        replica.apply_item(version(5), NOW);
        replica.replace(at(1, 9), vec![put(at(1, 8), 2, ready("t1"))], NOW);
    }
    behind.apply_item(put(at(1, 12), 2, ready("t1")), NOW);
    behind.apply_item(put(at(1, 13), 13, ready("t2")), NOW);
    behind.set_synced(at(1, 13));
    ahead.replace(at(2, 9), vec![put(at(2, 9), 2, leaving("t1"))], NOW);
    assert_eq!(ids(&ahead), Vec::<String>::new());
    let old = behind.changes(ahead.synced_revision(), NOW);
    assert!(!ahead.apply_changes(old, NOW));
    let new = ahead.changes(behind.synced_revision(), NOW);
    behind.apply_changes(new, NOW);
    assert_eq!(ids(&behind), ["t2"]);
    behind.apply_deferred(NOW + TARGET_KEPT);
    assert!(ids(&behind).is_empty());
    assert_eq!((ahead.version(), behind.version()), (5, 5));
    assert_eq!(behind.synced_revision(), at(2, 9));
}

/// Guards against a killed host that is listed longer than its lease would have lasted, and against
/// one that is alive and not listed before it can have announced itself again.
#[test]
fn a_host_whose_entry_was_lost_is_listed_as_long_as_its_lease() {
    let lease = Duration::from_secs(4);
    let mut replica = Replica::open();
    replica.apply_item(
        Item {
            key: "host".into(),
            rev: at(1, 5),
            created: at(1, 5),
            entry: Some(Entry::Host(Arc::new(host_entry("h2", 0)))),
        },
        NOW,
    );
    replica.replace(at(2, 4), Vec::new(), NOW);
    replica.apply_deferred(NOW + lease / 2);
    assert_eq!(replica.present_items().count(), 1);
    replica.apply_deferred(NOW + lease);
    assert_eq!(replica.present_items().count(), 0);
}

/// Answers every request as a host of the release before does, which knows other messages. Counts
/// them.
fn earlier_host() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, count) = (listener.local_addr(), Arc::new(AtomicU32::new(0)));
    let asked = Arc::clone(&count);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            asked.fetch_add(1, Ordering::SeqCst);
            let answer = "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address.expect("a bound listener"), count)
}

/// Guards against a host that misreads revisions without eras, or follows nobody, while a fleet runs
/// two releases: hosts of the release before do not know its messages, and it does not know theirs.
#[test]
fn hosts_of_the_release_before_are_not_followed_and_do_not_follow() {
    let (peers, asked) = earlier_host();
    let store = MemoryStore::open();
    store.put("config", Entry::Config(Arc::new(config(1))));
    let reader = HostEntry {
        peers,
        ..host_entry("a", 0)
    };
    store.put("a", Entry::Host(Arc::new(reader.clone())));
    let other = HostEntry {
        name: "b".into(),
        ..reader
    };
    store.put("b", Entry::Host(Arc::new(other)));
    let settings = Settings {
        name: "h2".into(),
        ..settings()
    };
    let host = Host::spawn(settings, store.platform_store_unlisted(), dialect());
    let host = host.expect("the host starts");
    let version = || {
        let view = host.shared().view.load();
        view.config.as_ref().map(|config| config.version)
    };
    wait_until(|| asked.load(Ordering::SeqCst) > 0);
    for number in [2, 3] {
        store.put("config", Entry::Config(Arc::new(config(number))));
        wait_until(|| version() == Some(number));
    }
    let answer = get(host.shared().settings.listen.peers, "/peer/v5/changes");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}
