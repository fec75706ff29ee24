//! Comparison of two trees that skips the parts they share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    Hash,
    index::{TreeError, Walk},
};

/// Hashes of a changed leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Previous hash; `None` for a new leaf.
    pub old: Option<Hash>,
    /// New hash; `None` for a removed leaf.
    pub new: Option<Hash>,
}

/// The difference of two trees.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Changed leaves, by name.
    pub changed: BTreeMap<Arc<str>, Change>,
    /// Index pieces and leaves of the new tree that the old one does not have in the same place.
    pub new_pieces: BTreeSet<Hash>,
}

/// Compares two trees; `old` is `None` if there was none.
///
/// Calls `get` only for index pieces where the trees differ. If some are not available, the error
/// names all that are known to be needed.
pub fn diff(
    old: Option<Hash>,
    new: Hash,
    get: &dyn Fn(&Hash) -> Option<Arc<[u8]>>,
) -> Result<Diff, TreeError> {
    let mut walk = Walk::default();
    let mut sides = Sides::default();
    compare(&mut walk, &mut sides, old, Some(new), get);
    let mut out = Diff {
        new_pieces: sides.nodes,
        ..Diff::default()
    };
    let names: BTreeSet<_> = sides.old.keys().chain(sides.new.keys()).cloned().collect();
    for name in names {
        let old = sides.old.get(&name).copied();
        let new = sides.new.get(&name).copied();
        if old != new {
            out.new_pieces.extend(new);
            out.changed.insert(name, Change { old, new });
        }
    }
    walk.finish(out)
}

/// Leaves of both trees below differing index pieces.
#[derive(Default)]
struct Sides {
    old: BTreeMap<Arc<str>, Hash>,
    new: BTreeMap<Arc<str>, Hash>,
    nodes: BTreeSet<Hash>,
}

fn compare(
    walk: &mut Walk,
    sides: &mut Sides,
    old: Option<Hash>,
    new: Option<Hash>,
    get: &dyn Fn(&Hash) -> Option<Arc<[u8]>>,
) {
    if old == new {
        return;
    }
    let (Some(before), Some(after)) = (old, new) else {
        let mut unused = BTreeSet::new();
        if let Some(old) = old {
            walk.list(old, get, &mut sides.old, &mut unused);
        }
        if let Some(new) = new {
            walk.list(new, get, &mut sides.new, &mut sides.nodes);
        }
        return;
    };
    let (one, two) = (walk.index(before, get), walk.index(after, get));
    let (Some(one), Some(two)) = (one, two) else {
        return;
    };
    if !(one.branch && two.branch) {
        // One of the trees outgrew a single index piece: its leaves are compared by name.
        walk.list(before, get, &mut sides.old, &mut BTreeSet::new());
        walk.list(after, get, &mut sides.new, &mut sides.nodes);
        return;
    }
    sides.nodes.insert(after);
    let digits: BTreeSet<_> = one.children.keys().chain(two.children.keys()).collect();
    for digit in digits {
        let old = one.children.get(digit).copied();
        let new = two.children.get(digit).copied();
        compare(walk, sides, old, new, get);
    }
}
