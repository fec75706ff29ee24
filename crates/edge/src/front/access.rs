//! What a request may do by the configuration in force: its route, its workspace, its homes.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Uri};

use super::{Front, select};
use crate::{
    model::{Credentials, Route, Workspace},
    replica::View,
};

/// Age of what is believed up to which an unknown key is called one. A key that was just added is
/// known this late at most.
const FRESH: Duration = Duration::from_millis(1600);

/// What a request may do.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Rights {
    pub(super) route: Arc<Route>,
    /// Whose request it is, if anybody's.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// Whether callers' credentials are for hosts alone.
    pub(super) guarded: bool,
}

impl Rights {
    /// Whether the request may run in a region: homes of its route and of its workspace bind both.
    pub(super) fn allows(&self, region: &Arc<str>) -> bool {
        let workspace = self.workspace.iter().map(|w| &w.homes);
        let mut homes = workspace.chain([&self.route.homes]);
        homes.all(|homes| homes.is_empty() || homes.contains(region))
    }

    /// Its rank; 0 is the most urgent. A workspace's goes before a route's.
    pub(super) fn rank(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.rank);
        workspace.unwrap_or(self.route.priority)
    }

    /// Whether no region is a home of both.
    pub(super) fn is_homeless(&self) -> bool {
        let mut homes = self.route.homes.iter();
        !self.route.homes.is_empty() && !homes.any(|region| self.allows(region))
    }
}

/// How far what is believed goes. To be taken before the view that it is about: a view that is taken
/// first may be replaced, and its successor proved, in between.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trust {
    /// Age of what is believed.
    age: Duration,
    /// Whether callers may be served by their keys.
    holds: bool,
}

/// Why a request has no rights.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum NoRights {
    /// No configuration is known.
    #[error("no configuration is known yet")]
    Unconfigured,
    /// No route takes it.
    #[error("no route")]
    Routeless,
    /// Keys may have been taken away meanwhile, or added.
    #[error("what is known of keys is {} ms old", age.as_millis())]
    Outdated {
        /// How old it is.
        age: Duration,
    },
    /// The caller sent no key.
    #[error("no key")]
    Keyless,
    /// The caller sent something else than a key.
    #[error("unreadable credentials")]
    Unreadable,
    /// No workspace holds its key.
    #[error("unknown key, by version {version}")]
    Unknown {
        /// Version of the configuration.
        version: u64,
    },
}

impl Front {
    /// How far what is believed goes now.
    pub(super) fn trust(&self) -> Trust {
        Trust {
            holds: self.shared.keys_are_fresh(),
            age: self.shared.age(),
        }
    }

    /// What a request may do by a view.
    pub(super) fn rights(
        &self,
        view: &View,
        trust: Trust,
        headers: &HeaderMap,
        uri: &Uri,
        presented: Credentials,
    ) -> Result<Rights, NoRights> {
        let config = view.config.as_ref().ok_or(NoRights::Unconfigured)?;
        let route = select::route(view, headers, uri).ok_or(NoRights::Routeless)?;
        let guarded = !config.workspaces.is_empty();
        let workspace = match presented {
            _ if !guarded => None,
            Credentials::Missing if route.open => None,
            _ if !trust.holds => return Err(NoRights::Outdated { age: trust.age }),
            Credentials::Missing => return Err(NoRights::Keyless),
            Credentials::Malformed => return Err(NoRights::Unreadable),
            Credentials::Key(key) => {
                let held = view.keys.find(key).map(Arc::clone);
                Some(held.ok_or_else(|| unknown(config.version, trust))?)
            }
        };
        Ok(Rights {
            route: Arc::clone(route),
            workspace,
            guarded,
        })
    }
}

/// A key that is not known may have been added since.
fn unknown(version: u64, trust: Trust) -> NoRights {
    if trust.age > FRESH {
        return NoRights::Outdated { age: trust.age };
    }
    NoRights::Unknown { version }
}
