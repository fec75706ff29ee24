//! Cost of finding the workspace of a key and the route of a request, and of taking a token.

#![allow(missing_docs, reason = "criterion's macros make items without any")]

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dunlinrock_decide::admit::direct::{RateLimitConfig, TokenCache};
use dunlinrock_edge::model::{KeyDigest, KeyIndex, Route, RouteIndex, Workspace};

/// Keys of a workspace.
const KEYS: usize = 3;

fn key(workspace: usize, n: usize) -> String {
    format!("key-{workspace:08}-{n}")
}

fn index(workspaces: usize) -> KeyIndex {
    let workspace = |w: usize| {
        let keys = (0..KEYS).map(|n| KeyDigest::of(key(w, n).as_bytes()));
        Arc::new(Workspace {
            name: format!("w{w:08}").into(),
            keys: keys.collect(),
            rate: 10.0,
            burst: 10.0,
            rank: None,
            homes: BTreeSet::new(),
        })
    };
    let all: Vec<_> = (0..workspaces).map(workspace).collect();
    KeyIndex::open(&all)
}

fn identity(c: &mut Criterion) {
    let mut group = c.benchmark_group("identity");
    for workspaces in [88, 900, 20_000] {
        let index = index(workspaces);
        let keys: Vec<_> = (0..workspaces).map(|w| key(w, w % KEYS)).collect();
        let mut n = 0;
        let id = BenchmarkId::from_parameter(workspaces);
        group.bench_function(id, |b| {
            b.iter(|| {
                n = (n + 7919) % keys.len();
                index.find(KeyDigest::of(keys[n].as_bytes()))
            });
        });
    }
    group.finish();
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for routes in [8, 1400, 4200] {
        let route = |n: usize| {
            Arc::new(Route {
                name: format!("r{n}").into(),
                host: "shop.example".into(),
                prefix: format!("/part-{n}/").into(),
                repeatable: true,
                sticky: true,
                timeout: Duration::from_secs(5),
                objective: Duration::from_secs(1),
                priority: 1,
                attempts: 2,
                parts: Vec::new(),
                homes: BTreeSet::new(),
                open: false,
            })
        };
        let all: Vec<_> = (0..routes).map(route).collect();
        let index = RouteIndex::open(&all);
        let paths: Vec<_> = (0..routes)
            .map(|n| format!("/part-{n}/some/object"))
            .collect();
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(routes), |b| {
            b.iter(|| {
                n = (n + 7919) % paths.len();
                index.find("shop.example", &paths[n]).is_some()
            });
        });
    }
    group.finish();
}

fn cache(c: &mut Criterion) {
    let rules = RateLimitConfig {
        window: Duration::from_secs(5),
        over: 0.1,
        slack: 20.0,
    };
    let mut cache = TokenCache::open();
    let mut now = Duration::ZERO;
    c.bench_function("token", |b| {
        b.iter(|| {
            now += Duration::from_millis(1);
            cache.record_demand(now);
            if cache.take(now).is_none() {
                let want = cache.refill_size(&rules, false, now);
                cache.add(want, now, &rules);
            }
        });
    });
}

criterion_group!(benches, identity, route, cache);
criterion_main!(benches);
