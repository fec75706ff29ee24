//! A configuration in pieces: joined completely or not at all, and a change transfers little.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::config;
use dunlinrock_coord::pieces::{self, Hash, JoinError, Pieces, TreeError};
use dunlinrock_schema::config::Config;
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn settings(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Small configurations with unusual names and blocks, and services without a definition.
fn configs() -> impl Strategy<Value = Config> {
    let block = prop_oneof![
        "[0-9]{1,3}\\.[0-9]{1,3}\\.0\\.0/[0-9]{1,2}",
        "[0-9a-f]{1,4}::/[0-9]{1,3}",
        Just("10.0.0.0/08".to_owned()),
        Just("10.0.0.0/+8".to_owned()),
        Just("010.0.0.0/8".to_owned()),
    ];
    let blocks = prop::collection::btree_map(block, "[a-z]{1,3}", 0..600);
    (0..4_usize, 0..70_usize, blocks, any::<bool>()).prop_map(
        |(services, targets, blocks, orphans)| {
            let mut config = config(services, targets, 0);
            config.blocks = blocks
                .into_iter()
                .map(|(block, region)| (block.into(), region.into()))
                .collect();
            if orphans {
                config.services.pop_first();
            }
            config
        },
    )
}

#[test]
fn a_configuration_joins_to_what_was_split() {
    let mut runner = TestRunner::new(settings(1));
    let check = |config: Config| {
        let split = pieces::split(&config);
        prop_assert_eq!(pieces::join(split.tree, &split.pieces).unwrap(), config);
        Ok(())
    };
    runner.run(&configs(), check).unwrap();
}

#[test]
fn a_patch_gives_the_same_as_a_join_and_fetches_only_new_pieces() {
    let mut runner = TestRunner::new(settings(2));
    let check = |(old, new): (Config, Config)| {
        let (one, two) = (pieces::split(&old), pieces::split(&new));
        let all: Pieces = one
            .pieces
            .clone()
            .into_iter()
            .chain(two.pieces.clone())
            .collect();
        let diff = pieces::diff(Some(one.tree), two.tree, &|hash| all.get(hash).cloned()).unwrap();
        let mut patched = old;
        pieces::patch(&mut patched, &diff, &all).unwrap();
        prop_assert_eq!(patched, new);
        let held = one.pieces.into_iter().chain(
            two.pieces
                .into_iter()
                .filter(|(hash, _)| diff.new_pieces.contains(hash)),
        );
        prop_assert!(pieces::join(two.tree, &held.collect()).is_ok());
        Ok(())
    };
    runner.run(&(configs(), configs()), check).unwrap();
}

// A host that has all pieces but one must not get a partial configuration, which no operator wrote.
// The error must name the piece to fetch.
#[test]
fn a_join_with_any_piece_missing_gives_nothing() {
    let split = pieces::split(&config(40, 3, 600));
    for hash in split.pieces.keys() {
        let mut partial = split.pieces.clone();
        partial.remove(hash);
        match pieces::join(split.tree, &partial) {
            Err(JoinError::Tree(TreeError::Missing(missing))) => {
                assert_eq!(missing, BTreeSet::from([*hash]));
            }
            other => panic!("joined without {hash}: {other:?}"),
        }
    }
}

#[test]
fn a_corrupt_piece_is_named_in_the_error() {
    let bytes: Arc<[u8]> = b"not a piece".as_slice().into();
    let hash = Hash::of(&bytes);
    let pieces = Pieces::from([(hash, bytes)]);
    let error = pieces::join(hash, &pieces).unwrap_err();
    assert!(error.to_string().contains(&hash.to_string()), "{error}");
}

#[test]
fn a_hash_reads_back_from_its_text() {
    let hash = Hash::of(b"x");
    assert_eq!(Hash::parse(&hash.to_string()), Some(hash));
    assert_eq!(Hash::parse("12"), None);
    assert_eq!(Hash::read(&[1, 2]), None);
}

/// Bytes and number of the new pieces between two configurations.
fn transferred(old: &Config, new: &Config) -> (usize, usize) {
    let (one, two) = (pieces::split(old), pieces::split(new));
    let all: Pieces = one.pieces.into_iter().chain(two.pieces).collect();
    let diff = pieces::diff(Some(one.tree), two.tree, &|hash| all.get(hash).cloned()).unwrap();
    let bytes = diff.new_pieces.iter().map(|hash| all[hash].len()).sum();
    (bytes, diff.new_pieces.len())
}

#[test]
fn at_full_size_a_change_moves_under_four_kilobytes_and_no_value_reaches_a_megabyte() {
    let full = config(740, 22, 760_000);
    let split = pieces::split(&full);
    let bytes: usize = split.pieces.values().map(|piece| piece.len()).sum();
    let largest = split
        .pieces
        .values()
        .map(|piece| piece.len())
        .max()
        .unwrap();
    println!(
        "pieces {} bytes {bytes} largest {largest}",
        split.pieces.len()
    );
    assert!(largest < 20_000, "{largest}");
    assert!(split.pieces.len() < 8_000, "{}", split.pieces.len());

    let mut service = full.clone();
    let rules = service.services.get_mut("service-123").unwrap();
    rules.cap.share = 0.2;
    let target = service.targets.get_mut("target-123-07").unwrap();
    target.address = "10.200.0.1:9090".into();
    println!("service {:?}", transferred(&full, &service));
    assert!(transferred(&full, &service).0 < 3_500);

    let mut block = full.clone();
    let name = block.blocks.keys().nth(333_333).unwrap().clone();
    block.blocks.insert(name, "region-21".into());
    println!("block {:?}", transferred(&full, &block));
    assert!(transferred(&full, &block).0 < 3_500);
}
