//! Membership in virtual time: how hosts see each other, how fast changes arrive, and what a paused
//! host may do.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::fleet::{Fleet, name};
use dunlinrock_coord::member::{Action, HostState};
use dunlinrock_schema::coord::{Quarantine, QuarantineKind};

const SETTLE_TIME: Duration = Duration::from_secs(15);
const MINUTE: Duration = Duration::from_secs(60);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Hosts that are started, listed and caught up.
fn settled(domains: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::open(domains, hosts, 7);
    fleet.run(SETTLE_TIME);
    for (name, node) in &fleet.nodes {
        assert!(node.member.caught_up(), "{name}");
        assert_eq!(node.member.serving().len(), domains * hosts, "{name}");
    }
    fleet
}

fn only(state: HostState) -> BTreeSet<HostState> {
    BTreeSet::from([state])
}

#[test]
fn all_hosts_see_each_other_serve_and_none_is_suspected_in_ten_minutes() {
    let mut fleet = settled(6, 2);
    fleet.nodes.values_mut().for_each(|node| node.log.clear());
    fleet.run(MINUTE * 10);
    for (name, node) in &fleet.nodes {
        assert!(node.log.is_empty(), "{name}: {:?}", node.log);
    }
}

// A look-up must not name a dead host for long. The host dies without a broadcast; its watchers
// receive no heartbeats, suspect it after one second and agree after three that it is gone.
#[test]
fn a_dead_host_is_gone_everywhere_within_five_seconds() {
    for (domains, hosts) in [(6, 2), (8, 12)] {
        let mut fleet = settled(domains, hosts);
        fleet.node("host-00-00").dead = true;
        let suspect = fleet.until(MINUTE, |fleet| {
            !fleet
                .observed_states("host-00-00")
                .contains(&HostState::Serving)
        });
        assert!(suspect.unwrap() <= ms(1500), "{suspect:?}");
        let gone = fleet.until(MINUTE, |fleet| {
            fleet.observed_states("host-00-00") == only(HostState::Gone)
        });
        assert!(gone.unwrap() <= ms(3500), "{gone:?}");
    }
}

#[test]
fn a_leaving_host_is_known_to_all_long_before_a_silent_one_is_suspect() {
    let mut fleet = settled(8, 12);
    fleet.act("host-03-05", |member, now| {
        member.set_state(now, HostState::Leaving)
    });
    let known = fleet.until(MINUTE, |fleet| {
        fleet.observed_states("host-03-05") == only(HostState::Leaving)
    });
    assert!(known.unwrap() <= ms(200), "{known:?}");
    fleet.run(MINUTE);
    assert_eq!(
        fleet.observed_states("host-03-05"),
        only(HostState::Leaving)
    );
}

// Guards against two callers of one key being sent to two processes of one name. The host restarts
// at once, before any host has missed it; its own broadcast makes the new incarnation known, and
// late messages of the old one change nothing.
#[test]
fn a_restart_supersedes_the_old_incarnation_everywhere() {
    let mut fleet = settled(6, 2);
    fleet.start(2, 1, 2);
    fleet.run(ms(100));
    fleet.list(2, 1, 2);
    fleet.send_listing();
    fleet.run(SETTLE_TIME);
    for (other, node) in &fleet.nodes {
        let host = &node.member.hosts()["host-02-01"];
        assert_eq!(host.incarnation, 2, "{other}");
        assert_eq!(
            node.member.state_of("host-02-01"),
            HostState::Serving,
            "{other}"
        );
    }
    fleet.list(2, 1, 1);
    fleet.send_listing();
    for node in fleet.nodes.values() {
        assert_eq!(node.member.hosts()["host-02-01"].incarnation, 2);
    }
}

// A paused host resumes with the state that it still owns its targets. The gap between its own
// ticks shows the pause, so it is not caught up until another host has replied; it also suspects no
// other host for the time of its own pause.
#[test]
fn a_resumed_host_is_not_caught_up_before_another_has_replied() {
    let mut fleet = settled(6, 2);
    fleet.node("host-01-01").paused = true;
    fleet.run(MINUTE);
    assert_eq!(fleet.observed_states("host-01-01"), only(HostState::Gone));
    fleet.partitioned.insert("domain-01".into());
    fleet.node("host-01-00").paused = true;
    fleet.resume("host-01-01");
    assert!(!fleet.node("host-01-01").member.caught_up());
    fleet.run(ms(1000));
    assert!(!fleet.node("host-01-01").member.caught_up());
    fleet.partitioned.clear();
    fleet.resume("host-01-00");
    fleet.run(SETTLE_TIME);
    let node = fleet.node("host-01-01");
    assert!(node.member.caught_up());
    assert_eq!(node.member.serving().len(), 12);
    assert_eq!(
        fleet.observed_states("host-01-01"),
        only(HostState::Serving)
    );
}

// After a pause a host may read a waiting message before its first tick. It must neither act on it
// nor take it for the reply that it has to wait for.
#[test]
fn a_message_read_before_the_first_tick_after_a_pause_does_not_hide_the_pause() {
    let mut fleet = settled(6, 2);
    let now = fleet.now + MINUTE;
    let member = &mut fleet.node("host-01-01").member;
    assert!(member.caught_up_at(now - MINUTE));
    assert!(!member.caught_up_at(now));
    let beat = dunlinrock_schema::coord::Beat {
        name: name(1, 0),
        incarnation: 1,
        beat: 1 << 40,
        state: HostState::Serving,
        revision: 0,
        sum: 0,
    };
    let message = dunlinrock_schema::coord::Message::Beat(beat);
    let actions = member.handle_message(now, &message);
    assert!(actions.contains(&Action::CaughtUp(false)), "{actions:?}");
    assert!(!member.caught_up());
}

// The process was replaced while it was paused. When it resumes, it must not act under the name
// that another process has now, however long ago that was broadcast.
#[test]
fn a_paused_host_that_was_replaced_finds_itself_superseded() {
    let mut fleet = settled(6, 2);
    let mut old = fleet.nodes.remove(&name(1, 1)).unwrap();
    fleet.run(SETTLE_TIME);
    fleet.start(1, 1, 2);
    fleet.list(1, 1, 2);
    fleet.send_listing();
    fleet.run(MINUTE * 5);
    let actions = old.member.tick(fleet.now);
    assert!(!old.member.caught_up());
    let Some(Action::Send { to, message }) = actions.iter().find(|action| {
        matches!(
            action,
            Action::Send {
                message: dunlinrock_schema::coord::Message::SyncAsk(_),
                ..
            }
        )
    }) else {
        panic!("no sync request: {actions:?}");
    };
    let now = fleet.now;
    let answers = fleet.node(to).member.handle_message(now, message);
    for answer in answers {
        if let Action::Send { message, .. } = answer {
            old.member.handle_message(fleet.now, &message);
        }
    }
    assert_eq!(old.member.superseded(), Some(2));
    assert!(!old.member.caught_up());
    fleet.run(SETTLE_TIME);
    assert_eq!(
        fleet.observed_states("host-01-01"),
        only(HostState::Serving)
    );
}

// Guards against a restarted host that stays out of service. The machine's clock was ahead when the
// earlier process started and is right again, or was set back since: the later process has the
// lower number, and all others take it for the earlier one. It has only just started, and must not
// stop because of that.
#[test]
fn a_restarted_host_whose_clock_was_set_back_restarts_with_a_higher_incarnation() {
    let mut fleet = settled(6, 2);
    let replace = |fleet: &mut Fleet, incarnation| {
        fleet.start(1, 1, incarnation);
        fleet.send_listing();
        fleet.run(SETTLE_TIME);
    };
    replace(&mut fleet, 9);
    replace(&mut fleet, 2);
    let log = &fleet.node("host-01-01").log;
    let reported = |action: Action| log.iter().any(|(_, one)| *one == action);
    assert!(
        reported(Action::HigherIncarnation { incarnation: 9 }),
        "{log:?}"
    );
    assert!(!reported(Action::Superseded { incarnation: 9 }), "{log:?}");
    assert!(!reported(Action::CaughtUp(true)), "{log:?}");
    replace(&mut fleet, 10);
    assert!(fleet.node("host-01-01").member.caught_up());
    assert_eq!(
        fleet.observed_states("host-01-01"),
        only(HostState::Serving)
    );
}

// A region is partitioned for minutes, then reachable again. Each side sees the other's domains as
// silent and keeps its own; afterwards all hosts serve again without a restart.
#[test]
fn a_region_partitioned_for_minutes_is_silent_and_recovers() {
    let mut fleet = settled(6, 2);
    let region = ["domain-00", "domain-01"];
    fleet.partitioned.extend(region.map(Into::into));
    let silent = fleet.until(MINUTE, |fleet| {
        let node = &fleet.nodes["host-04-00"];
        region
            .iter()
            .all(|domain| node.member.is_domain_silent(domain))
    });
    assert!(silent.unwrap() <= ms(4000), "{silent:?}");
    fleet.run(MINUTE * 5);
    assert_eq!(fleet.node("host-04-00").member.serving().len(), 8);
    assert_eq!(fleet.node("host-00-00").member.serving().len(), 4);
    assert!(fleet.node("host-00-00").member.caught_up());
    fleet.partitioned.clear();
    fleet.run(SETTLE_TIME);
    for (name, node) in &fleet.nodes {
        assert_eq!(node.member.serving().len(), 12, "{name}");
    }
}

// All hosts of a lost region die at once, so none is left to broadcast it.
#[test]
fn a_lost_region_is_silent_to_all_others_within_four_seconds() {
    let mut fleet = settled(8, 6);
    for host in 0..6 {
        fleet.node(&name(0, host)).dead = true;
        fleet.node(&name(1, host)).dead = true;
    }
    let silent = fleet.until(MINUTE, |fleet| {
        let alive = fleet.nodes.values().filter(|node| !node.dead);
        alive.into_iter().all(|node| {
            node.member.is_domain_silent("domain-00") && node.member.is_domain_silent("domain-01")
        })
    });
    assert!(silent.unwrap() <= ms(4000), "{silent:?}");
}

// The platform's list lags: it still names a host that died, and does not name one that started.
#[test]
fn a_lagging_list_neither_revives_the_dead_nor_hides_the_living() {
    let mut fleet = settled(6, 2);
    fleet.node("host-00-00").dead = true;
    fleet.run(SETTLE_TIME);
    fleet.start(3, 7, 1);
    let listing = fleet.listing.clone();
    fleet.act("host-03-07", |member, now| {
        member.handle_listing(now, &listing)
    });
    fleet.run(SETTLE_TIME);
    fleet.send_listing();
    fleet.run(SETTLE_TIME);
    assert_eq!(fleet.observed_states("host-00-00"), only(HostState::Gone));
    assert!(fleet.node("host-03-07").member.caught_up());
    for near in ["host-03-00", "host-03-01"] {
        let state = fleet.node(near).member.state_of("host-03-07");
        assert_eq!(state, HostState::Serving, "{near}");
    }
}

// The quarantine of a request that kills targets must reach every host within three seconds, even
// if one message in five is lost: the checksums in heartbeats and digests show that rumors are
// missing.
#[test]
fn a_quarantine_reaches_all_hosts_within_three_seconds_with_a_fifth_of_messages_lost() {
    for loss in [0.0, 0.2] {
        let mut fleet = settled(16, 12);
        fleet.loss = loss;
        let quarantine = Quarantine {
            kind: QuarantineKind::Request,
            id: "f1".into(),
            ttl_ms: 60_000,
        };
        fleet.act("host-05-03", |member, now| {
            member.broadcast(now, quarantine)
        });
        let known = fleet.until(MINUTE, |fleet| {
            let mut nodes = fleet.nodes.values();
            nodes.all(|node| !node.member.quarantines(fleet.now).is_empty())
        });
        println!("loss {loss}: {known:?}");
        assert!(known.unwrap() <= ms(3000), "{known:?}");
        fleet.loss = 0.0;
        fleet.run(MINUTE * 2);
        let left = fleet
            .nodes
            .values()
            .filter(|node| !node.member.quarantines(fleet.now).is_empty());
        assert_eq!(left.count(), 0);
    }
}

// One host's link fails in one direction: a single watcher receives nothing from a healthy host and
// must not have it declared gone.
#[test]
fn one_watcher_alone_cannot_have_a_healthy_host_declared_gone() {
    let mut fleet = settled(2, 8);
    fleet.loss = 0.3;
    fleet.nodes.values_mut().for_each(|node| node.log.clear());
    fleet.run(MINUTE * 2);
    let gone = |action: &Action| {
        matches!(
            action,
            Action::HostChanged {
                state: HostState::Gone,
                ..
            }
        )
    };
    for (name, node) in &fleet.nodes {
        assert!(!node.log.iter().any(|(_, action)| gone(action)), "{name}");
    }
}

// An operator waits for an apply. It must not be reported as active everywhere while a live host
// still uses the old configuration, and must be reported soon after the last host has the new one.
#[test]
fn the_lowest_revision_never_runs_ahead_of_a_live_host_and_follows_soon() {
    let mut fleet = Fleet::open(6, 4, 7);
    let config_with_share = |turn: u32| {
        let mut config = common::config(8, 2, 300);
        let service = config.services.get_mut("service-001").unwrap();
        service.cap.share = 0.1 + f64::from(turn) / 100.0;
        dunlinrock_coord::pieces::split(&config)
    };
    fleet.apply("a", config_with_share(0));
    fleet.run(SETTLE_TIME);
    for turn in 1..6 {
        fleet.loss = if turn % 2 == 0 { 0.2 } else { 0.0 };
        fleet.apply(&format!("b{turn}"), config_with_share(turn));
        let revision = fleet.store.revision();
        let reported = fleet.until(MINUTE, |fleet| {
            let nodes = || fleet.nodes.values();
            let lowest = nodes().map(|node| node.follower.revision()).min().unwrap();
            let ahead = nodes().any(|node| {
                node.member
                    .lowest_revision()
                    .is_some_and(|low| low > lowest)
            });
            assert!(!ahead, "a revision is reported as active too early");
            nodes().all(|node| node.member.lowest_revision() == Some(revision))
        });
        println!("reported everywhere after {reported:?}");
        let limit = if fleet.loss > 0.0 { 40_000 } else { 3000 };
        assert!(reported.unwrap() <= ms(limit), "{reported:?}");
    }
}

// A host was suspect when a region was partitioned, and was heard again meanwhile. The rumor that
// withdraws the suspicion never reaches the region, and has expired when it could. The region must
// not avoid a healthy host permanently: a suspicion that is not renewed expires.
#[test]
fn a_suspicion_whose_withdrawal_was_missed_expires() {
    let mut fleet = settled(6, 2);
    fleet.node("host-02-01").paused = true;
    fleet.run(ms(2000));
    assert_eq!(
        fleet.node("host-00-00").member.state_of("host-02-01"),
        HostState::Suspect
    );
    fleet.partitioned.insert("domain-00".into());
    fleet.resume("host-02-01");
    fleet.run(MINUTE);
    fleet.partitioned.clear();
    fleet.run(ms(5000));
    assert_eq!(
        fleet.observed_states("host-02-01"),
        only(HostState::Serving)
    );
}

// A host has been dead for long and the list still names it. Suspicions expire unless they are
// renewed, so its watchers must keep renewing them.
#[test]
fn a_dead_host_that_stays_on_the_list_stays_gone() {
    let mut fleet = settled(6, 2);
    fleet.node("host-02-01").dead = true;
    fleet.run(ms(5000));
    for _ in 0..60 {
        fleet.run(ms(5000));
        fleet.send_listing();
        assert_eq!(fleet.observed_states("host-02-01"), only(HostState::Gone));
    }
}

// A restarted host counts its digests from the beginning. If they were taken for old ones, the view
// of its domain would stay as before the restart.
#[test]
fn digests_of_a_restarted_host_count() {
    let mut fleet = Fleet::open(3, 1, 7);
    let config_with_share = |share: f64| {
        let mut config = common::config(2, 2, 10);
        config.services.get_mut("service-001").unwrap().cap.share = share;
        dunlinrock_coord::pieces::split(&config)
    };
    fleet.apply("a", config_with_share(0.1));
    fleet.run(MINUTE);
    fleet.start(1, 0, 2);
    fleet.list(1, 0, 2);
    fleet.send_listing();
    fleet.apply("b", config_with_share(0.2));
    fleet.run(SETTLE_TIME);
    assert_eq!(fleet.node("host-00-00").member.lowest_revision(), Some(2));
}
