//! Structured log lines, limited in number.
//!
//! Each line has an `event` and the inputs of the decision. Lines about requests have a budget a
//! second for each kind; dropped lines are counted and reported, so that a reader knows that lines
//! are missing. Lines about failures have a budget of their own, which neither successes nor
//! refusals before a target was asked can use up.

mod line_budget;
mod outcome;

use std::{collections::BTreeSet, sync::Arc};

pub use self::{
    line_budget::{LineBudget, LineDecision},
    outcome::Outcome,
};
use crate::{
    model::{Config, Fingerprint, KeyIndex},
    replica::View,
};

/// Maximum number of names in one line; a failure domain has a few dozen targets.
const MAX_NAMES: usize = 40;

/// Logs how a new view differs from the previous one.
pub fn log_view_change(before: &View, after: &View) {
    let version = |view: &View| view.config.as_ref().map(|c| c.version);
    if version(before) != version(after) {
        log::info!(
            target: "belief", event = "config", from:? = version(before), to:? = version(after),
            change = after.change; "the active configuration changed"
        );
    }
    log_set_change(
        "evacuated",
        &before.evacuated,
        &after.evacuated,
        after.change,
    );
    log_set_change("hosts", &names(before), &names(after), after.change);
    log_set_change("targets", &targets(before), &targets(after), after.change);
    let (was, is) = (quarantined(before), quarantined(after));
    log_set_change("quarantine", &was, &is, after.change);
}

fn names(view: &View) -> BTreeSet<Arc<str>> {
    view.hosts.keys().cloned().collect()
}

/// Returns the ids of targets that may receive requests.
fn targets(view: &View) -> BTreeSet<Arc<str>> {
    let all = view.services.values().flatten();
    all.map(|known| Arc::clone(&known.target.id)).collect()
}

/// Returns the fingerprints of requests that are refused.
fn quarantined(view: &View) -> BTreeSet<Arc<str>> {
    let entries = view.quarantined.values().map(|(entry, _)| entry);
    let confirmed = entries.filter(|entry| entry.is_confirmed);
    confirmed
        .map(|entry| Fingerprint(entry.fingerprint).to_string().into())
        .collect()
}

fn log_set_change(
    event: &str,
    before: &BTreeSet<Arc<str>>,
    after: &BTreeSet<Arc<str>>,
    change: u64,
) {
    let list = |a: &BTreeSet<Arc<str>>, b: &BTreeSet<Arc<str>>| {
        let names: Vec<_> = a.difference(b).take(MAX_NAMES).map(|n| &**n).collect();
        names.join(",")
    };
    let (added, removed) = (list(after, before), list(before, after));
    if added.is_empty() && removed.is_empty() {
        return;
    }
    log::info!(
        target: "belief", event = event, added = &*added, removed = &*removed,
        count = after.len(), change = change; "changed"
    );
}

/// Logs problems with the workspaces of a new configuration.
pub fn log_config_warnings(config: &Config, keys: &KeyIndex) {
    let shared = keys.shared(&config.workspaces);
    if !shared.is_empty() {
        let names: Vec<_> = shared.iter().take(MAX_NAMES).map(|n| &**n).collect();
        log::warn!(
            target: "belief", event = "shared_keys", version = config.version, workspaces = &*names.join(",");
            "other workspaces have the same keys, which belong to them"
        );
    }
    for workspace in &config.workspaces {
        let is_apart =
            |homes: &BTreeSet<Arc<str>>| !homes.is_empty() && homes.is_disjoint(&workspace.homes);
        let routes = config.routes.iter().filter(|r| is_apart(&r.homes));
        let routes: Vec<_> = routes.take(MAX_NAMES).map(|r| &*r.name).collect();
        if !workspace.homes.is_empty() && !routes.is_empty() {
            log::warn!(
                target: "belief", event = "no_home", version = config.version, workspace = &*workspace.name,
                routes = &*routes.join(","); "no region is allowed by both; such requests are refused"
            );
        }
    }
}
