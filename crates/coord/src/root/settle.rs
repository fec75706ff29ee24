//! The root moved on: what that means for an apply.

use dunlinrock_schema::coord::{Entry, Root};

use super::{
    apply::{Apply, Base},
    store::Ask,
    trace::{Trace, after},
    verdict::Verdict,
};
use crate::pieces::{Hash, TreeError};

impl Apply {
    /// The root moved on from `base`: was it this apply?
    pub(super) fn settle(&mut self, root: &Root, base: u64) -> Vec<Ask> {
        let (mut by, ground) = match after(root, base, &self.have, &self.gone) {
            Trace::Whole { later, ground } => (later, ground),
            Trace::Needs(hash) => return vec![Ask::Piece(hash)],
            Trace::Ended => {
                let revision = root.now.revision;
                self.verdict = Some(Verdict::Forgotten { base, revision });
                return Vec::new();
            }
        };
        if by.last().is_some_and(|entry| entry.id == self.intent.id) {
            by.pop();
            let revision = base + 1;
            self.verdict = Some(Verdict::InForce {
                revision,
                later: by,
            });
            return Vec::new();
        }
        let tree = ground.and_then(|entry| Hash::read(&entry.tree));
        self.explain(root, base, tree, by)
    }

    /// Names what the others changed, then ends.
    fn explain(
        &mut self,
        root: &Root,
        base: u64,
        ground: Option<Hash>,
        by: Vec<Entry>,
    ) -> Vec<Ask> {
        let known = self.base.as_ref();
        let known = known.filter(|known| known.revision() == base);
        let old = known.and_then(Base::tree).or(ground);
        let changed = match (old, Hash::read(&root.now.tree)) {
            (None, _) if base > 0 => None,
            (_, None) => None,
            (old, Some(new)) => match self.compare(old, new) {
                Ok(diff) => Some(diff.changed.into_keys().collect()),
                Err(TreeError::Missing(missing)) if !self.any_gone(&missing) => {
                    return missing.into_iter().map(Ask::Piece).collect();
                }
                Err(_) => None,
            },
        };
        self.verdict = Some(Verdict::Overtaken { base, by, changed });
        Vec::new()
    }
}
