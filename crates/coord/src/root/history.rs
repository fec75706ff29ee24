//! Lookup of the applies after a revision, in the root and the past pieces it refers to.

use dunlinrock_schema::coord::{Entry, Past, Root};

use crate::{
    pieces::{Hash, Pieces},
    wire,
};

/// Result of a lookup of the applies after a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum History {
    /// All applies were found.
    Complete {
        /// Newest first; the last one made the revision after the requested one.
        later: Vec<Entry>,
        /// Entry of the requested revision, if it is still listed.
        base: Option<Entry>,
    },
    /// This piece must be read to continue.
    MissingPiece(Hash),
    /// The list no longer reaches back to the revision.
    Truncated,
}

/// Lists the applies after `revision`. `missing` has the pieces known not to exist.
///
/// Each revision has exactly one entry, so the entry of `revision + 1` shows for certain whether an
/// apply based on `revision` took effect.
pub fn applies_after(root: &Root, revision: u64, pieces: &Pieces, missing: &[Hash]) -> History {
    let mut later: Vec<Entry> = std::iter::once(&root.now)
        .chain(&root.recent)
        .take_while(|entry| entry.revision >= revision)
        .cloned()
        .collect();
    let mut next = root.past.clone();
    while let Some(oldest) = later.last().map(|entry| entry.revision) {
        if oldest == revision || oldest == 1 {
            break;
        }
        let past = match Hash::read(&next).map(|hash| (hash, pieces.get(&hash))) {
            Some((_, Some(bytes))) => wire::decode::<Past>(bytes).ok(),
            Some((hash, None)) if !missing.contains(&hash) => return History::MissingPiece(hash),
            _ => None,
        };
        match past.filter(|past| !past.entries.is_empty()) {
            Some(past) => {
                let older = past.entries.into_iter();
                later.extend(older.take_while(|entry| entry.revision >= revision));
                next = past.before;
            }
            None if oldest == revision + 1 => break,
            None => return History::Truncated,
        }
    }
    let base = later.pop_if(|entry| entry.revision == revision);
    History::Complete { later, base }
}
