//! Configuration updates between hosts: patches that produce exactly the written version, or the
//! full version.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_edge::{
    model::{Config, Packed, Patch, Route},
    replica::{ConfigHistory, ConfigUpdate, ConfigUpdateError},
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{config, reweighted};

/// Returns a version with random routes: a subset of a few prefixes, each with a random priority.
fn random_config(version: u64, routes: &BTreeMap<u8, u8>, rate: u8) -> Arc<Config> {
    let small = config(version);
    let route = |(prefix, priority): (&u8, &u8)| {
        Arc::new(Route {
            // Two digits keep the routes in the order that a patch produces, which has no meaning.
            prefix: format!("/{prefix:02}/").into(),
            priority: *priority,
            ..Route::clone(&small.routes[0])
        })
    };
    let mut services = small.services.clone();
    services.values_mut().for_each(|s| s.rate = f64::from(rate));
    Arc::new(Config {
        routes: routes.iter().map(route).collect(),
        services,
        ..small
    })
}

type RandomConfig = (BTreeMap<u8, u8>, u8);

fn versions() -> impl Strategy<Value = Vec<RandomConfig>> {
    let routes = proptest::collection::btree_map(0..12u8, 0..3u8, 0..12);
    proptest::collection::vec((routes, 0..3u8), 1..40)
}

fn send_update(from: &mut ConfigHistory, to: &mut ConfigHistory) {
    let update = from
        .update_since(to.number())
        .expect("the update can be packed");
    if let Some(update) = update {
        to.apply_update(&update).expect("the update applies");
    }
}

/// Fixed seed: the same cases in every run.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    /// A host follows another one that follows a reader of the store. Each polls from time to time
    /// and may be many versions behind. Whatever updates it receives, it holds a version that
    /// operators wrote, and never an older one than before.
    #[test]
    fn a_version_received_as_patches_equals_the_written_one(
        written in versions(),
        polls in proptest::collection::vec((any::<bool>(), any::<bool>()), 40),
    ) {
        let (mut reader, mut near, mut far) =
            (ConfigHistory::default(), ConfigHistory::default(), ConfigHistory::default());
        for (n, ((routes, rate), (first, second))) in written.iter().zip(polls).enumerate() {
            reader.replace_if_newer(&random_config(n as u64 * 2 + 1, routes, *rate));
            let before = (near.number(), far.number());
            if first {
                send_update(&mut reader, &mut near);
                prop_assert_eq!(near.current(), reader.current());
            }
            if second {
                send_update(&mut near, &mut far);
                prop_assert_eq!(far.current(), near.current());
            }
            prop_assert!(near.number() >= before.0 && far.number() >= before.1);
        }
    }
}

/// A host that polls often receives patches. One that was away for long receives the full version.
#[test]
fn a_host_that_is_far_behind_receives_the_full_version() {
    let mut reader = ConfigHistory::default();
    let (mut behind, mut far) = (ConfigHistory::default(), ConfigHistory::default());
    let mut config = config(1);
    for n in 0..40 {
        reader.replace_if_newer(&Arc::new(config.clone()));
        if n == 0 {
            send_update(&mut reader, &mut far);
        }
        if n == 30 {
            send_update(&mut reader, &mut behind);
        }
        config = reweighted(config);
    }
    let update = |reader: &mut ConfigHistory, held| reader.update_since(held).unwrap().unwrap();
    assert!(
        matches!(update(&mut reader, behind.number()), ConfigUpdate::Steps(steps) if steps.len() == 9)
    );
    assert!(matches!(
        update(&mut reader, far.number()),
        ConfigUpdate::Whole(_)
    ));
    assert!(reader.update_since(reader.number()).unwrap().is_none());
}

/// A patch from another version, or a malformed one, changes nothing: a host must never be between
/// versions.
#[test]
fn an_update_that_does_not_apply_changes_nothing() {
    let (first, second) = (config(1), reweighted(config(1)));
    let third = reweighted(second.clone());
    let patch = Patch::between(&second, &third).expect("all keys differ");
    let update = ConfigUpdate::Steps(vec![Packed::pack(&patch).unwrap()]);
    let mut host = ConfigHistory::default();
    assert!(matches!(
        host.apply_update(&update),
        Err(ConfigUpdateError::VersionMismatch(_))
    ));
    host.replace_if_newer(&Arc::new(first.clone()));
    assert!(matches!(
        host.apply_update(&update),
        Err(ConfigUpdateError::VersionMismatch(_))
    ));
    let malformed = ConfigUpdate::Steps(vec![Packed::pack(&"no patch").unwrap()]);
    assert!(matches!(
        host.apply_update(&malformed),
        Err(ConfigUpdateError::Pack(_))
    ));
    assert_eq!(host.current().map(|c| Config::clone(c)), Some(first));
}

/// Two routes of a version have the same host name and prefix, so a patch could not identify one of
/// them.
#[test]
fn a_version_with_a_duplicate_route_is_sent_in_full() {
    let old = config(1);
    let mut new = config(2);
    new.routes.push(Arc::clone(&new.routes[0]));
    assert_eq!(Patch::between(&old, &new), None);
    let mut reader = ConfigHistory::default();
    reader.replace_if_newer(&Arc::new(old));
    reader.replace_if_newer(&Arc::new(new));
    assert!(matches!(
        reader.update_since(1).unwrap(),
        Some(ConfigUpdate::Whole(_))
    ));
}
