//! A newer root whose pieces are being fetched.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dunlinrock_schema::coord::Root;

use super::{ASK_PIECES, Source, snapshot::Snapshot};
use crate::pieces::{Diff, Hash, Pieces, TreeError, diff};

/// What a goal needs next.
pub(super) enum Next {
    /// An answer that is under way.
    Wait,
    /// These pieces.
    Ask(Source, Vec<Hash>),
    /// Nothing can come of it.
    Drop,
    /// Nothing: all is there.
    Whole(Diff),
}

#[derive(Clone, Debug)]
pub(super) struct Goal {
    pub(super) root: Root,
    /// Pieces fetched; each under the hash of its bytes.
    pub(super) got: Pieces,
    /// Sources that said they hold it; the first is asked.
    sources: Vec<Source>,
    asked: Option<Asked>,
}

#[derive(Clone, Debug)]
struct Asked {
    from: Source,
    until: Duration,
    hashes: BTreeSet<Hash>,
}

impl Goal {
    pub(super) fn open(root: Root, from: Source, got: Pieces) -> Self {
        Self {
            root,
            got,
            sources: vec![from],
            asked: None,
        }
    }

    pub(super) fn add(&mut self, from: Source) {
        if !self.sources.contains(&from) {
            self.sources.push(from);
        }
    }

    pub(super) fn keep(&mut self, pieces: Vec<Arc<[u8]>>) {
        for bytes in pieces {
            self.got.insert(Hash::of(&bytes), bytes);
        }
    }

    /// Takes an answer. A source that lacks what was asked goes to the end of the line.
    pub(super) fn answered(&mut self, from: &Source, pieces: Vec<Arc<[u8]>>) {
        self.keep(pieces);
        let Some(asked) = self.asked.take_if(|asked| asked.from == *from) else {
            return;
        };
        if asked.hashes.iter().any(|hash| !self.got.contains_key(hash)) {
            self.turn(from);
        }
    }

    pub(super) fn failed(&mut self, from: &Source) {
        if self.asked.take_if(|asked| asked.from == *from).is_some() {
            self.turn(from);
        }
    }

    /// Whether an answer is overdue; then another source is asked.
    pub(super) fn late(&mut self, now: Duration) -> bool {
        match self.asked.take_if(|asked| now >= asked.until) {
            Some(asked) => {
                self.turn(&asked.from);
                true
            }
            None => self.asked.is_none(),
        }
    }

    fn turn(&mut self, from: &Source) {
        if self.sources.first() == Some(from) {
            self.sources.rotate_left(1);
        }
    }

    pub(super) fn next(&mut self, copy: Option<&Snapshot>, now: Duration, retry: Duration) -> Next {
        let Some(tree) = Hash::read(&self.root.now.tree) else {
            return Next::Drop;
        };
        let held = |hash: &Hash| copy.and_then(|copy| copy.pieces.get(hash));
        let get = |hash: &Hash| self.got.get(hash).or_else(|| held(hash)).cloned();
        let missing: BTreeSet<Hash> = match diff(copy.and_then(Snapshot::tree), tree, &get) {
            Ok(diff) => {
                let lacking = diff.new_pieces.iter().filter(|hash| get(hash).is_none());
                let lacking: BTreeSet<_> = lacking.copied().collect();
                if lacking.is_empty() {
                    return Next::Whole(diff);
                }
                lacking
            }
            Err(TreeError::Missing(missing)) => missing,
            Err(TreeError::Corrupt(_)) => return Next::Drop,
        };
        if self.asked.is_some() {
            return Next::Wait;
        }
        let Some(from) = self.sources.first().cloned() else {
            return Next::Drop;
        };
        let hashes: Vec<Hash> = missing.into_iter().take(ASK_PIECES).collect();
        self.asked = Some(Asked {
            from: from.clone(),
            until: now + retry,
            hashes: hashes.iter().copied().collect(),
        });
        Next::Ask(from, hashes)
    }
}
