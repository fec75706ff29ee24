//! The list of applies in the root, and the past pieces that continue it.

use std::sync::Arc;

use dunlinrock_schema::coord::{Entry, Past, Root};

use crate::{pieces::Hash, wire};

/// Number of earlier entries that the root itself lists; when there are more, the older half moves
/// to a past piece. A root with four of them has 330 bytes, sent to every host with each change.
pub const RECENT_ENTRIES: usize = 8;
/// Maximum number of entries in one `Past` piece: 22 KB.
pub const PAST_ENTRIES: usize = 256;

/// Decodes a root.
pub fn decode(bytes: &[u8]) -> Option<Root> {
    wire::decode(bytes).ok()
}

/// Encodes a root as stored.
pub fn encode(root: &Root) -> Arc<[u8]> {
    wire::encode_named(root).into()
}

/// Returns the entry of a revision if the root itself lists it.
pub fn find_entry(root: &Root, revision: u64) -> Option<&Entry> {
    let newer = root.now.revision.checked_sub(revision)?;
    let entry = match newer.checked_sub(1) {
        None => Some(&root.now),
        Some(index) => root.recent.get(usize::try_from(index).ok()?),
    };
    entry.filter(|entry| entry.revision == revision)
}

/// Returns whether the next entry moves older ones out of the root, so that the piece at `past` is
/// needed.
pub(super) fn needs_rollover(root: &Root) -> bool {
    root.recent.len() >= RECENT_ENTRIES
}

/// A new root, with the past piece to write before it.
pub(super) struct NextRoot {
    pub(super) root: Root,
    pub(super) past: Option<Arc<[u8]>>,
}

/// Returns the root that follows `old` (`None`: the first root); `past` is the content of `old`'s
/// past piece.
pub(super) fn next_root(old: Option<&Root>, past: Option<&Past>, mut entry: Entry) -> NextRoot {
    let Some(old) = old else {
        entry.revision = 1;
        let root = Root {
            now: entry,
            recent: Vec::new(),
            past: Vec::new(),
            sweep: 0,
        };
        return NextRoot { root, past: None };
    };
    entry.revision = old.now.revision + 1;
    let mut root = old.clone();
    root.recent
        .insert(0, std::mem::replace(&mut root.now, entry));
    if root.recent.len() <= RECENT_ENTRIES {
        return NextRoot { root, past: None };
    }
    let pushed = root.recent.split_off(RECENT_ENTRIES / 2);
    let bytes: Arc<[u8]> = wire::encode_named(&extend_past(past, &old.past, pushed)).into();
    root.past = Hash::of(&bytes).to_vec();
    NextRoot {
        root,
        past: Some(bytes),
    }
}

/// Prepends entries to a past piece, or starts a new one if it would be too large.
fn extend_past(past: Option<&Past>, at: &[u8], pushed: Vec<Entry>) -> Past {
    match past {
        Some(past) if past.entries.len() + pushed.len() <= PAST_ENTRIES => Past {
            entries: pushed.into_iter().chain(past.entries.clone()).collect(),
            before: past.before.clone(),
        },
        _ => Past {
            entries: pushed,
            before: at.to_vec(),
        },
    }
}
