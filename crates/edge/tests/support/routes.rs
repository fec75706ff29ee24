//! Configurations with many routes.

use std::{sync::Arc, time::Duration};

use dunlinrock_edge::model::{Config, Route, WeightedService};
use rand::{RngCore, SeedableRng, rngs::SmallRng};

/// Adds routes with random names to those of `small`, so that one route says little about another
/// and the configuration hardly compresses. A call with a higher count returns the same routes and
/// further ones.
pub fn large(small: Config, routes: usize) -> Config {
    let mut random = SmallRng::seed_from_u64(7);
    let mut name = || format!("{:08x}", random.next_u32());
    let hosts: Vec<Arc<str>> = (0..6)
        .map(|_| format!("{}.example", name()).into())
        .collect();
    let first = small.routes[0].clone();
    let more = (0..routes).map(|n| {
        Arc::new(Route {
            name: format!("r-{}", name()).into(),
            host: Arc::clone(&hosts[n % hosts.len()]),
            prefix: format!("/{}/{}/", name(), name()).into(),
            repeatable: n % 3 == 0,
            sticky: n % 2 == 0,
            priority: (n % 3) as u8,
            timeout: Duration::from_millis(1000 + 200 * (n as u64 % 7)),
            ..Route::clone(&first)
        })
    });
    Config {
        routes: small.routes.iter().cloned().chain(more).collect(),
        ..small
    }
}

/// Returns the next version, with other weights on one route.
pub fn reweighted(mut config: Config) -> Config {
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    config.version += 1;
    let changed = Route {
        parts: vec![part("cart", 70.0), part("till", 30.0)],
        ..Route::clone(&config.routes[1])
    };
    config.routes[1] = Arc::new(changed);
    config
}
