//! Patches between versions of the configuration.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Config, Limits, Route, Service, Workspace};

/// What identifies a route: host name and prefix.
type Key = (Arc<str>, Arc<str>);

/// The difference between one version and a later one.
///
/// Hosts send each other patches instead of full versions. A full version of some thousand routes
/// is nearly a megabyte; a host that passes it on to eight others over a link of 10 Mbit/s needs
/// seconds, during which the next version and the changes of draining targets wait. A patch is as
/// large as what the operators changed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Patch {
    /// Version that the patch applies to.
    pub from: u64,
    /// Version that it produces.
    pub to: u64,
    /// Routes that are new or changed.
    routes: Vec<Arc<Route>>,
    /// Routes that were removed.
    gone: Vec<Key>,
    /// All services, if one of them changed.
    services: Option<BTreeMap<Arc<str>, Service>>,
    limits: Option<Limits>,
    /// Workspaces that are new or changed.
    workspaces: Vec<Arc<Workspace>>,
    /// Names of workspaces that were removed.
    closed: Vec<Arc<str>>,
}

/// A patch is for another version than the one it was applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a patch from version {from} does not fit version {held}")]
pub struct VersionMismatch {
    /// Version that the patch applies to.
    pub from: u64,
    /// Version that it was applied to.
    pub held: u64,
}

impl Patch {
    /// Computes the patch from one version to another; `None` if several routes of a version have
    /// the same host name and prefix, or several workspaces the same name, so that a patch could
    /// not identify the one that changed.
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

    /// Applies the patch. Routes that did not change are shared with `old`.
    ///
    /// # Errors
    ///
    /// When the patch is for another version than `old`.
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

/// Returns the routes by host name and prefix; `None` if two share both.
fn by_key(config: &Config) -> Option<BTreeMap<Key, &Arc<Route>>> {
    let routes: BTreeMap<_, _> = config.routes.iter().map(|r| (key(r), r)).collect();
    (routes.len() == config.routes.len()).then_some(routes)
}

/// Returns the workspaces by name; `None` if two share a name.
fn by_name(config: &Config) -> Option<BTreeMap<&Arc<str>, &Arc<Workspace>>> {
    let all: BTreeMap<_, _> = config.workspaces.iter().map(|w| (&w.name, w)).collect();
    (all.len() == config.workspaces.len()).then_some(all)
}
