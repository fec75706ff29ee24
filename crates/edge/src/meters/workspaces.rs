//! Requests by workspace. The busiest workspaces have lines of their own, the others share one, so
//! that the text does not grow with their number.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, PoisonError},
};

/// Number of workspaces with lines of their own.
const MAX_SHOWN: usize = 16;

/// Number of workspaces that are counted separately; later ones are counted together.
const MAX_WORKSPACES: usize = 32_768;

/// Name under which the others are counted; no workspace has an empty name.
const OTHERS: &str = "";

/// Request counts of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    limited: u64,
}

/// Request counts by workspace.
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

    /// Writes the lines, busiest workspace first.
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
