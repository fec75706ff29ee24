//! A newer root whose pieces are being fetched.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dunlinrock_schema::coord::Root;

use super::{ASK_PIECES, Source, snapshot::Snapshot};
use crate::pieces::{Diff, Hash, Pieces, TreeError, diff};

/// Next step towards a complete snapshot.
pub(super) enum NextStep {
    /// A response is pending.
    Wait,
    /// Fetch these pieces from a source.
    Fetch(Source, Vec<Hash>),
    /// The root cannot be completed.
    Discard,
    /// All pieces are present.
    Complete(Diff),
}

#[derive(Clone, Debug)]
pub(super) struct PendingSnapshot {
    pub(super) root: Root,
    /// Pieces fetched so far, by the hash of their bytes.
    pub(super) fetched: Pieces,
    /// Sources that have this root; the first one is asked.
    sources: Vec<Source>,
    request: Option<PieceRequest>,
}

#[derive(Clone, Debug)]
struct PieceRequest {
    from: Source,
    deadline: Duration,
    hashes: BTreeSet<Hash>,
}

impl PendingSnapshot {
    pub(super) fn open(root: Root, from: Source, fetched: Pieces) -> Self {
        Self {
            root,
            fetched,
            sources: vec![from],
            request: None,
        }
    }

    pub(super) fn add_source(&mut self, from: Source) {
        if !self.sources.contains(&from) {
            self.sources.push(from);
        }
    }

    pub(super) fn insert(&mut self, pieces: Vec<Arc<[u8]>>) {
        for bytes in pieces {
            self.fetched.insert(Hash::of(&bytes), bytes);
        }
    }

    /// Stores the pieces of a response. A source that lacks requested pieces becomes the last one
    /// to ask.
    pub(super) fn handle_pieces(&mut self, from: &Source, pieces: Vec<Arc<[u8]>>) {
        self.insert(pieces);
        let Some(request) = self.request.take_if(|request| request.from == *from) else {
            return;
        };
        if request
            .hashes
            .iter()
            .any(|hash| !self.fetched.contains_key(hash))
        {
            self.rotate_sources(from);
        }
    }

    pub(super) fn handle_failure(&mut self, from: &Source) {
        if self
            .request
            .take_if(|request| request.from == *from)
            .is_some()
        {
            self.rotate_sources(from);
        }
    }

    /// Returns whether a request must be sent: none is pending, or the pending one timed out.
    pub(super) fn is_overdue(&mut self, now: Duration) -> bool {
        match self.request.take_if(|request| now >= request.deadline) {
            Some(request) => {
                self.rotate_sources(&request.from);
                true
            }
            None => self.request.is_none(),
        }
    }

    fn rotate_sources(&mut self, from: &Source) {
        if self.sources.first() == Some(from) {
            self.sources.rotate_left(1);
        }
    }

    pub(super) fn next_step(
        &mut self,
        snapshot: Option<&Snapshot>,
        now: Duration,
        retry: Duration,
    ) -> NextStep {
        let Some(tree) = Hash::read(&self.root.now.tree) else {
            return NextStep::Discard;
        };
        let held = |hash: &Hash| snapshot.and_then(|snapshot| snapshot.pieces.get(hash));
        let get = |hash: &Hash| self.fetched.get(hash).or_else(|| held(hash)).cloned();
        let missing: BTreeSet<Hash> = match diff(snapshot.and_then(Snapshot::tree), tree, &get) {
            Ok(diff) => {
                let missing = diff.new_pieces.iter().filter(|hash| get(hash).is_none());
                let missing: BTreeSet<_> = missing.copied().collect();
                if missing.is_empty() {
                    return NextStep::Complete(diff);
                }
                missing
            }
            Err(TreeError::Missing(missing)) => missing,
            Err(TreeError::Corrupt(_)) => return NextStep::Discard,
        };
        if self.request.is_some() {
            return NextStep::Wait;
        }
        let Some(from) = self.sources.first().cloned() else {
            return NextStep::Discard;
        };
        let hashes: Vec<Hash> = missing.into_iter().take(ASK_PIECES).collect();
        self.request = Some(PieceRequest {
            from: from.clone(),
            deadline: now + retry,
            hashes: hashes.iter().copied().collect(),
        });
        NextStep::Fetch(from, hashes)
    }
}
