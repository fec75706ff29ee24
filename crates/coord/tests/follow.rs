//! The follower never goes back and never has a partial snapshot, in whatever order roots and
//! pieces arrive.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use common::{config, fleet::Fleet, store::Store};
use dunlinrock_coord::{
    follow::{Action, Follower, Source, Timings},
    pieces::{self, Pieces},
    root::{Apply, ApplyRequest, StoreLimits},
};
use dunlinrock_schema::{config::Config, coord::Root};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Configurations of several revisions, their roots, and all pieces ever written.
fn history(count: usize) -> (Vec<Config>, Vec<Root>, Pieces) {
    let mut store = Store::default();
    let mut configs = Vec::new();
    let mut roots = Vec::new();
    let mut config = config(8, 4, 700);
    for round in 0..count {
        let name = format!("service-{:03}", round % 8);
        let service = config.services.get_mut(name.as_str()).unwrap();
        service.cap.share = 0.1 + round as f64 / 100.0;
        let block = format!("10.{round}.0.0/16");
        config.blocks.insert(block.into(), "region-01".into());
        if round % 3 == 2 {
            config.blocks.pop_first();
        }
        let request = ApplyRequest {
            id: format!("a{round}").into(),
            by: "op".into(),
            at_ms: 0,
            base: None,
        };
        let mut apply = Apply::open(request, pieces::split(&config), StoreLimits::default());
        let mut ops = apply.poll(Duration::ZERO);
        while let Some(pending) = ops.pop() {
            let answer = store.run(&pending.op);
            ops.extend(apply.handle_reply(pending.id, answer, Duration::ZERO));
        }
        configs.push(config.clone());
        roots.push(store.read().unwrap());
    }
    (configs, roots, store.bytes())
}

// Roots and pieces arrive late, duplicated, out of order or never, from sources that lack some. At
// each moment the snapshot must be one of the configurations, complete, and no older than the one
// before.
#[test]
fn random_orders_and_losses_never_revert_and_never_give_a_partial_snapshot() {
    let (configs, roots, all) = history(12);
    let mut updated = BTreeSet::new();
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut follower = Follower::open(Timings::default());
        let mut patched = Config::default();
        let mut requests: Vec<(Source, Vec<pieces::Hash>)> = Vec::new();
        let mut now = Duration::ZERO;
        let mut last = 0;
        for _ in 0..400 {
            now += ms(rng.random_range(0..400));
            let from = Source::Peer(
                ["h1", "h2", "h3"]
                    .choose(&mut rng)
                    .unwrap()
                    .to_string()
                    .into(),
            );
            let actions = match rng.random_range(0..4) {
                0 => follower.handle_root(now, from, roots.choose(&mut rng).unwrap().clone()),
                1 | 2 if !requests.is_empty() => {
                    let index = rng.random_range(0..requests.len());
                    let (from, hashes) = requests[index].clone();
                    if rng.random_bool(0.7) {
                        requests.remove(index);
                    }
                    let held = hashes.iter().filter_map(|hash| all.get(hash).cloned());
                    let partial: Vec<Arc<[u8]>> = held.filter(|_| rng.random_bool(0.9)).collect();
                    follower.handle_pieces(now, &from, partial)
                }
                _ => follower.tick(now),
            };
            for action in actions {
                match action {
                    Action::FetchPieces { from, hashes } => requests.push((from, hashes)),
                    Action::Update(update) => {
                        let revision = update.entry.revision;
                        assert!(
                            revision > last && update.old_revision == last,
                            "seed {seed}"
                        );
                        let snapshot = follower.snapshot().unwrap();
                        let tree = snapshot.tree().unwrap();
                        let joined = pieces::join(tree, &snapshot.pieces).unwrap();
                        assert_eq!(joined, configs[revision as usize - 1], "seed {seed}");
                        let both = update
                            .removed
                            .into_iter()
                            .chain(snapshot.pieces.clone())
                            .collect();
                        pieces::patch(&mut patched, &update.diff, &both).unwrap();
                        assert_eq!(patched, joined, "seed {seed}");
                        let listed = pieces::list_tree(tree, &snapshot.pieces).unwrap();
                        let needed: BTreeSet<_> =
                            listed.leaves.into_values().chain(listed.nodes).collect();
                        assert_eq!(
                            snapshot.pieces.keys().copied().collect::<BTreeSet<_>>(),
                            needed
                        );
                        last = revision;
                        updated.insert(revision);
                    }
                    Action::FetchRoot { .. } => {}
                }
            }
            assert_eq!(follower.revision(), last);
        }
    }
    assert!(updated.len() > 6, "{updated:?}");
}

// The store has been unavailable since before this host started. The host must become ready from
// peers.
#[test]
fn a_host_that_starts_with_the_store_down_learns_the_configuration_from_peers() {
    let mut fleet = Fleet::open(6, 2, 3);
    fleet.apply("a", pieces::split(&config(20, 4, 3000)));
    fleet.run(ms(15_000));
    assert!(fleet.nodes.values().all(|node| node.follower.ready()));
    fleet.store_down = true;
    fleet.run(Duration::from_secs(600));
    fleet.start(2, 0, 2);
    fleet.list(2, 0, 2);
    fleet.send_listing();
    let ready = fleet.until(ms(20_000), |fleet| {
        fleet.nodes["host-02-00"].follower.ready()
    });
    println!("ready after {ready:?}");
    assert!(ready.unwrap() <= ms(5000), "{ready:?}");
}

// A partition from the store: a whole domain is new, and all its hosts start at once while the
// store is unavailable. They must get the configuration from relays of other domains.
#[test]
fn a_domain_that_starts_completely_with_the_store_down_learns_from_other_domains() {
    let mut fleet = Fleet::open(6, 2, 3);
    fleet.apply("a", pieces::split(&config(20, 4, 3000)));
    fleet.run(ms(15_000));
    fleet.store_down = true;
    fleet.start(4, 0, 2);
    fleet.start(4, 1, 2);
    fleet.list(4, 0, 2);
    fleet.list(4, 1, 2);
    fleet.send_listing();
    let ready = fleet.until(ms(30_000), |fleet| {
        fleet.nodes.values().all(|node| node.follower.ready())
    });
    println!("ready after {ready:?}");
    assert!(ready.unwrap() <= ms(10_000), "{ready:?}");
}

// A message down the tree is lost. The host learns from a heartbeat that others have a newer
// revision, and fetches it.
#[test]
fn a_change_reaches_all_hosts_within_seventeen_seconds_with_a_fifth_of_messages_lost() {
    let mut fleet = Fleet::open(6, 12, 5);
    let mut config = config(20, 4, 3000);
    fleet.apply("a", pieces::split(&config));
    fleet.run(ms(20_000));
    fleet.loss = 0.2;
    for round in 0..5 {
        config.services.get_mut("service-003").unwrap().cap.share = 0.2 + f64::from(round) / 50.0;
        fleet.apply(&format!("b{round}"), pieces::split(&config));
        let revision = fleet.store.revision();
        let took = fleet.until(ms(60_000), |fleet| {
            fleet
                .nodes
                .values()
                .all(|node| node.follower.revision() == revision)
        });
        println!("active everywhere after {took:?}");
        assert!(took.unwrap() <= ms(17_000), "{took:?}");
    }
    for (name, node) in &fleet.nodes {
        assert!(
            node.updates.is_sorted_by_key(|(_, revision)| *revision),
            "{name}"
        );
    }
}

#[test]
fn a_changed_service_costs_a_host_under_four_kilobytes_with_its_root() {
    let mut fleet = Fleet::open(1, 8, 5);
    let mut config = config(740, 22, 200_000);
    for round in 0..12 {
        config.services.get_mut("service-003").unwrap().cap.share = 0.2 + f64::from(round) / 50.0;
        fleet.apply(
            &format!("operator-apply-{round:02}"),
            pieces::split(&config),
        );
        fleet.run(ms(20_000));
    }
    fleet.reset_counts();
    config.services.get_mut("service-003").unwrap().cap.share = 0.9;
    fleet.apply("operator-apply-12", pieces::split(&config));
    fleet.run(ms(2000));
    let (messages, bytes) = fleet.counts["root_give"];
    println!("{messages} gives of {} bytes", bytes / messages);
    assert_eq!(messages, 6);
    assert!(bytes / messages < 4096, "{}", bytes / messages);
    assert!(
        !fleet.counts.contains_key("piece_ask"),
        "{:?}",
        fleet.counts
    );
}
