//! A host's replica of targets and configurations, and its behavior while the store is unavailable.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use dunlinrock_edge::{
    control::{LONG_POLL_TIME, READER_POLL_INTERVAL, STALE_AGE, long_poll_time, may_have_expired},
    host::Host,
    model::{Entry, HostEntry, Item, PlatformStore, Revision, Target},
    replica::{Replica, View},
    settings::Settings,
};
use support::{
    Deployment, MemoryStore, ScriptedTarget, config, dialect, host_entry, rev, settings, target,
    wait_until,
};

const NOW: Duration = Duration::from_secs(100);

fn item(key: &str, number: u64, entry: Option<Entry>) -> Item {
    Item {
        key: key.into(),
        rev: rev(number),
        created: Revision::NONE,
        entry,
    }
}

fn target_entry(id: &str, leaving: bool) -> Entry {
    let address = "127.0.0.1:1".parse().unwrap();
    Entry::Target(Arc::new(Target {
        leaving,
        ..target(id, address)
    }))
}

fn ids(replica: &Replica) -> Vec<String> {
    let settings = settings();
    let view = View::open(
        replica,
        &settings.reloadable.domains,
        &Default::default(),
        &View::default(),
    );
    view.services
        .values()
        .flatten()
        .map(|k| k.target.id.to_string())
        .collect()
}

/// A host changes to a source that is behind it: the source still lists a target that is known to
/// leave, and an older configuration. Neither may come back.
#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 5, Some(target_entry("t1", true))), NOW);
    replica.apply_item(item("t2", 6, None), NOW);
    replica.apply_item(
        item("config", 7, Some(Entry::Config(Arc::new(config(9))))),
        NOW,
    );
    replica.apply_item(item("t1", 4, Some(target_entry("t1", false))), NOW);
    replica.apply_item(item("t2", 3, Some(target_entry("t2", false))), NOW);
    replica.apply_item(
        item("config", 2, Some(Entry::Config(Arc::new(config(8))))),
        NOW,
    );
    assert!(ids(&replica).is_empty());
    assert_eq!(replica.config().unwrap().version, 9);
}

#[test]
fn a_full_read_removes_absent_items_unless_they_are_newer() {
    let mut replica = Replica::open();
    replica.apply_item(item("old", 5, Some(target_entry("old", false))), NOW);
    replica.apply_item(item("new", 20, Some(target_entry("new", false))), NOW);
    replica.replace(
        rev(10),
        vec![item("named", 8, Some(target_entry("named", false)))],
        NOW,
    );
    assert_eq!(ids(&replica), ["named", "new"]);
}

/// Targets write the same entry with every heartbeat. Such a write must not count as a change,
/// because it would be sent to every follower.
#[test]
fn a_heartbeat_with_the_same_content_is_no_change() {
    let mut replica = Replica::open();
    assert!(replica.apply_item(item("t1", 1, Some(target_entry("t1", false))), NOW));
    let change_count = replica.change_count();
    assert!(!replica.apply_item(item("t1", 2, Some(target_entry("t1", false))), NOW));
    assert_eq!(replica.change_count(), change_count);
    assert!(replica.apply_item(item("t1", 3, Some(target_entry("t1", true))), NOW));
}

/// A malformed entry is written again and again. If each write counted as a change, it would be
/// sent to every host as long as the writer runs.
#[test]
fn a_repeated_malformed_entry_is_no_change() {
    let broken = |number| Item {
        created: rev(1),
        ..item("t1", number, None)
    };
    let mut replica = Replica::open();
    assert!(replica.apply_item(item("t1", 1, Some(target_entry("t1", false))), NOW));
    assert!(replica.apply_item(broken(2), NOW));
    let change_count = replica.change_count();
    assert!(!replica.apply_item(broken(3), NOW));
    assert_eq!(replica.change_count(), change_count);
}

/// A target reports that it stays cold for three more seconds. A host that receives this a second
/// later from another host must not treat the target as cold for a second too long.
#[test]
fn a_forwarded_cold_time_is_shortened_by_the_elapsed_time() {
    let cold = Duration::from_secs(3);
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = Entry::Target(Arc::new(Target {
        cold,
        ..target("t1", address)
    }));
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 1, Some(entry)), NOW);
    let forwarded = replica.changed_since(rev(0), NOW + Duration::from_secs(1));
    let Some(Entry::Target(target)) = &forwarded[0].entry else {
        panic!("not a target")
    };
    assert_eq!(target.cold, Duration::from_secs(2));
}

#[test]
fn a_follower_receives_only_what_is_new_to_it() {
    let mut replica = Replica::open();
    for n in 0..10 {
        replica.apply_item(
            item(&format!("t{n}"), n + 1, Some(target_entry("t", false))),
            NOW,
        );
    }
    replica.set_synced(rev(10));
    // Heartbeats with unchanged content.
    for n in 0..10 {
        replica.apply_item(
            item(&format!("t{n}"), n + 11, Some(target_entry("t", false))),
            NOW,
        );
    }
    replica.set_synced(rev(20));
    assert_eq!(replica.changed_since(rev(7), NOW).len(), 3);
    assert!(replica.changed_since(rev(10), NOW).is_empty());
    assert_eq!(replica.synced_revision(), rev(20));
}

/// Entries vanish during an outage of the store, and a host defers their removal. Its followers
/// have been told meanwhile that they are in sync. The removal must still reach them.
#[test]
fn a_deferred_removal_is_sent_to_followers() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 5, Some(target_entry("t1", false))), NOW);
    replica.set_synced(rev(30));
    replica.apply_item(item("t1", 12, None), NOW);
    let changes = replica.changed_since(rev(30), NOW);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].entry.is_none());
}

/// Guards against a removal that never reaches a follower: callers were sent to a host that had
/// been removed eight seconds earlier. Entries vanish while the store is unavailable for some
/// hosts, which defer the removals. A host that has synced further with another source then asks
/// one of them. The removals were published under revisions that it has already passed, so it never
/// received them.
#[test]
fn a_deferred_removal_reaches_a_host_that_synced_further_elsewhere() {
    let (mut source, mut follower) = (Replica::open(), Replica::open());
    for replica in [&mut source, &mut follower] {
        replica.apply_item(item("t1", 5, Some(target_entry("t1", false))), NOW);
    }
    source.set_synced(rev(20));
    follower.set_synced(rev(30));
    source.apply_item(item("t1", 12, None), NOW);
    source.set_synced(rev(40));
    for item in source.changed_since(follower.synced_revision(), NOW) {
        follower.apply_item(item, NOW);
    }
    assert!(ids(&follower).is_empty());
}

/// The store refuses both readers while it serves all other hosts, and a change is made just after
/// their last response. A host below them must not wait for the change at stale sources: each
/// source that held the long poll would cost time, and the change would arrive too late.
#[test]
fn a_host_with_stale_data_does_not_hold_a_long_poll() {
    assert_eq!(long_poll_time(Duration::ZERO), LONG_POLL_TIME);
    assert_eq!(long_poll_time(STALE_AGE), Duration::ZERO);
    assert_eq!(long_poll_time(STALE_AGE + LONG_POLL_TIME), Duration::ZERO);
    let nearly_stale = STALE_AGE - LONG_POLL_TIME / 2;
    assert_eq!(
        nearly_stale + long_poll_time(nearly_stale),
        STALE_AGE,
        "held until the data is stale, and no longer"
    );
    // The rest of the 2.5 s that a change may take is needed for round trips and a full read.
    assert!(STALE_AGE <= Duration::from_millis(1700));
}

/// One reader loses the store for a while and follows the other reader. When it has the store
/// again, a target leaves by removing its entry. If this reader deferred the removal, its followers
/// would receive it two seconds late and send requests to a target that is gone. A removal may be
/// deferred only after an outage for all hosts, in which leases of running targets may have
/// expired.
#[test]
fn a_host_with_fresh_data_from_peers_defers_no_removal() {
    let via_other_reader = READER_POLL_INTERVAL + LONG_POLL_TIME;
    assert!(!may_have_expired(via_other_reader));
    assert!(!may_have_expired(STALE_AGE));
    assert!(may_have_expired(STALE_AGE + Duration::from_millis(1)));
}

/// In normal operation no host may consider its source stale: three hops below the readers the data
/// is as old as a reader's poll interval and three long polls.
#[test]
fn data_that_passed_down_the_tree_is_not_stale() {
    let reader_age = READER_POLL_INTERVAL + Duration::from_millis(200);
    assert!(reader_age + LONG_POLL_TIME * 3 < STALE_AGE);
}

/// A host without a configuration must not answer that a route does not exist.
#[test]
fn without_a_configuration_requests_are_refused_and_the_host_is_not_ready() {
    let host = Host::spawn(settings(), MemoryStore::open().platform_store(), dialect()).unwrap();
    let deployment = Deployment {
        store: MemoryStore::open(),
        host,
    };
    assert!(!deployment.host.shared().is_ready());
    let answer = deployment.call("GET", "/read/a", "r1");
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"),
        "{answer}"
    );
}

/// A target leaves. Once the host has received the change, it sends no request there.
#[test]
fn a_leaving_target_gets_no_more_requests() {
    let (old, new) = (
        ScriptedTarget::healthy("old"),
        ScriptedTarget::healthy("new"),
    );
    let deployment = Deployment::open(config(1), &[&old, &new]);
    let leaving_target = Target {
        leaving: true,
        ..target("t0", old.address())
    };
    deployment
        .store
        .put("t0", Entry::Target(Arc::new(leaving_target)));
    deployment.wait_until_ready();
    for n in 0..20 {
        let path = format!("/read/{n}");
        assert!(deployment.call("GET", &path, "r").ends_with("new"));
    }
}

/// The store becomes unavailable and no other host can be asked. The host keeps serving from its
/// replica.
#[test]
fn a_host_keeps_serving_while_the_store_is_unavailable() {
    let scripted = ScriptedTarget::healthy("still");
    let deployment = Deployment::open(config(1), &[&scripted]);
    deployment.store.set_unavailable(true);
    deployment.store.put("other", target_entry("other", true));
    assert!(deployment.call("GET", "/read/a", "r1").ends_with("still"));
}

/// Evacuated targets get no requests. After the evacuation they are cold and get a few requests per
/// second at most, whatever their entries report.
#[test]
fn an_evacuated_domain_gets_no_requests_and_returns_cold() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 1, Some(target_entry("t1", false))), NOW);
    replica.apply_item(
        item("e", 2, Some(Entry::Evacuated(support::DOMAIN.into()))),
        NOW,
    );
    assert!(ids(&replica).is_empty());
    let scripted = ScriptedTarget::healthy("back");
    let deployment = Deployment::open(config(1), &[&scripted]);
    deployment
        .store
        .put("e", Entry::Evacuated(support::DOMAIN.into()));
    deployment.wait_until_ready();
    assert!(
        deployment
            .call("GET", "/read/a", "r1")
            .starts_with("HTTP/1.1 503")
    );
    deployment.store.remove("e");
    deployment.wait_until_ready();
    let view = deployment.host.shared().view.load();
    let known = &view.services["cart"][0];
    assert!(known.cold_until > deployment.host.shared().now());
}

/// A target's process dies and immediately restarts elsewhere under the same id, after the host has
/// seen it down. The new process is a different target, and gets requests without a backoff or a
/// probe.
#[test]
fn a_target_that_starts_again_under_its_id_is_a_new_one() {
    // The target announces that it closes the connection. Otherwise the next request might be sent
    // on the idle connection, might have run, and would not be refused.
    let old = ScriptedTarget::open(|head| {
        let ending = "Stamp: s\r\nConnection: close\r\n";
        support::Script::Close(head.answer_with("200 OK", ending, "old"))
    });
    let deployment = Deployment::open(config(1), &[&old]);
    assert!(deployment.call("GET", "/read/a", "r1").ends_with("old"));
    old.stop_listening();
    let answer = deployment.call("GET", "/read/a", "r2");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let new = ScriptedTarget::healthy("new");
    let restarted = Target {
        born: 1,
        ..support::target("t0", new.address())
    };
    deployment
        .store
        .put("t0", Entry::Target(Arc::new(restarted)));
    deployment.wait_until_ready();
    assert!(deployment.call("GET", "/read/a", "r3").ends_with("new"));
}

/// Guards against full reads while the store has no changes. A host that follows a reader
/// considered its data stale and read the whole store again and again: responses to callers waited
/// behind megabytes on a narrow link, and a new version arrived a second late. Seen in the logs of
/// a day after an outage was over: some ten hosts read everything every 3.2 s, in step with the
/// reader's own waits.
#[test]
fn a_store_without_changes_is_not_considered_unavailable() {
    let store = MemoryStore::open();
    store.put("config", Entry::Config(Arc::new(config(1))));
    let (waits, reads) = (Count::default(), Count::default());
    let reader = Host::spawn(
        settings(),
        counted(store.platform_store(), &reads, &waits),
        dialect(),
    )
    .unwrap();
    wait_until(|| reader.shared().is_ready() && !reader.shared().view.load().hosts.is_empty());
    let settings = Settings {
        name: "h2".into(),
        ..settings()
    };
    let (none, reads) = (Count::default(), Count::default());
    let follower = Host::spawn(
        settings,
        counted(store.platform_store_unlisted(), &reads, &none),
        dialect(),
    )
    .unwrap();
    wait_until(|| follower.shared().is_ready());
    let (start, reads_before) = (value_of(&waits), value_of(&reads));
    wait_until(|| value_of(&waits) > start + 3);
    assert_eq!(value_of(&reads), reads_before, "full reads of the store");
}

/// During a rolling upgrade the source of a host does not know its messages. The host must still
/// receive later versions, and reads the store itself.
#[test]
fn a_source_of_another_release_does_not_delay_versions() {
    let other = ScriptedTarget::open(|head| {
        support::Script::Write(head.answer_with("404 Not Found", "", ""))
    });
    let store = MemoryStore::open();
    let entry = HostEntry {
        peers: other.address(),
        ..host_entry("h0", 0)
    };
    store.put("h0", Entry::Host(Arc::new(entry)));
    store.put("config", Entry::Config(Arc::new(config(1))));
    let host = Host::spawn(settings(), store.platform_store_unlisted(), dialect()).unwrap();
    for version in 1..4 {
        store.put("config", Entry::Config(Arc::new(config(version))));
        wait_until(|| {
            let view = host.shared().view.load();
            view.config.as_ref().is_some_and(|c| c.version == version)
        });
    }
    assert!(other.count() > 0, "the source was polled");
}

/// The sources of a host are gone. The host continues with the store from the revision that they
/// last sent. If it read the whole store instead, responses to callers would wait behind the read
/// on its link, and its followers would have to be sent all keys again.
#[test]
fn a_host_whose_sources_are_gone_does_not_repeat_the_full_read() {
    let store = MemoryStore::open();
    store.put("config", Entry::Config(Arc::new(config(1))));
    let reader = Host::spawn(settings(), store.platform_store(), dialect()).unwrap();
    wait_until(|| reader.shared().is_ready() && !reader.shared().view.load().hosts.is_empty());
    let settings = Settings {
        name: "h2".into(),
        ..settings()
    };
    let (waits, reads) = (Count::default(), Count::default());
    let platform_store = counted(store.platform_store_unlisted(), &reads, &waits);
    let follower = Host::spawn(settings, platform_store, dialect()).unwrap();
    wait_until(|| follower.shared().is_ready());
    store.put("t1", target_entry("t1", false));
    let has_target = |id: &str| {
        let view = follower.shared().view.load();
        let mut targets = view.services.values().flatten();
        targets.any(|k| &*k.target.id == id)
    };
    wait_until(|| has_target("t1"));
    assert_eq!(
        (value_of(&reads), value_of(&waits)),
        (1, 0),
        "the host follows the reader"
    );
    store.remove("host");
    wait_until(|| value_of(&waits) > 0);
    store.put("t2", target_entry("t2", false));
    wait_until(|| has_target("t2"));
    assert_eq!(value_of(&reads), 1, "full reads of the store");
}

type Count = Arc<AtomicUsize>;

fn value_of(counter: &Count) -> usize {
    counter.load(Ordering::SeqCst)
}

/// Wraps a store so that its full reads and watches are counted.
fn counted(platform_store: PlatformStore, reads: &Count, waits: &Count) -> PlatformStore {
    let (read, wait) = (
        Arc::clone(&platform_store.list),
        Arc::clone(&platform_store.watch),
    );
    let (reads, waits) = (Arc::clone(reads), Arc::clone(waits));
    PlatformStore {
        list: Arc::new(move |()| {
            reads.fetch_add(1, Ordering::SeqCst);
            read(())
        }),
        watch: Arc::new(move |asked| {
            waits.fetch_add(1, Ordering::SeqCst);
            wait(asked)
        }),
        ..platform_store
    }
}
