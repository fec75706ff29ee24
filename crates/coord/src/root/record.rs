//! The root's list of applies, and the pieces in which it goes on.

use std::sync::Arc;

use dunlinrock_schema::coord::{Entry, Past, Root};

use crate::{pieces::Hash, wire};

/// Entries before the current one that the root itself lists; with more, the older half goes into
/// a piece. A root with four of them is 330 bytes on its way to a host, with every change.
pub const RECENT_ENTRIES: usize = 8;
/// Entries that one `Past` piece lists before a new one is begun: 22 KB.
pub const PAST_ENTRIES: usize = 256;

/// Reads a root.
pub fn decode(bytes: &[u8]) -> Option<Root> {
    wire::decode(bytes).ok()
}

/// The bytes of a root, as the store keeps them.
pub fn encode(root: &Root) -> Arc<[u8]> {
    wire::encode_named(root).into()
}

/// The entry of a revision, where the root itself lists it.
pub fn find_entry(root: &Root, revision: u64) -> Option<&Entry> {
    let newer = root.now.revision.checked_sub(revision)?;
    let entry = match newer.checked_sub(1) {
        None => Some(&root.now),
        Some(index) => root.recent.get(usize::try_from(index).ok()?),
    };
    entry.filter(|entry| entry.revision == revision)
}

/// Whether the next entry pushes older ones out of the root, so that the piece at `past` is needed.
pub(super) fn needs_rollover(root: &Root) -> bool {
    root.recent.len() >= RECENT_ENTRIES
}

/// A root that follows another, with a piece to write before it.
pub(super) struct NextRoot {
    pub(super) root: Root,
    pub(super) past: Option<Arc<[u8]>>,
}

/// The root that follows `old` (`None`: the first), given the content of `old`'s past piece.
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

/// Puts entries before those of a past piece, or begins a new one where that is full.
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
