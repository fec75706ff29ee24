//! Wall time at full size: pieces of 760,000 client blocks, and one host among 2,401.
//!
//! ```text
//! cargo bench -p dunlinrock-coord --bench coord
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use std::{hint::black_box, time::Duration};

use common::{
    config,
    fleet::{Fleet, name},
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dunlinrock_coord::{
    member::{HostState, Membership, Timings},
    pieces::{self, Pieces},
    relay,
};
use dunlinrock_schema::{
    coord::{Beat, Message},
    store::{Listed, Listing},
};

const SIZE: usize = 49;

fn configuration(c: &mut Criterion) {
    let old = config(740, 22, 760_000);
    let mut new = old.clone();
    new.services.get_mut("service-123").unwrap().cap.share = 0.2;
    let (one, two) = (pieces::split(&old), pieces::split(&new));
    let all: Pieces = one.pieces.clone().into_iter().chain(two.pieces).collect();
    let get = |hash: &pieces::Hash| all.get(hash).cloned();
    let diff = pieces::diff(Some(one.tree), two.tree, &get).unwrap();
    let mut group = c.benchmark_group("760000 blocks");
    group.sample_size(10);
    group.bench_function("split", |b| b.iter(|| pieces::split(black_box(&old))));
    group.bench_function("join", |b| {
        b.iter(|| pieces::join(one.tree, &one.pieces).unwrap());
    });
    group.bench_function("diff of one service", |b| {
        b.iter(|| pieces::diff(Some(one.tree), black_box(two.tree), &get).unwrap());
    });
    let mut patched = old.clone();
    group.bench_function("patch of one service", |b| {
        b.iter(|| pieces::patch(&mut patched, &diff, &all).unwrap());
    });
    group.finish();
}

fn listing() -> Listing {
    let pairs = (0..SIZE).flat_map(|domain| (0..SIZE).map(move |host| (domain, host)));
    let hosts = pairs.map(|(domain, host)| {
        let me = Fleet::me(domain, host, 1);
        Listed {
            name: me.name,
            incarnation: 1,
            region: me.region,
            domain: me.domain,
            callers: me.callers,
            peers: me.peers,
            leaving: false,
        }
    });
    Listing {
        hosts: hosts.collect(),
    }
}

fn membership(c: &mut Criterion) {
    let listing = listing();
    let open = || {
        let me = Fleet::me(3, 4, 1);
        let mut member = Membership::open(me, Timings::default(), Duration::ZERO);
        member.handle_listing(Duration::ZERO, &listing);
        member
    };
    let mut group = c.benchmark_group("2401 hosts");
    let mut member = open();
    let mut now = Duration::ZERO;
    group.bench_function("tick of a heartbeat", |b| {
        b.iter(|| {
            now += Duration::from_millis(250);
            black_box(member.tick(now))
        });
    });
    let mut member = open();
    let mut beat = 0;
    group.bench_function("heartbeat received", |b| {
        b.iter(|| {
            beat += 1;
            let message = Message::Beat(Beat {
                name: name(3, 5),
                incarnation: 1,
                beat,
                state: HostState::Serving,
                revision: 0,
                sum: 0,
            });
            black_box(member.handle_message(Duration::from_millis(beat), &message))
        });
    });
    group.sample_size(10);
    group.bench_function("list read for the first time", |b| {
        b.iter_batched(|| (), |()| open(), BatchSize::PerIteration);
    });
    let mut member = open();
    group.bench_function("list read again", |b| {
        b.iter(|| member.handle_listing(Duration::ZERO, &listing));
    });
    let members = member.members();
    let me = name(3, 4);
    group.bench_function("relay plan", |b| {
        b.iter(|| relay::role(&me, black_box(&members)));
    });
    group.finish();
}

criterion_group!(benches, configuration, membership);
criterion_main!(benches);
