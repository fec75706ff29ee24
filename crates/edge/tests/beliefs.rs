//! What a host believes of targets and configurations, and what it does while the store is away.

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
    model::{Entry, HostEntry, Item, PlatformStore, Target},
    replica::{Replica, View},
    settings::Settings,
};
use support::{Board, Deployment, Stand, config, dialect, host_entry, settings, target, until};

const NOW: Duration = Duration::from_secs(100);

fn item(key: &str, rev: u64, entry: Option<Entry>) -> Item {
    Item {
        key: key.into(),
        rev,
        created: 0,
        entry,
    }
}

fn leaving(id: &str, leaving: bool) -> Entry {
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

/// A host changes its source, and the new one is behind: it still lists a target that the host knows
/// to leave, and an older configuration. Neither may come back.
#[test]
fn an_older_word_never_replaces_a_newer_one() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 5, Some(leaving("t1", true))), NOW);
    replica.apply_item(item("t2", 6, None), NOW);
    replica.apply_item(
        item("config", 7, Some(Entry::Config(Arc::new(config(9))))),
        NOW,
    );
    replica.apply_item(item("t1", 4, Some(leaving("t1", false))), NOW);
    replica.apply_item(item("t2", 3, Some(leaving("t2", false))), NOW);
    replica.apply_item(
        item("config", 2, Some(Entry::Config(Arc::new(config(8))))),
        NOW,
    );
    assert!(ids(&replica).is_empty());
    assert_eq!(replica.config().unwrap().version, 9);
}

#[test]
fn a_reading_removes_what_it_does_not_name_unless_that_is_newer() {
    let mut replica = Replica::open();
    replica.apply_item(item("old", 5, Some(leaving("old", false))), NOW);
    replica.apply_item(item("new", 20, Some(leaving("new", false))), NOW);
    replica.replace(
        10,
        vec![item("named", 8, Some(leaving("named", false)))],
        NOW,
    );
    assert_eq!(ids(&replica), ["named", "new"]);
}

/// Targets repeat themselves with every heartbeat. A repetition must not count as a change: every
/// host that follows this one would be told of it.
#[test]
fn a_heartbeat_that_says_nothing_new_is_no_change() {
    let mut replica = Replica::open();
    assert!(replica.apply_item(item("t1", 1, Some(leaving("t1", false))), NOW));
    let number = replica.change_count();
    assert!(!replica.apply_item(item("t1", 2, Some(leaving("t1", false))), NOW));
    assert_eq!(replica.change_count(), number);
    assert!(replica.apply_item(item("t1", 3, Some(leaving("t1", true))), NOW));
}

/// An entry that cannot be read is written again and again. Were each time a change, every host would be told
/// of it, for as long as the writer lives.
#[test]
fn an_entry_that_names_nobody_is_no_change_when_it_is_repeated() {
    let broken = |rev| Item {
        created: 1,
        ..item("t1", rev, None)
    };
    let mut replica = Replica::open();
    assert!(replica.apply_item(item("t1", 1, Some(leaving("t1", false))), NOW));
    assert!(replica.apply_item(broken(2), NOW));
    let number = replica.change_count();
    assert!(!replica.apply_item(broken(3), NOW));
    assert_eq!(replica.change_count(), number);
}

/// A target says that it is cold for three seconds more. A host that hears of it a second later, from
/// another host, must not take it for cold a second longer than it is.
#[test]
fn a_cold_time_passed_on_is_shorter_by_the_time_that_passed() {
    let cold = Duration::from_secs(3);
    let address = "127.0.0.1:1".parse().unwrap();
    let entry = Entry::Target(Arc::new(Target {
        cold,
        ..target("t1", address)
    }));
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 1, Some(entry)), NOW);
    let passed = replica.changed_since(0, NOW + Duration::from_secs(1));
    let Some(Entry::Target(target)) = &passed[0].entry else {
        panic!("a target")
    };
    assert_eq!(target.cold, Duration::from_secs(2));
}

#[test]
fn a_follower_is_told_what_is_new_to_it_and_nothing_else() {
    let mut replica = Replica::open();
    for n in 0..10 {
        replica.apply_item(
            item(&format!("t{n}"), n + 1, Some(leaving("t", false))),
            NOW,
        );
    }
    replica.set_synced(10);
    // Heartbeats say nothing new.
    for n in 0..10 {
        replica.apply_item(
            item(&format!("t{n}"), n + 11, Some(leaving("t", false))),
            NOW,
        );
    }
    replica.set_synced(20);
    assert_eq!(replica.changed_since(7, NOW).len(), 3);
    assert!(replica.changed_since(10, NOW).is_empty());
    assert_eq!(replica.synced_revision(), 20);
}

/// Entries vanish while the store is away, and a host holds their removal back for a while. Followers
/// have been told meanwhile that nothing is missing; the removal must reach them all the same.
#[test]
fn a_removal_that_was_held_back_is_told_to_followers() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 5, Some(leaving("t1", false))), NOW);
    replica.set_synced(30);
    replica.apply_item(item("t1", 12, None), NOW);
    let told = replica.changed_since(30, NOW);
    assert_eq!(told.len(), 1);
    assert!(told[0].entry.is_none());
}

/// Callers are sent to a host that was removed eight seconds ago. Entries vanish while the store is away for
/// some hosts, and these hold the removals back. A host that had got further with another source asks one
/// of them: the removals are told under numbers that it has passed, and it never hears of them.
#[test]
fn a_removal_that_was_held_back_reaches_a_host_that_got_further_elsewhere() {
    let (mut source, mut follower) = (Replica::open(), Replica::open());
    for replica in [&mut source, &mut follower] {
        replica.apply_item(item("t1", 5, Some(leaving("t1", false))), NOW);
    }
    source.set_synced(20);
    follower.set_synced(30);
    source.apply_item(item("t1", 12, None), NOW);
    source.set_synced(40);
    for item in source.changed_since(follower.synced_revision(), NOW) {
        follower.apply_item(item, NOW);
    }
    assert!(ids(&follower).is_empty());
}

/// Both readers are turned away by the store while it serves all others. A change is made just after
/// their last answer. A host below them must not wait for it at sources that are stale: each of them
/// that held its answer back would cost time, and the change would come too late.
#[test]
fn a_host_whose_word_is_stale_does_not_hold_its_answer_back() {
    assert_eq!(long_poll_time(Duration::ZERO), LONG_POLL_TIME);
    assert_eq!(long_poll_time(STALE_AGE), Duration::ZERO);
    assert_eq!(long_poll_time(STALE_AGE + LONG_POLL_TIME), Duration::ZERO);
    let late = STALE_AGE - LONG_POLL_TIME / 2;
    assert_eq!(
        late + long_poll_time(late),
        STALE_AGE,
        "held back until it is stale, and no longer"
    );
    // What is left of the 2.5 s that a change may take: round trips, and a reading of the store.
    assert!(STALE_AGE <= Duration::from_millis(1700));
}

/// One reader is cut off from the store for a while and hears from the other one. As it returns, a
/// target leaves by the removal of its entry. Held back at this reader, the removal would reach the
/// hosts that ask it two seconds later, and callers' requests the target when it is gone. Held back
/// it must be only after an outage for all, in which entries of living targets may have lapsed.
#[test]
fn a_host_that_had_fresh_word_from_others_holds_no_removal_back() {
    let of_the_other_reader = READER_POLL_INTERVAL + LONG_POLL_TIME;
    assert!(!may_have_expired(of_the_other_reader));
    assert!(!may_have_expired(STALE_AGE));
    assert!(may_have_expired(STALE_AGE + Duration::from_millis(1)));
}

/// While all is well nobody may take its source for stale: three steps below the readers, the word is
/// as old as a reader's pause and three holds.
#[test]
fn a_word_that_came_down_the_tree_is_not_stale() {
    let reading = READER_POLL_INTERVAL + Duration::from_millis(200);
    assert!(reading + LONG_POLL_TIME * 3 < STALE_AGE);
}

/// A host that knows no configuration yet must not say that a route does not exist.
#[test]
fn without_a_configuration_requests_are_refused_and_the_host_is_not_ready() {
    let host = Host::spawn(settings(), Board::open().feed(), dialect()).unwrap();
    let deployment = Deployment {
        board: Board::open(),
        host,
    };
    assert!(!deployment.host.shared().is_ready());
    let answer = deployment.call("GET", "/read/a", "r1");
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"),
        "{answer}"
    );
}

/// A target leaves: once the host has heard of it, no request goes there.
#[test]
fn a_leaving_target_gets_nothing_more() {
    let (old, new) = (Stand::sound("old"), Stand::sound("new"));
    let deployment = Deployment::open(config(1), &[&old, &new]);
    let gone = Target {
        leaving: true,
        ..target("t0", old.address())
    };
    deployment.board.put("t0", Entry::Target(Arc::new(gone)));
    deployment.until_ready();
    for n in 0..20 {
        let path = format!("/read/{n}");
        assert!(deployment.call("GET", &path, "r").ends_with("new"));
    }
}

/// The store goes away and with it everything the host could ask. It serves on with what it knows.
#[test]
fn a_host_serves_on_while_the_store_is_away() {
    let stand = Stand::sound("still");
    let deployment = Deployment::open(config(1), &[&stand]);
    deployment.board.set_down(true);
    deployment.board.put("other", leaving("other", true));
    assert!(deployment.call("GET", "/read/a", "r1").ends_with("still"));
}

/// Evacuated targets get nothing; their domain taken back, they are cold and get a few requests a
/// second at most, whatever they say themselves.
#[test]
fn an_evacuated_domain_gets_nothing_and_comes_back_cold() {
    let mut replica = Replica::open();
    replica.apply_item(item("t1", 1, Some(leaving("t1", false))), NOW);
    replica.apply_item(
        item("e", 2, Some(Entry::Evacuated(support::DOMAIN.into()))),
        NOW,
    );
    assert!(ids(&replica).is_empty());
    let stand = Stand::sound("back");
    let deployment = Deployment::open(config(1), &[&stand]);
    deployment
        .board
        .put("e", Entry::Evacuated(support::DOMAIN.into()));
    deployment.until_ready();
    assert!(
        deployment
            .call("GET", "/read/a", "r1")
            .starts_with("HTTP/1.1 503")
    );
    deployment.board.remove("e");
    deployment.until_ready();
    let view = deployment.host.shared().view.load();
    let known = &view.services["cart"][0];
    assert!(known.cold_until > deployment.host.shared().now());
}

/// A target's process dies and starts again under the same id, at once and elsewhere. The host has seen
/// it down; the new process is another one, and gets requests without a pause or a trial.
#[test]
fn a_target_that_starts_again_under_its_id_is_a_new_one() {
    // It says that it closes: on a connection that the host still takes for kept the next request might
    // have run, and would not be refused.
    let old = Stand::open(|head| {
        let ending = "Stamp: s\r\nConnection: close\r\n";
        support::Script::Close(head.answer_with("200 OK", ending, "old"))
    });
    let deployment = Deployment::open(config(1), &[&old]);
    assert!(deployment.call("GET", "/read/a", "r1").ends_with("old"));
    old.stop_listening();
    let answer = deployment.call("GET", "/read/a", "r2");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let new = Stand::sound("new");
    let reborn = Target {
        born: 1,
        ..support::target("t0", new.address())
    };
    deployment.board.put("t0", Entry::Target(Arc::new(reborn)));
    deployment.until_ready();
    assert!(deployment.call("GET", "/read/a", "r3").ends_with("new"));
}

/// Nothing changes in the store for a while. A host that hears from a reader takes its word for stale and
/// reads the whole store for itself, over and over: callers' answers wait behind megabytes on a narrow link,
/// and a version that comes meanwhile is known a second later. Seen in the logs of a day after its trouble
/// was over: some ten hosts read everything every 3.2 s, in step with the reader's own waits.
#[test]
fn a_quiet_store_is_not_taken_for_a_lost_one() {
    let board = Board::open();
    board.put("config", Entry::Config(Arc::new(config(1))));
    let (waits, reads) = (Count::default(), Count::default());
    let reader = Host::spawn(settings(), counted(board.feed(), &reads, &waits), dialect()).unwrap();
    until(|| reader.shared().is_ready() && !reader.shared().view.load().hosts.is_empty());
    let settings = Settings {
        name: "h2".into(),
        ..settings()
    };
    let (none, reads) = (Count::default(), Count::default());
    let follower = Host::spawn(
        settings,
        counted(board.feed_unlisted(), &reads, &none),
        dialect(),
    )
    .unwrap();
    until(|| follower.shared().is_ready());
    let (start, at_start) = (count(&waits), count(&reads));
    until(|| count(&waits) > start + 3);
    assert_eq!(count(&reads), at_start, "readings of the whole store");
}

/// A fleet is changed to another release host by host. The host that this one hears from doesn't know its
/// messages; it must not be left without later versions, and reads the store for itself.
#[test]
fn a_source_of_another_release_does_not_hold_versions_back() {
    let other =
        Stand::open(|head| support::Script::Write(head.answer_with("404 Not Found", "", "")));
    let board = Board::open();
    let entry = HostEntry {
        peers: other.address(),
        ..host_entry("h0", 0)
    };
    board.put("h0", Entry::Host(Arc::new(entry)));
    board.put("config", Entry::Config(Arc::new(config(1))));
    let host = Host::spawn(settings(), board.feed_unlisted(), dialect()).unwrap();
    for version in 1..4 {
        board.put("config", Entry::Config(Arc::new(config(version))));
        until(|| {
            let view = host.shared().view.load();
            view.config.as_ref().is_some_and(|c| c.version == version)
        });
    }
    assert!(other.count() > 0, "it was asked");
}

/// The hosts that this one hears from are gone. It goes on with the store from the revision that they told it
/// up to; were it to read the whole store instead, callers' answers on its link would wait behind that, and
/// hosts that hear from it would have to be told all keys again.
#[test]
fn a_host_whose_sources_are_gone_does_not_read_everything_again() {
    let board = Board::open();
    board.put("config", Entry::Config(Arc::new(config(1))));
    let reader = Host::spawn(settings(), board.feed(), dialect()).unwrap();
    until(|| reader.shared().is_ready() && !reader.shared().view.load().hosts.is_empty());
    let settings = Settings {
        name: "h2".into(),
        ..settings()
    };
    let (waits, reads) = (Count::default(), Count::default());
    let feed = counted(board.feed_unlisted(), &reads, &waits);
    let follower = Host::spawn(settings, feed, dialect()).unwrap();
    until(|| follower.shared().is_ready());
    board.put("t1", leaving("t1", false));
    let knows = |id: &str| {
        let view = follower.shared().view.load();
        let mut targets = view.services.values().flatten();
        targets.any(|k| &*k.target.id == id)
    };
    until(|| knows("t1"));
    assert_eq!(
        (count(&reads), count(&waits)),
        (1, 0),
        "it hears from the reader"
    );
    board.remove("host");
    until(|| count(&waits) > 0);
    board.put("t2", leaving("t2", false));
    until(|| knows("t2"));
    assert_eq!(count(&reads), 1, "readings of the whole store");
}

type Count = Arc<AtomicUsize>;

fn count(counter: &Count) -> usize {
    counter.load(Ordering::SeqCst)
}

/// A feed whose readings and waits are counted.
fn counted(feed: PlatformStore, reads: &Count, waits: &Count) -> PlatformStore {
    let (read, wait) = (Arc::clone(&feed.list), Arc::clone(&feed.watch));
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
        ..feed
    }
}
