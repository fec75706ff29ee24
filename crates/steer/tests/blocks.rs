//! A lookup finds the smallest block that covers an address.

use std::{
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    sync::Arc,
};

use dunlinrock_steer::{Blocks, hash};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::{prelude::*, test_runner::RngSeed};

fn table(blocks: &[(IpNet, Arc<str>)]) -> Blocks {
    let mut builder = Blocks::builder();
    for (net, name) in blocks {
        builder.add(*net, name).unwrap();
    }
    builder.finish()
}

fn named(blocks: &[(&str, &str)]) -> Blocks {
    let blocks: Vec<_> = blocks
        .iter()
        .map(|(net, name)| (net.parse().unwrap(), Arc::from(*name)))
        .collect();
    table(&blocks)
}

fn find<'b>(blocks: &'b Blocks, address: &str) -> Option<&'b str> {
    blocks.find(address.parse().unwrap()).map(AsRef::as_ref)
}

/// Reference implementation: a linear search over all blocks.
fn linear_search(blocks: &[(IpNet, Arc<str>)], address: IpAddr) -> Option<&Arc<str>> {
    let covering = blocks.iter().filter(|(net, _)| net.contains(&address));
    // Of equal blocks the last one counts.
    let best = covering.max_by_key(|(net, _)| net.prefix_len());
    best.map(|(_, name)| name)
}

#[test]
fn inner_blocks_win_and_outer_blocks_continue_after_them() {
    let blocks = named(&[
        ("10.0.0.0/8", "outer"),
        ("10.16.0.0/12", "inner"),
        ("10.16.255.0/24", "innermost"),
        ("10.31.0.0/16", "last"),
    ]);
    assert_eq!(find(&blocks, "10.15.255.255"), Some("outer"));
    assert_eq!(find(&blocks, "10.16.0.0"), Some("inner"));
    assert_eq!(find(&blocks, "10.16.255.7"), Some("innermost"));
    assert_eq!(find(&blocks, "10.17.0.0"), Some("inner"));
    assert_eq!(find(&blocks, "10.31.255.255"), Some("last"));
    assert_eq!(find(&blocks, "10.32.0.0"), Some("outer"));
    assert_eq!(find(&blocks, "11.0.0.0"), None);
    assert_eq!(find(&blocks, "9.255.255.255"), None);
}

#[test]
fn the_ends_of_the_address_space_are_covered() {
    let blocks = named(&[
        ("0.0.0.0/0", "all"),
        ("255.255.255.255/32", "last"),
        ("0.0.0.0/32", "first"),
        ("::/0", "six"),
        ("ffff::/16", "end"),
    ]);
    assert_eq!(find(&blocks, "0.0.0.0"), Some("first"));
    assert_eq!(find(&blocks, "0.0.0.1"), Some("all"));
    assert_eq!(find(&blocks, "255.255.255.254"), Some("all"));
    assert_eq!(find(&blocks, "255.255.255.255"), Some("last"));
    assert_eq!(find(&blocks, "::1"), Some("six"));
    assert_eq!(find(&blocks, "ffff::1"), Some("end"));
}

#[test]
fn a_mapped_address_counts_as_ipv4() {
    let blocks = named(&[("127.10.0.0/16", "demo")]);
    assert_eq!(find(&blocks, "::ffff:127.10.0.1"), Some("demo"));
    assert_eq!(find(&blocks, "::1"), None);
}

#[test]
fn an_empty_table_finds_nothing() {
    let blocks = named(&[]);
    assert!(blocks.is_empty());
    assert_eq!(find(&blocks, "10.0.0.1"), None);
}

/// 760,000 blocks of 740 sites, the planned size: at most 12 bytes per block.
#[test]
fn the_planned_size_takes_few_bytes_a_block() {
    let names: Vec<Arc<str>> = (0..740).map(|n| format!("site-{n}").into()).collect();
    let mut builder = Blocks::builder();
    let mut n = 0;
    let mut added = std::collections::BTreeSet::new();
    while added.len() < 760_000 {
        n += 1;
        let random = hash::mix64(n);
        let net = Ipv4Net::new(Ipv4Addr::from(random as u32), 16 + (random >> 59) as u8 % 9);
        let net = net.unwrap().trunc();
        if added.insert(net) {
            let name = &names[hash::mix64(random) as usize % names.len()];
            builder.add(net.into(), name).unwrap();
        }
    }
    let blocks = builder.finish();
    assert_eq!(blocks.len(), 760_000);
    let each = blocks.bytes() as f64 / 760_000.0;
    println!("{each:.2} bytes a block");
    assert!(each <= 12.0, "{each}");
}

fn v4() -> impl Strategy<Value = IpNet> {
    // Few distinct first bits, so that blocks nest and touch.
    (0_u32..4, any::<u32>(), 0_u8..=32).prop_map(|(head, rest, prefix)| {
        let address = Ipv4Addr::from((head << 30) | (rest & 0x0fff_00ff));
        Ipv4Net::new(address, prefix).unwrap().into()
    })
}

fn v6() -> impl Strategy<Value = IpNet> {
    (0_u128..4, any::<u16>(), 0_u8..=128).prop_map(|(head, rest, prefix)| {
        let address = Ipv6Addr::from((head << 120) | u128::from(rest));
        Ipv6Net::new(address, prefix).unwrap().into()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_table_matches_a_linear_search(
        nets in prop::collection::vec((prop_oneof![v4(), v6()], 0_u8..5), 0..40),
        others in prop::collection::vec(any::<u32>(), 20),
    ) {
        let blocks: Vec<(IpNet, Arc<str>)> = nets
            .into_iter()
            .map(|(net, name)| (net.trunc(), Arc::from(format!("site-{name}"))))
            .collect();
        let table = table(&blocks);
        let edges = blocks.iter().flat_map(|(net, _)| [net.network(), net.broadcast()]);
        let adjacent = edges.clone().flat_map(|address| match address {
            IpAddr::V4(a) => [
                IpAddr::from(Ipv4Addr::from_bits(a.to_bits().wrapping_sub(1))),
                IpAddr::from(Ipv4Addr::from_bits(a.to_bits().wrapping_add(1))),
            ],
            IpAddr::V6(a) => [
                IpAddr::from(Ipv6Addr::from_bits(a.to_bits().wrapping_sub(1))),
                IpAddr::from(Ipv6Addr::from_bits(a.to_bits().wrapping_add(1))),
            ],
        });
        let random = others.into_iter().map(|n| IpAddr::from(Ipv4Addr::from(n)));
        for address in edges.clone().chain(adjacent).chain(random) {
            if address.to_canonical() == address {
                prop_assert_eq!(table.find(address), linear_search(&blocks, address), "{}", address);
            }
        }
    }
}
