//! What changed between two versions of the configuration.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Config, Limits, Route, Service, Workspace};

/// What selects a route: host name and prefix.
type Key = (Arc<str>, Arc<str>);

/// The way from one version to a later one.
///
/// Hosts tell each other patches instead of whole versions. Whole, a version of some thousand routes is
/// near a megabyte; a host that passes it on to eight others over a link of 10 Mbit/s needs seconds, in
/// which the next version and the news of leaving targets wait behind it. A patch is as large as what
/// the operators changed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Patch {
    /// Version that it changes; it fits no other.
    pub from: u64,
    /// Version that it leads to.
    pub to: u64,
    /// Routes that are new or differ.
    routes: Vec<Arc<Route>>,
    /// Routes that are gone.
    gone: Vec<Key>,
    /// All services, where one of them differs.
    services: Option<BTreeMap<Arc<str>, Service>>,
    limits: Option<Limits>,
    /// Workspaces that are new or differ.
    workspaces: Vec<Arc<Workspace>>,
    /// Names of workspaces that are gone.
    closed: Vec<Arc<str>>,
}

/// A patch that does not begin at the version it was applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a patch from version {from} does not fit version {held}")]
pub struct VersionMismatch {
    /// Where the patch begins.
    pub from: u64,
    /// The version that is held.
    pub held: u64,
}

impl Patch {
    /// The way from one version to another; `None` where several routes of a version have the same host
    /// name and prefix, or several workspaces the same name, of which a patch could not tell which one
    /// changed.
    pub fn between(old: &Config, new: &Config) -> Option<Patch> {
        let (before, after) = (by_key(old)?, by_key(new)?);
        let (were, are) = (by_name(old)?, by_name(new)?);
        let changed = are.iter().filter(|(name, w)| were.get(*name) != Some(*w));
        let closed = were.keys().filter(|name| !are.contains_key(*name));
        let differs = |(key, route): &(&Key, &&Arc<Route>)| before.get(*key) != Some(*route);
        let routes = after.iter().filter(differs);
        let gone = before.keys().filter(|key| !after.contains_key(*key));
        Some(Patch {
            from: old.version,
            to: new.version,
            routes: routes.map(|(_, route)| Arc::clone(route)).collect(),
            gone: gone.cloned().collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            limits: (old.limits != new.limits).then(|| new.limits.clone()),
            workspaces: changed.map(|(_, w)| Arc::clone(w)).collect(),
            closed: closed.map(|name| Arc::clone(name)).collect(),
        })
    }

    /// The version that it leads to. Routes that did not change are shared with `old`.
    ///
    /// # Errors
    ///
    /// When it does not begin at `old`.
    pub fn apply(&self, old: &Config) -> Result<Config, VersionMismatch> {
        let mismatch = VersionMismatch {
            from: self.from,
            held: old.version,
        };
        let base = (old.version == self.from).then_some(old);
        let mut routes = base.and_then(by_key).ok_or(mismatch)?;
        let mut workspaces = by_name(old).ok_or(mismatch)?;
        for name in &self.closed {
            workspaces.remove(name);
        }
        workspaces.extend(self.workspaces.iter().map(|w| (&w.name, w)));
        for key in &self.gone {
            routes.remove(key);
        }
        routes.extend(self.routes.iter().map(|route| (key(route), route)));
        Ok(Config {
            version: self.to,
            routes: routes.into_values().cloned().collect(),
            services: self.services.as_ref().unwrap_or(&old.services).clone(),
            limits: self.limits.as_ref().unwrap_or(&old.limits).clone(),
            workspaces: workspaces.into_values().cloned().collect(),
        })
    }
}

fn key(route: &Route) -> Key {
    (Arc::clone(&route.host), Arc::clone(&route.prefix))
}

/// The routes by what selects them; `None` where that does not tell them apart.
fn by_key(config: &Config) -> Option<BTreeMap<Key, &Arc<Route>>> {
    let routes: BTreeMap<_, _> = config.routes.iter().map(|r| (key(r), r)).collect();
    (routes.len() == config.routes.len()).then_some(routes)
}

/// The workspaces by name; `None` where that does not tell them apart.
fn by_name(config: &Config) -> Option<BTreeMap<&Arc<str>, &Arc<Workspace>>> {
    let all: BTreeMap<_, _> = config.workspaces.iter().map(|w| (&w.name, w)).collect();
    (all.len() == config.workspaces.len()).then_some(all)
}
