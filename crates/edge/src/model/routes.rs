//! Finds the route of a request in a time that hardly grows with the number of routes.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use super::Route;

/// Routes of one host name by their prefixes.
type Prefixes = BTreeMap<Arc<str>, Arc<Route>>;

/// Index of the routes of a configuration by host name and prefix. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex(Arc<BTreeMap<Arc<str>, Prefixes>>);

impl RouteIndex {
    /// Indexes routes. Of several with the same host name and prefix the last one applies.
    pub fn open(routes: &[Arc<Route>]) -> RouteIndex {
        let mut hosts = BTreeMap::<_, Prefixes>::new();
        for route in routes {
            let prefixes = hosts.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::clone(route));
        }
        RouteIndex(Arc::new(hosts))
    }

    /// Returns the route of a request: among the routes of its host name, the one with the longest
    /// prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.0.get(host)?;
        let mut most = path;
        loop {
            // Every prefix of the path sorts before it; whatever sorts between the result and the
            // path shares at least as many bytes with the path as the result does.
            let before = (Bound::Unbounded, Bound::Included(most));
            let (prefix, route) = prefixes.range::<str, _>(before).next_back()?;
            if path.starts_with(&**prefix) {
                return Some(route);
            }
            most = &path[..common(prefix, path)];
        }
    }
}

/// Returns the length of the common prefix in bytes, up to a character boundary.
fn common(a: &str, b: &str) -> usize {
    let same = a.chars().zip(b.chars()).take_while(|(a, b)| a == b);
    same.map(|(c, _)| c.len_utf8()).sum()
}
