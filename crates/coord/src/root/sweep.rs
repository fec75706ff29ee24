//! Mark-and-sweep garbage collection of pieces that no retained revision refers to.
//!
//! Every change leaves four pieces behind, 3 KB; at 4,500 changes a day that is 14 MB a day. The
//! hazard is an apply that has written its pieces and not yet replaced the root: they look like
//! unreachable pieces. A lease would not separate the two, as its holder may be paused while the
//! lease expires and act afterwards. Instead:
//!
//! 1. a sweep reads the root, lists the pieces with their versions, then *marks* the root: it
//!    replaces it, under the version read, by the same root with a higher sweep count;
//! 2. an apply that read the root before the mark can no longer replace it; it reads the root again
//!    and rewrites all its new pieces, which assigns them new versions;
//! 3. a sweep removes a piece only under the version that it listed before the mark.
//!
//! So pieces that an apply wrote after the mark are kept, and those that it wrote before the mark
//! it writes again. No clock is involved, a paused sweep does no harm, and two sweeps may run at
//! once.

use std::collections::{BTreeMap, BTreeSet};

use dunlinrock_schema::coord::{Past, Root};

use super::{
    record,
    store_op::{PendingOp, StoreOp, StoreReply, Version},
};
use crate::{
    pieces::{Hash, Pieces, TreeError, list_tree},
    wire,
};

/// Number of revisions whose applies stay listed: three weeks at 4,500 a day. For an apply that
/// waits longer for the store the outcome is [undetermined](super::ApplyOutcome::Undetermined).
pub const RETAINED_REVISIONS: u64 = 100_000;
/// Maximum number of concurrent operations.
const MAX_IN_FLIGHT: usize = 8;

/// Outcome of a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepOutcome {
    /// All unreachable pieces were handled.
    Done {
        /// Number of pieces removed.
        removed: usize,
        /// Number of pieces kept, as they were rewritten meanwhile or could not be removed.
        kept: usize,
    },
    /// There is nothing to remove; the root was not marked.
    NothingToRemove,
    /// The root was replaced before the mark, or it is unknown whether the mark took effect.
    /// Nothing was removed.
    Conflict,
    /// The store failed, or a retained tree lacks pieces. Pieces not yet removed stay.
    Failed,
}

#[derive(Clone, Debug)]
enum Step {
    Read,
    List,
    Walk,
    Mark,
    Remove,
}

/// State machine of one sweep.
#[derive(Clone, Debug)]
pub struct Sweep {
    step: Step,
    root: Option<(Root, Version)>,
    listed: BTreeMap<Hash, Version>,
    fetched: Pieces,
    missing: BTreeSet<Hash>,
    /// Index pieces to read before the traversal is retried.
    to_read: Vec<Hash>,
    /// Unreachable pieces whose removal has not started.
    to_remove: Vec<Hash>,
    pending: BTreeMap<u64, StoreOp>,
    last_id: u64,
    removed: usize,
    kept: usize,
    outcome: Option<SweepOutcome>,
    /// Injected fault: removes without the mark.
    skip_mark: bool,
}

impl Sweep {
    /// Creates a sweep; [`Sweep::poll`] returns the first operation.
    pub fn open() -> Self {
        Self {
            step: Step::Read,
            root: None,
            listed: BTreeMap::new(),
            fetched: Pieces::new(),
            missing: BTreeSet::new(),
            to_read: Vec::new(),
            to_remove: Vec::new(),
            pending: BTreeMap::new(),
            last_id: 0,
            removed: 0,
            kept: 0,
            outcome: None,
            skip_mark: false,
        }
    }

    /// Skips the mark, to verify that a test detects it.
    #[doc(hidden)]
    pub fn without_mark(mut self) -> Self {
        self.skip_mark = true;
        self
    }

    /// Returns the outcome once the sweep has ended.
    pub fn outcome(&self) -> Option<&SweepOutcome> {
        self.outcome.as_ref()
    }

    /// Returns the operations to start now.
    pub fn poll(&mut self) -> Vec<PendingOp> {
        let mut out = Vec::new();
        while self.outcome.is_none() && self.pending.len() < MAX_IN_FLIGHT {
            let Some(op) = self.next_op() else {
                break;
            };
            self.last_id += 1;
            self.pending.insert(self.last_id, op.clone());
            out.push(PendingOp {
                id: self.last_id,
                op,
            });
        }
        out
    }

    /// Handles the reply to an operation; returns the operations to start now.
    pub fn handle_reply(&mut self, id: u64, reply: StoreReply) -> Vec<PendingOp> {
        if let Some(op) = self.pending.remove(&id) {
            self.process_reply(op, reply);
        }
        self.poll()
    }

    fn process_reply(&mut self, op: StoreOp, reply: StoreReply) {
        match (op, reply) {
            (StoreOp::ReadRoot, StoreReply::Root(Some(stored))) => {
                match record::decode(&stored.bytes) {
                    Some(root) => {
                        self.root = Some((root, stored.version));
                        self.step = Step::List;
                    }
                    None => self.outcome = Some(SweepOutcome::Failed),
                }
            }
            (StoreOp::ReadRoot, StoreReply::Root(None)) => {
                self.outcome = Some(SweepOutcome::NothingToRemove);
            }
            (StoreOp::ListPieces, StoreReply::Listed(listed)) => {
                self.listed = listed.into_iter().collect();
                self.step = Step::Walk;
            }
            (StoreOp::ReadPiece(hash), StoreReply::Piece(bytes)) => match bytes {
                Some(bytes) => drop(self.fetched.insert(hash, bytes)),
                None => drop(self.missing.insert(hash)),
            },
            (StoreOp::SwapRoot { .. }, StoreReply::Done) => self.step = Step::Remove,
            (StoreOp::SwapRoot { .. }, _) => self.outcome = Some(SweepOutcome::Conflict),
            (StoreOp::RemovePiece { .. }, StoreReply::Done) => self.removed += 1,
            (StoreOp::RemovePiece { .. }, StoreReply::Conflict) => self.kept += 1,
            // A piece that could not be removed now is found again by the next sweep.
            (StoreOp::RemovePiece { .. }, _) => self.kept += 1,
            _ => self.outcome = Some(SweepOutcome::Failed),
        }
    }

    fn next_op(&mut self) -> Option<StoreOp> {
        let idle = self.pending.is_empty();
        match self.step {
            Step::Read => idle.then_some(StoreOp::ReadRoot),
            Step::List => idle.then_some(StoreOp::ListPieces),
            Step::Walk => self.walk(),
            Step::Mark => idle.then(|| self.mark()).flatten(),
            Step::Remove => self.remove(),
        }
    }

    /// Reads index pieces level by level until all reachable pieces are known.
    fn walk(&mut self) -> Option<StoreOp> {
        if let Some(hash) = self.to_read.pop() {
            return Some(StoreOp::ReadPiece(hash));
        }
        if !self.pending.is_empty() {
            return None;
        }
        let (root, _) = self.root.clone()?;
        let mut reachable = BTreeSet::new();
        let mut missing = self.walk_past(&root, &mut reachable);
        for (_, tree) in retained_trees(&root) {
            match list_tree(tree, &self.fetched) {
                Ok(listed) => {
                    reachable.extend(listed.nodes);
                    reachable.extend(listed.leaves.into_values());
                }
                Err(TreeError::Missing(hashes)) => missing.extend(hashes),
                Err(TreeError::Corrupt(_)) => self.outcome = Some(SweepOutcome::Failed),
            }
        }
        // A tree that lacks a piece cannot be traversed, so its other pieces are unknown.
        if missing.iter().any(|hash| self.missing.contains(hash)) {
            self.outcome = Some(SweepOutcome::Failed);
        }
        if self.outcome.is_some() {
            return None;
        }
        if missing.is_empty() {
            return self.select_unreachable(&reachable);
        }
        self.to_read = missing.into_iter().collect();
        self.to_read.pop().map(StoreOp::ReadPiece)
    }

    fn select_unreachable(&mut self, reachable: &BTreeSet<Hash>) -> Option<StoreOp> {
        let unreachable = self.listed.keys().filter(|hash| !reachable.contains(hash));
        self.to_remove = unreachable.copied().collect();
        if self.to_remove.is_empty() {
            self.outcome = Some(SweepOutcome::NothingToRemove);
            return None;
        }
        if self.skip_mark {
            self.step = Step::Remove;
            return self.remove();
        }
        self.step = Step::Mark;
        self.mark()
    }

    /// Adds the retained past pieces to `reachable`; returns those that must be read.
    fn walk_past(&mut self, root: &Root, reachable: &mut BTreeSet<Hash>) -> BTreeSet<Hash> {
        let mut next = root.past.clone();
        while let Some(hash) = Hash::read(&next) {
            let Some(bytes) = self.fetched.get(&hash) else {
                // A piece that does not exist ends the list: an earlier sweep truncated it there.
                return if self.missing.contains(&hash) {
                    BTreeSet::new()
                } else {
                    BTreeSet::from([hash])
                };
            };
            let Ok(past) = wire::decode::<Past>(bytes) else {
                break;
            };
            let newest = past.entries.first().map_or(0, |entry| entry.revision);
            if newest + RETAINED_REVISIONS < root.now.revision {
                break;
            }
            reachable.insert(hash);
            next = past.before;
        }
        BTreeSet::new()
    }

    fn mark(&mut self) -> Option<StoreOp> {
        let (mut root, version) = self.root.clone()?;
        root.sweep += 1;
        Some(StoreOp::SwapRoot {
            expect: Some(version),
            bytes: record::encode(&root),
        })
    }

    fn remove(&mut self) -> Option<StoreOp> {
        let Some(hash) = self.to_remove.pop() else {
            if self.pending.is_empty() {
                let (removed, kept) = (self.removed, self.kept);
                self.outcome = Some(SweepOutcome::Done { removed, kept });
            }
            return None;
        };
        let version = *self.listed.get(&hash)?;
        Some(StoreOp::RemovePiece { hash, version })
    }
}

/// Returns the trees that a root retains, newest first, with their revisions.
pub fn retained_trees(root: &Root) -> Vec<(u64, Hash)> {
    std::iter::once(&root.now)
        .chain(&root.recent)
        .filter_map(|entry| Some((entry.revision, Hash::read(&entry.tree)?)))
        .collect()
}
