//! A complete configuration in content-addressed [`pieces`](crate::pieces), and a record of the
//! pieces that its last few revisions added. Hosts that are only a few revisions behind receive
//! these together with the new root.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use dunlinrock_schema::coord::{Entry, Root, RootGive};

use crate::pieces::{Diff, Hash, Pieces, diff};

/// Number of revisions whose new pieces are recorded: about two minutes at 4,500 changes a day.
const RECENT_REVISIONS: usize = 8;
/// Maximum bytes of pieces sent along with a root. If there are more, only the root is sent, and
/// the receiving host requests the pieces.
const MAX_GIVE_BYTES: usize = 32 * 1024;

/// A complete configuration in content-addressed pieces.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The root record: the latest apply with the hash of its tree of pieces, and earlier applies.
    pub root: Root,
    /// The pieces of the configuration, all of them and no others.
    pub pieces: Pieces,
    /// Hashes of the pieces that were new in each of the last revisions.
    recent_pieces: BTreeMap<u64, BTreeSet<Hash>>,
}

impl Default for Snapshot {
    fn default() -> Self {
        let now = Entry {
            revision: 0,
            id: "".into(),
            by: "".into(),
            at_ms: 0,
            tree: Vec::new(),
        };
        let root = Root {
            now,
            recent: Vec::new(),
            past: Vec::new(),
            sweep: 0,
        };
        Self {
            root,
            pieces: Pieces::new(),
            recent_pieces: BTreeMap::new(),
        }
    }
}

impl Snapshot {
    /// Returns the hash of the topmost index piece.
    pub fn tree(&self) -> Option<Hash> {
        Hash::read(&self.root.now.tree)
    }

    /// Replaces the root by a later one; returns the pieces that are no longer needed. `forward` is
    /// the difference from the current tree to that of `root`, and `fetched` has its new pieces.
    pub(super) fn advance_to(&mut self, root: Root, fetched: Pieces, forward: &Diff) -> Pieces {
        let from = self.tree();
        let to = Hash::read(&root.now.tree);
        let wanted = |hash: &Hash| forward.new_pieces.contains(hash);
        self.pieces
            .extend(fetched.into_iter().filter(|(hash, _)| wanted(hash)));
        let mut removed = Pieces::new();
        if let (Some(from), Some(to)) = (from, to) {
            let get = |hash: &Hash| self.pieces.get(hash).cloned();
            // A leaf contains the names of its rows and an index piece those of its children, so no
            // piece is in two places of a tree, and a piece removed from one place is not needed in
            // another.
            let backward = diff(Some(to), from, &get).unwrap_or_default();
            for hash in backward.new_pieces.difference(&forward.new_pieces) {
                removed.extend(self.pieces.remove_entry(hash));
            }
        }
        let revision = root.now.revision;
        // All pieces of a first snapshot are new, far too many to send along.
        if self.root.now.revision > 0 {
            self.recent_pieces
                .insert(revision, forward.new_pieces.clone());
        }
        while self.recent_pieces.len() > RECENT_REVISIONS {
            self.recent_pieces.pop_first();
        }
        self.root = root;
        removed
    }

    /// Returns the root with the recorded pieces that are new since `revision`, without pieces if
    /// those exceed [`MAX_GIVE_BYTES`]; `None` if the root is not newer than `revision`.
    pub(super) fn root_since(&self, me: &Arc<str>, revision: u64) -> Option<RootGive> {
        if self.root.now.revision <= revision {
            return None;
        }
        let new_pieces: BTreeSet<_> = self
            .recent_pieces
            .range(revision + 1..)
            .flat_map(|(_, hashes)| hashes)
            .collect();
        let pieces: Vec<Vec<u8>> = new_pieces
            .into_iter()
            .filter_map(|hash| self.pieces.get(hash))
            .map(|bytes| bytes.to_vec())
            .collect();
        let bytes: usize = pieces.iter().map(Vec::len).sum();
        Some(RootGive {
            name: me.clone(),
            root: self.root.clone(),
            pieces: if bytes > MAX_GIVE_BYTES {
                Vec::new()
            } else {
                pieces
            },
        })
    }
}
