//! Requests by workspace: the busiest have lines of their own, the others one together, so that the text
//! does not grow with their number.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, PoisonError},
};

/// Workspaces with lines of their own.
const MAX_SHOWN: usize = 16;

/// Workspaces that are counted apart. One that comes after is counted with the others.
const MAX_WORKSPACES: usize = 32_768;

/// Name under which the others are counted; no workspace has an empty name.
const OTHERS: &str = "";

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    limited: u64,
}

/// Requests by workspace.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    counts: Mutex<BTreeMap<Arc<str>, Counts>>,
}

impl Workspaces {
    /// Counts a request.
    pub(super) fn count(&self, name: &Arc<str>, is_limited: bool) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let is_counted_apart = counts.len() < MAX_WORKSPACES || counts.contains_key(name);
        let name = if is_counted_apart {
            Arc::clone(name)
        } else {
            OTHERS.into()
        };
        let counts = counts.entry(name).or_default();
        counts.requests += 1;
        counts.limited += u64::from(is_limited);
    }

    /// Writes the lines, busiest first.
    pub(super) fn write(&self, prefix: &str, text: &mut String) {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rows: Vec<_> = counts.iter().filter(|(name, _)| !name.is_empty()).collect();
        rows.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.requests));
        let rest = rows.iter().skip(MAX_SHOWN).map(|(_, counts)| **counts);
        let rest = rest
            .chain(counts.get(OTHERS).copied())
            .reduce(|a, b| Counts {
                requests: a.requests + b.requests,
                limited: a.limited + b.limited,
            });
        let shown = rows.iter().take(MAX_SHOWN);
        let shown = shown.map(|(name, counts)| (format!("workspace.{name}"), **counts));
        for (name, counts) in shown.chain(rest.map(|rest| ("workspaces_rest".to_owned(), rest))) {
            let _ = writeln!(text, "{prefix}.{name}.requests {}", counts.requests);
            let _ = writeln!(text, "{prefix}.{name}.limited {}", counts.limited);
        }
    }
}
