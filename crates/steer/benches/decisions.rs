//! Cost of one decision: a block lookup, a region pick, a host lookup, and taking a request out of
//! a grant; at the current size and at the planned one.

use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use criterion::{Criterion, criterion_group, criterion_main};
use dunlinrock_config::config as files;
use dunlinrock_schema::config::Config;
use dunlinrock_steer::{
    Blocks, DesiredSplit, DesiredSplits, Grant, Grantee, ShareLimits, TrafficSplit, hash,
    hosts::{Host, HostTable, Liveness},
};
use ipnet::Ipv4Net;

fn cursuri() -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cursuri");
    files::load_dir(&root).unwrap_or_else(|findings| panic!("{findings}"))
}

/// 760,000 blocks of 740 sites.
fn planned_size() -> Blocks {
    let names: Vec<Arc<str>> = (0..740).map(|n| format!("site-{n}").into()).collect();
    let mut builder = Blocks::builder();
    let mut added = BTreeSet::new();
    let mut n = 0;
    while added.len() < 760_000 {
        n += 1;
        let random = hash::mix64(n);
        let prefix = 16 + (random >> 59) as u8 % 9;
        let net = Ipv4Net::new(Ipv4Addr::from(random as u32), prefix).expect("a prefix");
        if added.insert(net.trunc()) {
            let name = &names[hash::mix64(random) as usize % names.len()];
            builder.add(net.trunc().into(), name).expect("few names");
        }
    }
    builder.finish()
}

fn lookup(c: &mut Criterion) {
    let current = Blocks::open(&cursuri());
    let planned_size = planned_size();
    println!(
        "{} blocks: {} bytes; {} blocks: {:.2} bytes a block",
        current.len(),
        current.bytes(),
        planned_size.len(),
        planned_size.bytes() as f64 / planned_size.len() as f64
    );
    for (name, blocks, head) in [
        ("today", &current, 0x0a00_0000),
        ("760000", &planned_size, 0),
    ] {
        let mut n = 0_u64;
        c.bench_function(&format!("look-up/{name}"), |b| {
            b.iter(|| {
                n = n.wrapping_add(1);
                let address = hash::mix64(n) as u32;
                let address = if head == 0 {
                    address
                } else {
                    head | (address & 0x00ff_ffff)
                };
                black_box(blocks.find(IpAddr::V4(Ipv4Addr::from(address))))
            });
        });
    }
}

/// Returns a split that is even over the given number of regions.
fn split(regions: usize) -> TrafficSplit {
    let names: Vec<Arc<str>> = (0..regions).map(|n| format!("region-{n}").into()).collect();
    let desired = DesiredSplit {
        shares: names
            .iter()
            .map(|name| (name.clone(), 1.0 / regions as f64))
            .collect(),
        eligible: names.iter().cloned().collect(),
        cap: 0.1,
        window: Duration::from_secs(10),
    };
    let flows: BTreeMap<_, _> = names.iter().map(|n| (n.clone(), desired.clone())).collect();
    let desired_splits = DesiredSplits {
        flows: BTreeMap::from([("catalogue".into(), flows)]),
    };
    let mut split = TrafficSplit::open();
    split.update_peers(&[]);
    split.advance(&desired_splits, &ShareLimits::default(), Duration::ZERO);
    split
}

fn pick(c: &mut Criterion) {
    for regions in [3, 22] {
        let split = split(regions);
        let mut n = 0_u64;
        c.bench_function(&format!("pick/{regions} regions"), |b| {
            b.iter(|| {
                n = n.wrapping_add(1);
                black_box(
                    split
                        .pick_region("catalogue", "region-1", hash::mix64(n))
                        .is_ok(),
                )
            });
        });
    }
}

fn hosts(c: &mut Criterion) {
    let config = cursuri();
    for count in [4, 110] {
        let hosts = config.regions.keys().flat_map(|region| {
            (0..count).map(move |n| Host {
                name: format!("{region}-{n}").into(),
                region: region.clone(),
                state: Liveness::Alive,
                load: 0.3,
            })
        });
        let table = HostTable::open(&config, hosts.collect());
        let mut n = 0_u64;
        c.bench_function(&format!("hosts/{count} a region"), |b| {
            b.iter(|| {
                n = n.wrapping_add(1);
                black_box(table.lookup("cluj", n).iter().count())
            });
        });
    }
}

fn take(c: &mut Criterion) {
    let mut grantee = Grantee::open(&"h".into(), &"c".into());
    for n in 0..4 {
        let grant = Grant {
            grantor: format!("g{n}").into(),
            region: "r".into(),
            grantee: "h".into(),
            service: "s".into(),
            rate: 1e9,
            request_bytes: 1e12,
            answer_bytes: 1e12,
            requested_at: Duration::ZERO,
        };
        grantee.receive(grant, Duration::ZERO);
    }
    let now = Duration::from_secs(1);
    c.bench_function("take/4 grants", |b| {
        b.iter(|| {
            black_box(
                grantee
                    .try_acquire("r", "s", (800.0, 24_000.0), now)
                    .is_ok(),
            )
        });
    });
}

fn config() -> Criterion {
    Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
}

criterion_group! {
    name = decisions;
    config = config();
    targets = lookup, pick, hosts, take
}
criterion_main!(decisions);
