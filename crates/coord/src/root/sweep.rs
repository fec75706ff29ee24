//! Removes pieces that no kept revision reaches.
//!
//! Every change leaves four pieces behind, 3 KB; 4,500 changes a day would fill 14 MB a day. The
//! danger is an apply that has written its pieces and not yet moved the root: its pieces look like
//! those that nobody needs. A lease would not keep the two apart, as its holder may be paused
//! while it lapses and act afterwards. Instead:
//!
//! 1. a sweep reads the root, lists the pieces with their versions, then *marks* the root: it
//!    replaces it, under the version read, by the same root with a higher count of sweeps;
//! 2. an apply that read the root before the mark cannot move it any more; it reads again and
//!    writes all its fresh pieces anew, which gives them new versions;
//! 3. a sweep removes a piece only under the version that it listed before the mark.
//!
//! So whatever an apply wrote after the mark is kept, and what it wrote before the mark it writes
//! again. No clock is involved, a paused sweep does no harm, and two sweeps may run at once.

use std::collections::{BTreeMap, BTreeSet};

use dunlinrock_schema::coord::{Past, Root};

use super::{
    record,
    store::{PendingOp, StoreOp, StoreReply, Version},
};
use crate::{
    pieces::{Hash, Pieces, TreeError, list_tree},
    wire,
};

/// Revisions whose applies stay listed: three weeks at 4,500 a day. An apply that waits longer for
/// the store is told that it is [forgotten](super::ApplyOutcome::Undetermined).
pub const KEPT_REVISIONS: u64 = 100_000;
/// Removals under way at once.
const WINDOW: usize = 8;

/// How a sweep ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swept {
    /// All that could be removed is removed.
    Done {
        /// Pieces removed.
        removed: usize,
        /// Pieces left, as they were written again meanwhile.
        kept: usize,
    },
    /// There is nothing to remove; the root was not marked.
    Clean,
    /// The root moved before the mark, or it is not known whether the mark took effect. Nothing was
    /// removed.
    Beaten,
    /// The store failed, or a tree in use lacks pieces. What was not removed stays.
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

/// A sweep on its way.
#[derive(Clone, Debug)]
pub struct Sweep {
    step: Step,
    root: Option<(Root, Version)>,
    listed: BTreeMap<Hash, Version>,
    have: Pieces,
    gone: BTreeSet<Hash>,
    /// Index pieces to read before the walk is tried again.
    reads: Vec<Hash>,
    /// Pieces to remove, then those not yet begun.
    todo: Vec<Hash>,
    pending: BTreeMap<u64, StoreOp>,
    number: u64,
    removed: usize,
    kept: usize,
    ended: Option<Swept>,
    /// Fault of a check: removes without the mark.
    unmarked: bool,
}

impl Sweep {
    /// Begins a sweep; [`Sweep::poll`] gives the first operation.
    pub fn open() -> Self {
        Self {
            step: Step::Read,
            root: None,
            listed: BTreeMap::new(),
            have: Pieces::new(),
            gone: BTreeSet::new(),
            reads: Vec::new(),
            todo: Vec::new(),
            pending: BTreeMap::new(),
            number: 0,
            removed: 0,
            kept: 0,
            ended: None,
            unmarked: false,
        }
    }

    /// Leaves the mark out, so that a check is seen to find it.
    #[doc(hidden)]
    pub fn without_mark(mut self) -> Self {
        self.unmarked = true;
        self
    }

    /// The end, once it is reached.
    pub fn ended(&self) -> Option<&Swept> {
        self.ended.as_ref()
    }

    /// Operations to begin now.
    pub fn poll(&mut self) -> Vec<PendingOp> {
        let mut out = Vec::new();
        while self.ended.is_none() && self.pending.len() < WINDOW {
            let Some(ask) = self.due() else {
                break;
            };
            self.number += 1;
            self.pending.insert(self.number, ask.clone());
            out.push(PendingOp {
                id: self.number,
                op: ask,
            });
        }
        out
    }

    /// Takes the answer to an operation, then gives the operations to begin now.
    pub fn handle_reply(&mut self, number: u64, answer: StoreReply) -> Vec<PendingOp> {
        if let Some(ask) = self.pending.remove(&number) {
            self.take(ask, answer);
        }
        self.poll()
    }

    fn take(&mut self, ask: StoreOp, answer: StoreReply) {
        match (ask, answer) {
            (StoreOp::ReadRoot, StoreReply::Root(Some(stored))) => {
                match record::read(&stored.bytes) {
                    Some(root) => {
                        self.root = Some((root, stored.version));
                        self.step = Step::List;
                    }
                    None => self.ended = Some(Swept::Failed),
                }
            }
            (StoreOp::ReadRoot, StoreReply::Root(None)) => self.ended = Some(Swept::Clean),
            (StoreOp::ListPieces, StoreReply::Listed(listed)) => {
                self.listed = listed.into_iter().collect();
                self.step = Step::Walk;
            }
            (StoreOp::ReadPiece(hash), StoreReply::Piece(bytes)) => match bytes {
                Some(bytes) => drop(self.have.insert(hash, bytes)),
                None => drop(self.gone.insert(hash)),
            },
            (StoreOp::SwapRoot { .. }, StoreReply::Done) => self.step = Step::Remove,
            (StoreOp::SwapRoot { .. }, _) => self.ended = Some(Swept::Beaten),
            (StoreOp::RemovePiece { .. }, StoreReply::Done) => self.removed += 1,
            (StoreOp::RemovePiece { .. }, StoreReply::Conflict) => self.kept += 1,
            // A piece that could not be removed now is found again by the next sweep.
            (StoreOp::RemovePiece { .. }, _) => self.kept += 1,
            _ => self.ended = Some(Swept::Failed),
        }
    }

    fn due(&mut self) -> Option<StoreOp> {
        let idle = self.pending.is_empty();
        match self.step {
            Step::Read => idle.then_some(StoreOp::ReadRoot),
            Step::List => idle.then_some(StoreOp::ListPieces),
            Step::Walk => self.walk(),
            Step::Mark => idle.then(|| self.mark()).flatten(),
            Step::Remove => self.remove(),
        }
    }

    /// Reads index pieces, level by level, until it is known which pieces are reached.
    fn walk(&mut self) -> Option<StoreOp> {
        if let Some(hash) = self.reads.pop() {
            return Some(StoreOp::ReadPiece(hash));
        }
        if !self.pending.is_empty() {
            return None;
        }
        let (root, _) = self.root.clone()?;
        let mut reached = BTreeSet::new();
        let mut missing = self.walk_past(&root, &mut reached);
        for (_, tree) in kept(&root) {
            match list_tree(tree, &self.have) {
                Ok(listed) => {
                    reached.extend(listed.nodes);
                    reached.extend(listed.leaves.into_values());
                }
                Err(TreeError::Missing(lacking)) => missing.extend(lacking),
                Err(TreeError::Corrupt(_)) => self.ended = Some(Swept::Failed),
            }
        }
        // A tree with a piece gone cannot be walked, so what it still holds is not known.
        if missing.iter().any(|hash| self.gone.contains(hash)) {
            self.ended = Some(Swept::Failed);
        }
        if self.ended.is_some() {
            return None;
        }
        if missing.is_empty() {
            return self.choose(&reached);
        }
        self.reads = missing.into_iter().collect();
        self.reads.pop().map(StoreOp::ReadPiece)
    }

    fn choose(&mut self, reached: &BTreeSet<Hash>) -> Option<StoreOp> {
        let unreached = self.listed.keys().filter(|hash| !reached.contains(hash));
        self.todo = unreached.copied().collect();
        if self.todo.is_empty() {
            self.ended = Some(Swept::Clean);
            return None;
        }
        if self.unmarked {
            self.step = Step::Remove;
            return self.remove();
        }
        self.step = Step::Mark;
        self.mark()
    }

    /// Reaches the past pieces that are kept; gives those to be read.
    fn walk_past(&mut self, root: &Root, reached: &mut BTreeSet<Hash>) -> BTreeSet<Hash> {
        let mut next = root.past.clone();
        while let Some(hash) = Hash::read(&next) {
            let Some(bytes) = self.have.get(&hash) else {
                // One that is gone ends the list: an earlier sweep cut it there.
                return if self.gone.contains(&hash) {
                    BTreeSet::new()
                } else {
                    BTreeSet::from([hash])
                };
            };
            let Ok(past) = wire::decode::<Past>(bytes) else {
                break;
            };
            let newest = past.entries.first().map_or(0, |entry| entry.revision);
            if newest + KEPT_REVISIONS < root.now.revision {
                break;
            }
            reached.insert(hash);
            next = past.before;
        }
        BTreeSet::new()
    }

    fn mark(&mut self) -> Option<StoreOp> {
        let (mut root, version) = self.root.clone()?;
        root.sweep += 1;
        Some(StoreOp::SwapRoot {
            expect: Some(version),
            bytes: record::bytes(&root),
        })
    }

    fn remove(&mut self) -> Option<StoreOp> {
        let Some(hash) = self.todo.pop() else {
            if self.pending.is_empty() {
                let (removed, kept) = (self.removed, self.kept);
                self.ended = Some(Swept::Done { removed, kept });
            }
            return None;
        };
        let version = *self.listed.get(&hash)?;
        Some(StoreOp::RemovePiece { hash, version })
    }
}

/// The trees that a root keeps, newest first, with their revisions.
pub fn kept(root: &Root) -> Vec<(u64, Hash)> {
    std::iter::once(&root.now)
        .chain(&root.recent)
        .filter_map(|entry| Some((entry.revision, Hash::read(&entry.tree)?)))
        .collect()
}
