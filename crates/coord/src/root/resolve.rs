//! Outcome of an apply after the root was replaced.

use dunlinrock_schema::coord::{Entry, Root};

use super::{
    apply::{Apply, Base},
    history::{History, applies_after},
    outcome::ApplyOutcome,
    store_op::StoreOp,
};
use crate::pieces::{Hash, TreeError};

impl Apply {
    /// Determines whether this apply or another one replaced the root at revision `base`.
    pub(super) fn resolve(&mut self, root: &Root, base: u64) -> Vec<StoreOp> {
        let (mut by, base_entry) = match applies_after(root, base, &self.fetched, &self.missing) {
            History::Complete { later, base } => (later, base),
            History::MissingPiece(hash) => return vec![StoreOp::ReadPiece(hash)],
            History::Truncated => {
                let revision = root.now.revision;
                self.outcome = Some(ApplyOutcome::Undetermined { base, revision });
                return Vec::new();
            }
        };
        if by.last().is_some_and(|entry| entry.id == self.request.id) {
            by.pop();
            let revision = base + 1;
            self.outcome = Some(ApplyOutcome::Applied {
                revision,
                later: by,
            });
            return Vec::new();
        }
        let tree = base_entry.and_then(|entry| Hash::read(&entry.tree));
        self.set_conflict(root, base, tree, by)
    }

    /// Determines what the other applies changed, then reports the conflict.
    fn set_conflict(
        &mut self,
        root: &Root,
        base: u64,
        base_tree: Option<Hash>,
        by: Vec<Entry>,
    ) -> Vec<StoreOp> {
        let current = self.base.as_ref();
        let current = current.filter(|current| current.revision() == base);
        let old = current.and_then(Base::tree).or(base_tree);
        let changed = match (old, Hash::read(&root.now.tree)) {
            (None, _) if base > 0 => None,
            (_, None) => None,
            (old, Some(new)) => match self.compare(old, new) {
                Ok(diff) => Some(diff.changed.into_keys().collect()),
                Err(TreeError::Missing(missing)) if !self.any_missing(&missing) => {
                    return missing.into_iter().map(StoreOp::ReadPiece).collect();
                }
                Err(_) => None,
            },
        };
        self.outcome = Some(ApplyOutcome::Conflict { base, by, changed });
        Vec::new()
    }
}
