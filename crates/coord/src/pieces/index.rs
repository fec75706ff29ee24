//! The tree of index pieces from the root hash to every leaf.
//!
//! A list of all leaves at 760,000 client blocks would be over 200 KB, transferred with every
//! change. In the tree a change rewrites one path: three index pieces.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::coord::Node;
use sha2::{Digest, Sha256};

use super::{Hash, Pieces};
use crate::wire;

/// Maximum number of leaves that an index piece lists before it branches.
pub const MAX_NODE_LEAVES: usize = 32;
/// Number of hexadecimal digits of a name's hash by which the tree can branch.
const KEY_DIGITS: u32 = 16;

/// A leaf to be added to the tree.
struct IndexEntry {
    key: u64,
    name: Arc<str>,
    hash: Hash,
}

/// Builds the index over named leaves, adds its pieces and returns the hash of the topmost one.
///
/// The place of a leaf depends on its name alone, so that two trees can be compared branch by
/// branch.
pub(super) fn build(leaves: &BTreeMap<Arc<str>, Hash>, pieces: &mut Pieces) -> Hash {
    let mut listed: Vec<_> = leaves
        .iter()
        .map(|(name, hash)| IndexEntry {
            key: name_key(name),
            name: name.clone(),
            hash: *hash,
        })
        .collect();
    listed.sort_by_key(|leaf| leaf.key);
    build_node(&listed, 0, pieces)
}

fn name_key(name: &str) -> u64 {
    let full = Sha256::digest(name.as_bytes());
    full[..8]
        .iter()
        .fold(0, |key, byte| key << 8 | u64::from(*byte))
}

fn digit(key: u64, depth: u32) -> u64 {
    key >> (4 * (KEY_DIGITS - 1 - depth)) & 0xf
}

fn build_node(leaves: &[IndexEntry], depth: u32, pieces: &mut Pieces) -> Hash {
    let branch = leaves.len() > MAX_NODE_LEAVES && depth < KEY_DIGITS;
    let children = if branch {
        leaves
            .chunk_by(|a, b| digit(a.key, depth) == digit(b.key, depth))
            .map(|group| {
                let name = format!("{:x}", digit(group[0].key, depth));
                (name.into(), build_node(group, depth + 1, pieces).to_vec())
            })
            .collect()
    } else {
        let pair = |leaf: &IndexEntry| (leaf.name.clone(), leaf.hash.to_vec());
        leaves.iter().map(pair).collect()
    };
    insert_piece(wire::encode(&Node { branch, children }), pieces)
}

/// Adds a piece under its hash.
pub(super) fn insert_piece(bytes: Vec<u8>, pieces: &mut Pieces) -> Hash {
    let hash = Hash::of(&bytes);
    pieces.insert(hash, bytes.into());
    hash
}

/// A decoded index piece.
pub(super) struct Index {
    pub(super) branch: bool,
    pub(super) children: BTreeMap<Arc<str>, Hash>,
}

/// Decodes an index piece; returns `None` if the bytes are not one.
pub(super) fn decode_node(bytes: &[u8]) -> Option<Index> {
    let node: Node = wire::decode(bytes).ok()?;
    let children = node.children.into_iter();
    let children = children.map(|(name, hash)| Some((name, Hash::read(&hash)?)));
    Some(Index {
        branch: node.branch,
        children: children.collect::<Option<_>>()?,
    })
}

/// Reason why a tree cannot be read completely.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TreeError {
    /// These pieces are not available; once they are, more may turn out to be missing.
    #[error("{} pieces of the configuration are missing; fetch them", .0.len())]
    Missing(BTreeSet<Hash>),
    /// A piece has the right hash and cannot be decoded: it was written by another program.
    #[error("piece {0} is corrupt: it cannot be decoded; apply the configuration again")]
    Corrupt(Hash),
}

/// A traversal that collects all missing pieces instead of stopping at the first.
#[derive(Default)]
pub(super) struct Walk {
    pub(super) missing: BTreeSet<Hash>,
    pub(super) corrupt: Option<Hash>,
}

impl Walk {
    /// Reads an index piece by its hash.
    pub(super) fn index(
        &mut self,
        hash: Hash,
        get: &dyn Fn(&Hash) -> Option<Arc<[u8]>>,
    ) -> Option<Index> {
        let Some(bytes) = get(&hash) else {
            self.missing.insert(hash);
            return None;
        };
        let index = decode_node(&bytes);
        if index.is_none() {
            self.corrupt = Some(hash);
        }
        index
    }

    /// Collects all leaves and index pieces at and below a hash.
    pub(super) fn list(
        &mut self,
        hash: Hash,
        get: &dyn Fn(&Hash) -> Option<Arc<[u8]>>,
        leaves: &mut BTreeMap<Arc<str>, Hash>,
        nodes: &mut BTreeSet<Hash>,
    ) {
        let Some(index) = self.index(hash, get) else {
            return;
        };
        nodes.insert(hash);
        if !index.branch {
            leaves.extend(index.children);
            return;
        }
        for child in index.children.into_values() {
            self.list(child, get, leaves, nodes);
        }
    }

    pub(super) fn finish<T>(self, value: T) -> Result<T, TreeError> {
        match self.corrupt {
            Some(hash) => Err(TreeError::Corrupt(hash)),
            None if !self.missing.is_empty() => Err(TreeError::Missing(self.missing)),
            None => Ok(value),
        }
    }
}
