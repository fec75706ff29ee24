//! Finds the apply that made a revision, in the root or in the pieces that go on from it.

use dunlinrock_schema::coord::{Entry, Past, Root};

use crate::{
    pieces::{Hash, Pieces},
    wire,
};

/// How far the applies after a revision are known.
#[derive(Clone, Debug, PartialEq)]
pub enum Trace {
    /// All of them, newest first; the last one made the revision after the one asked for.
    Whole(Vec<Entry>),
    /// This piece is needed to go on.
    Needs(Hash),
    /// The list no longer reaches so far back.
    Ended,
}

/// Lists the applies after `revision`. A piece that is known to be gone is in `gone`.
///
/// Each revision has one entry and no two revisions share one, so the entry of `revision + 1` says
/// for certain whether an apply based on `revision` took effect.
pub fn after(root: &Root, revision: u64, pieces: &Pieces, gone: &[Hash]) -> Trace {
    let mut out: Vec<Entry> = std::iter::once(&root.now)
        .chain(&root.recent)
        .take_while(|entry| entry.revision > revision)
        .cloned()
        .collect();
    let mut next = root.past.clone();
    while out
        .last()
        .is_some_and(|entry| entry.revision > revision + 1)
    {
        let Some(hash) = Hash::read(&next) else {
            return Trace::Ended;
        };
        let past = match pieces.get(&hash) {
            Some(bytes) => wire::decode::<Past>(bytes).ok(),
            None if gone.contains(&hash) => None,
            None => return Trace::Needs(hash),
        };
        let Some(past) = past.filter(|past| !past.entries.is_empty()) else {
            return Trace::Ended;
        };
        let older = past.entries.into_iter();
        out.extend(older.take_while(|entry| entry.revision > revision));
        next = past.before;
    }
    Trace::Whole(out)
}
