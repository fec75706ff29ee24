//! Selection of the route of a request among many routes.

mod support;

use std::sync::Arc;

use dunlinrock_edge::model::{Route, RouteIndex};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;
use support::config;

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        ..Route::clone(&config(1).routes[0])
    })
}

/// Finds the route with the longest prefix by a linear search.
fn linear_search<'a>(routes: &'a [Arc<Route>], host: &str, path: &str) -> Option<&'a Arc<Route>> {
    let fit = routes
        .iter()
        .filter(|r| &*r.host == host && path.starts_with(&*r.prefix));
    fit.max_by_key(|r| r.prefix.len())
}

#[rstest]
#[case::root("/", Some("all"))]
#[case::longest("/a/b/c", Some("ab"))]
#[case::shorter("/a/c", Some("a"))]
#[case::sibling("/a/b!", Some("a"))]
#[case::without_its_slash("/a/b", Some("a"))]
#[case::before_all_prefixes("!", None)]
#[case::empty("", None)]
#[case::multibyte_character("/ä/", Some("umlaut"))]
#[case::other_multibyte_character("/ö/", Some("all"))]
fn the_longest_prefix_wins(#[case] path: &str, #[case] name: Option<&str>) {
    let routes = [
        route("all", "h", "/"),
        route("a", "h", "/a/"),
        route("ab", "h", "/a/b/"),
        route("abx", "h", "/a/b/x/"),
        route("umlaut", "h", "/ä/"),
        route("other", "i", "/a/b/c/"),
    ];
    let index = RouteIndex::open(&routes);
    assert_eq!(index.find("h", path).map(|r| &*r.name), name);
    assert_eq!(index.find("none", path), None);
}

/// If a configuration contains a prefix twice, the last route wins, as in earlier releases.
#[test]
fn the_last_of_equal_routes_wins() {
    let routes = [route("first", "h", "/a/"), route("last", "h", "/a/")];
    let index = RouteIndex::open(&routes);
    assert_eq!(index.find("h", "/a/b").map(|r| &*r.name), Some("last"));
}

/// The index and a linear search find the same routes, for similar names.
#[rstest]
fn the_index_agrees_with_a_linear_search(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let text = |rng: &mut SmallRng| -> String {
        let length = rng.random_range(0..7);
        let letter = |rng: &mut SmallRng| *['/', 'a', 'b', 'é'].choose(rng).unwrap();
        (0..length).map(|_| letter(rng)).collect()
    };
    for _ in 0..300 {
        let count = rng.random_range(0..40);
        let routes: Vec<_> = (0..count)
            .map(|n| {
                let host = if rng.random() { "h" } else { "i" };
                route(&n.to_string(), host, &text(&mut rng))
            })
            .collect();
        let index = RouteIndex::open(&routes);
        for _ in 0..40 {
            let path = text(&mut rng);
            assert_eq!(
                index.find("h", &path),
                linear_search(&routes, "h", &path),
                "{path}"
            );
        }
    }
}
