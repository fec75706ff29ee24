//! A configuration as immutable pieces under the hashes of their content.
//!
//! Answers the load of change: thousands of small changes a day to a configuration of many
//! megabytes. Without pieces every change would move the whole to every host, and the whole does
//! not fit one value of the store. A configuration becomes leaves (a service with its targets, a
//! shard of client blocks) and a tree of index pieces over them; its topmost hash names the whole.
//! A change makes a new leaf and new index pieces on the way to it, and shares all else.
//!
//! ```
//! use dunlinrock_coord::pieces;
//! use dunlinrock_schema::config::Config;
//!
//! let mut config: Config = serde_json::from_str(r#"{"regions": {"north": {}}}"#).unwrap();
//! let one = pieces::split(&config);
//! assert_eq!(pieces::join(one.tree, &one.pieces).unwrap(), config);
//!
//! config.blocks.insert("10.0.0.0/24".into(), "north".into());
//! let two = pieces::split(&config);
//! let all: pieces::Pieces = one.pieces.into_iter().chain(two.pieces).collect();
//! let diff = pieces::diff(Some(one.tree), two.tree, &|hash| all.get(hash).cloned()).unwrap();
//! assert_eq!(&**diff.changed.keys().next().unwrap(), "blocks/v4/00000000/0");
//! ```

mod blocks;
mod diff;
mod hash;
mod index;
mod leaf;
mod shards;
mod table;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::config::Config;

use self::index::{Walk, build, insert_piece};
pub use self::{
    blocks::{Blocks, MAX_SHARD_BLOCKS},
    diff::{Change, Diff, diff},
    hash::Hash,
    index::{MAX_NODE_LEAVES, TreeError},
    leaf::{Leaf, LeafError, MAX_SHARD_TARGETS, leaves},
    shards::{Shard, shards},
    table::{Column, Table},
};
use crate::wire;

/// Pieces by their hash.
pub type Pieces = BTreeMap<Hash, Arc<[u8]>>;

/// A configuration, split.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Hash of the topmost index piece; names the whole configuration.
    pub tree: Hash,
    /// Every piece reached from it.
    pub pieces: Pieces,
}

/// Why pieces do not make a configuration.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The tree cannot be walked.
    #[error(transparent)]
    Tree(#[from] TreeError),
    /// A leaf cannot be read.
    #[error("piece {hash}: {error}")]
    Leaf {
        /// The piece.
        hash: Hash,
        /// What is wrong in it.
        error: LeafError,
    },
}

/// Splits a configuration. The same configuration always gives the same pieces.
pub fn split(config: &Config) -> Split {
    let mut pieces = Pieces::new();
    let leaves = leaves(config)
        .into_iter()
        .map(|(name, leaf)| (name, insert_piece(wire::encode_named(&leaf), &mut pieces)))
        .collect();
    let tree = build(&leaves, &mut pieces);
    Split { tree, pieces }
}

/// Joins pieces to the whole configuration, or says what is missing; never gives a part.
pub fn join(tree: Hash, pieces: &Pieces) -> Result<Config, JoinError> {
    let mut config = Config::default();
    let contents = list_tree(tree, pieces)?;
    let missing: BTreeSet<_> = contents
        .leaves
        .values()
        .filter(|hash| !pieces.contains_key(hash))
        .copied()
        .collect();
    if !missing.is_empty() {
        return Err(TreeError::Missing(missing).into());
    }
    for hash in contents.leaves.values() {
        let leaf = read_leaf(*hash, pieces)?;
        leaf.add(&mut config)
            .map_err(|error| JoinError::Leaf { hash: *hash, error })?;
    }
    Ok(config)
}

/// What a tree consists of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TreeContents {
    /// Hashes of the leaves, by name.
    pub leaves: BTreeMap<Arc<str>, Hash>,
    /// The index pieces.
    pub nodes: BTreeSet<Hash>,
}

/// Lists the leaves and index pieces of a tree; the leaves themselves need not be at hand.
pub fn list_tree(tree: Hash, pieces: &Pieces) -> Result<TreeContents, TreeError> {
    let mut walk = Walk::default();
    let mut out = TreeContents::default();
    let get = |hash: &Hash| pieces.get(hash).cloned();
    walk.list(tree, &get, &mut out.leaves, &mut out.nodes);
    walk.finish(out)
}

/// Reads one leaf.
pub fn read_leaf(hash: Hash, pieces: &Pieces) -> Result<Leaf, JoinError> {
    let bytes = pieces
        .get(&hash)
        .ok_or_else(|| TreeError::Missing(BTreeSet::from([hash])))?;
    wire::decode(bytes).map_err(|_| TreeError::Corrupt(hash).into())
}

/// Brings a configuration from one tree to another; on an error it is left half changed and must
/// be joined anew.
///
/// Removes all old leaves before it adds new ones: a shard that split has its entries in two new
/// leaves.
pub fn patch(config: &mut Config, diff: &Diff, pieces: &Pieces) -> Result<(), JoinError> {
    for hash in diff.changed.values().filter_map(|change| change.old) {
        let leaf = read_leaf(hash, pieces)?;
        leaf.remove(config)
            .map_err(|error| JoinError::Leaf { hash, error })?;
    }
    for hash in diff.changed.values().filter_map(|change| change.new) {
        let leaf = read_leaf(hash, pieces)?;
        leaf.add(config)
            .map_err(|error| JoinError::Leaf { hash, error })?;
    }
    Ok(())
}
