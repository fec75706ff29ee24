//! Time and size of configuration updates between hosts, for a configuration of 4,200 routes.
//!
//! ```text
//! cargo bench -p dunlinrock-edge --bench configuration
//! ```

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use dunlinrock_edge::model::{Packed, Patch};
use support::{config, large, reweighted};

const MANY: usize = 4200;
const GROWTH: usize = 1400;

fn told(c: &mut Criterion) {
    let whole = large(config(2), MANY);
    let fewer = large(config(1), MANY - GROWTH);
    let weights = reweighted(whole.clone());
    let growth = Patch::between(&fewer, &whole).expect("all keys differ");
    let one = Patch::between(&whole, &weights).expect("all keys differ");
    let size = |packed: Packed| packed.size();
    println!(
        "bytes: whole {} plain, {} packed; growth {} plain, {} packed; weights {}",
        rmp_serde::to_vec_named(&whole).map_or(0, |b| b.len()),
        Packed::pack(&whole).map_or(0, size),
        rmp_serde::to_vec_named(&growth).map_or(0, |b| b.len()),
        Packed::pack(&growth).map_or(0, size),
        Packed::pack(&one).map_or(0, size),
    );
    let packed = Packed::pack(&growth).expect("it can be encoded");
    let mut group = c.benchmark_group("4200 routes");
    group.sample_size(20);
    group.bench_function("encode growth", |b| {
        b.iter(|| rmp_serde::to_vec_named(black_box(&growth)));
    });
    group.bench_function("pack growth", |b| {
        b.iter(|| Packed::pack(black_box(&growth)));
    });
    group.bench_function("unpack growth", |b| {
        b.iter(|| black_box(&packed).unpack::<Patch>());
    });
    group.bench_function("difference of one route", |b| {
        b.iter(|| Patch::between(black_box(&whole), black_box(&weights)));
    });
    group.bench_function("apply one route", |b| {
        b.iter(|| one.apply(black_box(&whole)));
    });
    group.finish();
}

criterion_group!(benches, told);
criterion_main!(benches);
