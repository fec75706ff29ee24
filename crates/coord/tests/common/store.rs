//! A store of one value moved by compare-and-swap and of pieces, with one version counter.
#![allow(dead_code)]

use std::{collections::BTreeMap, sync::Arc};

use dunlinrock_coord::{
    pieces::{Hash, Pieces},
    root::{self, Answer, Ask, Stored, Version},
};
use dunlinrock_schema::coord::Root;

/// The store's content.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) root: Option<(Arc<[u8]>, Version)>,
    pub(crate) pieces: BTreeMap<Hash, (Arc<[u8]>, Version)>,
    version: Version,
}

impl Store {
    /// Carries an operation out.
    pub(crate) fn run(&mut self, ask: &Ask) -> Answer {
        match ask {
            Ask::Root => Answer::Root(
                self.root
                    .clone()
                    .map(|(bytes, version)| Stored { bytes, version }),
            ),
            Ask::Piece(hash) => {
                Answer::Piece(self.pieces.get(hash).map(|(bytes, _)| bytes.clone()))
            }
            Ask::Write { hash, bytes } => {
                self.version += 1;
                self.pieces.insert(*hash, (bytes.clone(), self.version));
                Answer::Done
            }
            Ask::Move { expect, bytes } => {
                if self.root.as_ref().map(|(_, version)| *version) != *expect {
                    return Answer::Conflict;
                }
                self.version += 1;
                self.root = Some((bytes.clone(), self.version));
                Answer::Done
            }
            Ask::List => {
                let pairs = self
                    .pieces
                    .iter()
                    .map(|(hash, (_, version))| (*hash, *version));
                Answer::Listed(pairs.collect())
            }
            Ask::Remove { hash, version } => {
                if self.pieces.get(hash).map(|(_, version)| *version) != Some(*version) {
                    return Answer::Conflict;
                }
                self.pieces.remove(hash);
                Answer::Done
            }
        }
    }

    /// The root, read.
    pub(crate) fn read(&self) -> Option<Root> {
        self.root.as_ref().and_then(|(bytes, _)| root::read(bytes))
    }

    /// Revision in force; 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.read().map_or(0, |root| root.now.revision)
    }

    /// The pieces without their versions.
    pub(crate) fn bytes(&self) -> Pieces {
        self.pieces
            .iter()
            .map(|(hash, (bytes, _))| (*hash, bytes.clone()))
            .collect()
    }
}
