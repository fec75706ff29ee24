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
const MAX_UNKNOWN_KEY_AGE: Duration = Duration::from_millis(1600);

/// What a request may do.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Access {
    pub(super) route: Arc<Route>,
    /// Whose request it is, if anybody's.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// Whether callers' credentials are for hosts alone.
    pub(super) requires_key: bool,
}

impl Access {
    /// Whether the request may run in a region: homes of its route and of its workspace bind both.
    pub(super) fn allows(&self, region: &Arc<str>) -> bool {
        let workspace = self.workspace.iter().map(|w| &w.homes);
        let mut homes = workspace.chain([&self.route.homes]);
        homes.all(|homes| homes.is_empty() || homes.contains(region))
    }

    /// Its rank; 0 is the most urgent. A workspace's goes before a route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.rank);
        workspace.unwrap_or(self.route.priority)
    }

    /// Whether no region is a home of both.
    pub(super) fn has_no_region(&self) -> bool {
        let mut homes = self.route.homes.iter();
        !self.route.homes.is_empty() && !homes.any(|region| self.allows(region))
    }
}

/// How far what is believed goes. To be taken before the view that it is about: a view that is taken
/// first may be replaced, and its successor proved, in between.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyFreshness {
    /// Age of what is believed.
    age: Duration,
    /// Whether callers may be served by their keys.
    is_fresh: bool,
}

/// Why a request has no rights.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum AccessError {
    /// No configuration is known.
    #[error("no configuration is known yet")]
    NoConfig,
    /// No route takes it.
    #[error("no route")]
    NoRoute,
    /// Keys may have been taken away meanwhile, or added.
    #[error("what is known of keys is {} ms old", age.as_millis())]
    StaleKeys {
        /// How old it is.
        age: Duration,
    },
    /// The caller sent no key.
    #[error("no key")]
    MissingKey,
    /// The caller sent something else than a key.
    #[error("unreadable credentials")]
    MalformedKey,
    /// No workspace holds its key.
    #[error("unknown key, by version {version}")]
    UnknownKey {
        /// Version of the configuration.
        version: u64,
    },
}

impl Front {
    /// How far what is believed goes now.
    pub(super) fn key_freshness(&self) -> KeyFreshness {
        KeyFreshness {
            is_fresh: self.shared.keys_are_fresh(),
            age: self.shared.age(),
        }
    }

    /// What a request may do by a view.
    pub(super) fn authorize(
        &self,
        view: &View,
        freshness: KeyFreshness,
        headers: &HeaderMap,
        uri: &Uri,
        credentials: Credentials,
    ) -> Result<Access, AccessError> {
        let config = view.config.as_ref().ok_or(AccessError::NoConfig)?;
        let route = select::route(view, headers, uri).ok_or(AccessError::NoRoute)?;
        let requires_key = !config.workspaces.is_empty();
        let workspace = match credentials {
            _ if !requires_key => None,
            Credentials::Missing if route.open => None,
            _ if !freshness.is_fresh => return Err(AccessError::StaleKeys { age: freshness.age }),
            Credentials::Missing => return Err(AccessError::MissingKey),
            Credentials::Malformed => return Err(AccessError::MalformedKey),
            Credentials::Key(key) => {
                let workspace = view.keys.find(key).map(Arc::clone);
                Some(workspace.ok_or_else(|| unknown_key(config.version, freshness))?)
            }
        };
        Ok(Access {
            route: Arc::clone(route),
            workspace,
            requires_key,
        })
    }
}

/// A key that is not known may have been added since.
fn unknown_key(version: u64, freshness: KeyFreshness) -> AccessError {
    if freshness.age > MAX_UNKNOWN_KEY_AGE {
        return AccessError::StaleKeys { age: freshness.age };
    }
    AccessError::UnknownKey { version }
}
