//! A store of one value replaced by compare-and-swap and of pieces, with one version counter.
#![allow(dead_code)]

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_coord::{
    pieces::{Hash, Pieces},
    root::{self, StoreOp, StoreReply, Version, VersionedValue},
};
use dunlinrock_schema::coord::Root;

/// The content of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) root: Option<(Arc<[u8]>, Version)>,
    pub(crate) pieces: BTreeMap<Hash, (Arc<[u8]>, Version)>,
    version: Version,
}

impl Store {
    /// Runs an operation.
    pub(crate) fn run(&mut self, op: &StoreOp) -> StoreReply {
        match op {
            StoreOp::ReadRoot => StoreReply::Root(
                self.root
                    .clone()
                    .map(|(bytes, version)| VersionedValue { bytes, version }),
            ),
            StoreOp::ReadPiece(hash) => {
                StoreReply::Piece(self.pieces.get(hash).map(|(bytes, _)| bytes.clone()))
            }
            StoreOp::WritePiece { hash, bytes } => {
                self.version += 1;
                self.pieces.insert(*hash, (bytes.clone(), self.version));
                StoreReply::Done
            }
            StoreOp::SwapRoot { expect, bytes } => {
                if self.root.as_ref().map(|(_, version)| *version) != *expect {
                    return StoreReply::Conflict;
                }
                self.version += 1;
                self.root = Some((bytes.clone(), self.version));
                StoreReply::Done
            }
            StoreOp::ListPieces => {
                let pairs = self
                    .pieces
                    .iter()
                    .map(|(hash, (_, version))| (*hash, *version));
                StoreReply::Listed(pairs.collect())
            }
            StoreOp::RemovePiece { hash, version } => {
                if self.pieces.get(hash).map(|(_, version)| *version) != Some(*version) {
                    return StoreReply::Conflict;
                }
                self.pieces.remove(hash);
                StoreReply::Done
            }
        }
    }

    /// Returns the decoded root.
    pub(crate) fn read(&self) -> Option<Root> {
        self.root
            .as_ref()
            .and_then(|(bytes, _)| root::decode(bytes))
    }

    /// Returns the active revision; 0 if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.read().map_or(0, |root| root.now.revision)
    }

    /// Returns the pieces without their versions.
    pub(crate) fn bytes(&self) -> Pieces {
        self.pieces
            .iter()
            .map(|(hash, (bytes, _))| (*hash, bytes.clone()))
            .collect()
    }
}
