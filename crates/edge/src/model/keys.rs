//! Finds the workspace of a key in a time that does not grow with the number of keys.

use std::sync::Arc;

use super::{KeyDigest, Workspace};

/// Index of the keys of a configuration. Clones share it.
///
/// Invariants: `rows` is sorted by digest and contains each digest once; the rows whose digest
/// begins with the bits `n` lie from `starts[n]` to `starts[n + 1]`. There are about as many bit
/// prefixes as rows, and digests are distributed evenly, so few rows share one.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    rows: Arc<[(KeyDigest, Arc<Workspace>)]>,
    starts: Arc<[u32]>,
    bits: u32,
}

impl KeyIndex {
    /// Indexes the keys of all workspaces. A key that several workspaces have belongs to the first
    /// of them, by name; see [`KeyIndex::shared`].
    pub fn open(workspaces: &[Arc<Workspace>]) -> KeyIndex {
        let mut rows: Vec<_> = workspaces
            .iter()
            .flat_map(|w| w.keys.iter().map(|key| (*key, Arc::clone(w))))
            .collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
        rows.dedup_by_key(|(key, _)| *key);
        let bits = rows.len().next_power_of_two().trailing_zeros();
        let mut starts = vec![0; (1 << bits) + 1];
        for (key, _) in &rows {
            starts[key.top(bits) + 1] += 1;
        }
        for n in 1..starts.len() {
            starts[n] += starts[n - 1];
        }
        KeyIndex {
            rows: rows.into(),
            starts: starts.into(),
            bits,
        }
    }

    /// Returns the workspace that has a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Workspace>> {
        let top = key.top(self.bits);
        let (from, to) = (*self.starts.get(top)?, *self.starts.get(top + 1)?);
        let rows = &self.rows[from as usize..to as usize];
        let row = rows.iter().find(|(held, _)| *held == key);
        row.map(|(_, workspace)| workspace)
    }

    /// Returns the names of workspaces that have a key which belongs to another.
    pub fn shared(&self, workspaces: &[Arc<Workspace>]) -> Vec<Arc<str>> {
        let is_other = |w: &Arc<Workspace>| {
            let mut keys = w.keys.iter();
            keys.any(|key| self.find(*key).is_some_and(|held| held.name != w.name))
        };
        let others = workspaces.iter().filter(|w| is_other(w));
        others.map(|w| Arc::clone(&w.name)).collect()
    }
}
