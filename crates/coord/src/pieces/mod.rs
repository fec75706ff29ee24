//! A configuration as immutable, content-addressed pieces.
//!
//! Thousands of small changes a day apply to a configuration of many megabytes. Without pieces
//! every change would transfer all of it to every host, and it does not fit one value of the store.
//! A configuration is split into leaves (a service with its targets, a shard of client blocks) and
//! a tree of index pieces over them; the topmost hash identifies the configuration. A change writes
//! a new leaf and the index pieces on the path to it, and shares all others.
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

/// A configuration split into pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Hash of the topmost index piece; identifies the configuration.
    pub tree: Hash,
    /// All pieces that are reachable from it.
    pub pieces: Pieces,
}

/// Reason why pieces cannot be joined to a configuration.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The tree cannot be read.
    #[error(transparent)]
    Tree(#[from] TreeError),
    /// A leaf cannot be decoded.
    #[error("piece {hash}: {error}")]
    Leaf {
        /// Hash of the leaf.
        hash: Hash,
        /// The decoding error.
        error: LeafError,
    },
}

/// Splits a configuration. Equal configurations have equal pieces.
pub fn split(config: &Config) -> Split {
    let mut pieces = Pieces::new();
    let leaves = leaves(config)
        .into_iter()
        .map(|(name, leaf)| (name, insert_piece(wire::encode_named(&leaf), &mut pieces)))
        .collect();
    let tree = build(&leaves, &mut pieces);
    Split { tree, pieces }
}

/// Joins pieces to the complete configuration. Returns an error if a piece is missing, never a
/// partial configuration.
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

/// Names and hashes of the pieces of a tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TreeContents {
    /// Hashes of the leaves, by name.
    pub leaves: BTreeMap<Arc<str>, Hash>,
    /// Hashes of the index pieces.
    pub nodes: BTreeSet<Hash>,
}

/// Lists the leaves and index pieces of a tree; the leaves themselves need not be available.
pub fn list_tree(tree: Hash, pieces: &Pieces) -> Result<TreeContents, TreeError> {
    let mut walk = Walk::default();
    let mut out = TreeContents::default();
    let get = |hash: &Hash| pieces.get(hash).cloned();
    walk.list(tree, &get, &mut out.leaves, &mut out.nodes);
    walk.finish(out)
}

/// Decodes one leaf.
pub fn read_leaf(hash: Hash, pieces: &Pieces) -> Result<Leaf, JoinError> {
    let bytes = pieces
        .get(&hash)
        .ok_or_else(|| TreeError::Missing(BTreeSet::from([hash])))?;
    wire::decode(bytes).map_err(|_| TreeError::Corrupt(hash).into())
}

/// Updates a configuration from one tree to another; after an error it is partly changed and must
/// be joined again.
///
/// Removes all old leaves before it adds new ones, since the entries of a shard that was split are
/// in two new leaves.
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
