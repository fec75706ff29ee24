//! What hosts tell each other of the configuration: patches that lead to the very same version, or none.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_edge::{
    model::{Config, Packed, Patch, Route},
    replica::{ConfigHistory, ConfigUpdate, ConfigUpdateError},
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{config, reweighted};

/// A version whose routes are drawn: which of a few prefixes are there, and how each is served.
fn drawn(version: u64, routes: &BTreeMap<u8, u8>, rate: u8) -> Arc<Config> {
    let small = config(version);
    let route = |(prefix, priority): (&u8, &u8)| {
        Arc::new(Route {
            // Two digits: in the order in which a patch leaves them, which says nothing.
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

type Drawn = (BTreeMap<u8, u8>, u8);

fn versions() -> impl Strategy<Value = Vec<Drawn>> {
    let routes = proptest::collection::btree_map(0..12u8, 0..3u8, 0..12);
    proptest::collection::vec((routes, 0..3u8), 1..40)
}

fn tell(from: &mut ConfigHistory, to: &mut ConfigHistory) {
    let news = from.update_since(to.number()).expect("it can be packed");
    if let Some(news) = news {
        to.apply_update(&news).expect("it fits");
    }
}

/// The same cases every time.
fn settings() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    /// A host hears from one that hears from a reader of the store; each asks now and then, and may be many
    /// versions behind. Whatever it was told, it holds what the operators wrote, and never an older version
    /// than before.
    #[test]
    fn a_version_that_came_by_patches_is_the_one_that_was_written(
        written in versions(),
        asks in proptest::collection::vec((any::<bool>(), any::<bool>()), 40),
    ) {
        let (mut reader, mut near, mut far) =
            (ConfigHistory::default(), ConfigHistory::default(), ConfigHistory::default());
        for (n, ((routes, rate), (first, second))) in written.iter().zip(asks).enumerate() {
            reader.replace_if_newer(&drawn(n as u64 * 2 + 1, routes, *rate));
            let before = (near.number(), far.number());
            if first {
                tell(&mut reader, &mut near);
                prop_assert_eq!(near.current(), reader.current());
            }
            if second {
                tell(&mut near, &mut far);
                prop_assert_eq!(far.current(), near.current());
            }
            prop_assert!(near.number() >= before.0 && far.number() >= before.1);
        }
    }
}

/// A host that asks often is told patches; one that was away for long the whole version.
#[test]
fn a_host_that_is_far_behind_is_told_the_whole_version() {
    let mut reader = ConfigHistory::default();
    let (mut behind, mut far) = (ConfigHistory::default(), ConfigHistory::default());
    let mut config = config(1);
    for n in 0..40 {
        reader.replace_if_newer(&Arc::new(config.clone()));
        if n == 0 {
            tell(&mut reader, &mut far);
        }
        if n == 30 {
            tell(&mut reader, &mut behind);
        }
        config = reweighted(config);
    }
    let news = |reader: &mut ConfigHistory, held| reader.update_since(held).unwrap().unwrap();
    assert!(
        matches!(news(&mut reader, behind.number()), ConfigUpdate::Steps(steps) if steps.len() == 9)
    );
    assert!(matches!(
        news(&mut reader, far.number()),
        ConfigUpdate::Whole(_)
    ));
    assert!(reader.update_since(reader.number()).unwrap().is_none());
}

/// A patch that begins elsewhere, or that is broken, changes nothing: a host must never be between versions.
#[test]
fn news_that_do_not_fit_change_nothing() {
    let (first, second) = (config(1), reweighted(config(1)));
    let third = reweighted(second.clone());
    let patch = Patch::between(&second, &third).expect("all keys differ");
    let news = ConfigUpdate::Steps(vec![Packed::pack(&patch).unwrap()]);
    let mut host = ConfigHistory::default();
    assert!(matches!(
        host.apply_update(&news),
        Err(ConfigUpdateError::VersionMismatch(_))
    ));
    host.replace_if_newer(&Arc::new(first.clone()));
    assert!(matches!(
        host.apply_update(&news),
        Err(ConfigUpdateError::VersionMismatch(_))
    ));
    let broken = ConfigUpdate::Steps(vec![Packed::pack(&"no patch").unwrap()]);
    assert!(matches!(
        host.apply_update(&broken),
        Err(ConfigUpdateError::Pack(_))
    ));
    assert_eq!(host.current().map(|c| Config::clone(c)), Some(first));
}

/// Two routes of a version have the same host name and prefix: a patch could not tell which one it means.
#[test]
fn a_version_with_a_route_twice_is_told_whole() {
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
