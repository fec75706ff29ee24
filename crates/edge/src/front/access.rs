//! Access of a request under the active configuration: its route, its workspace, and the regions in
//! which it may run; and its identity across repeats, of which the workspace is a part.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::steer::hash::{hash_bytes, hash_parts};
use http::{HeaderMap, Uri, header, request::Parts};

use super::{Front, select};
use crate::{
    model::{Credentials, Fingerprint, Route, Workspace},
    replica::View,
};

/// Maximum age of the replica at which an unknown API key is rejected as unknown. A newly added key
/// is therefore rejected for at most this long; beyond it, the replica counts as stale.
const MAX_UNKNOWN_KEY_AGE: Duration = Duration::from_millis(1600);

/// The route and workspace that a request is authorized for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Access {
    pub(super) route: Arc<Route>,
    /// Workspace of the caller, if it is authenticated.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// Whether callers are identified by API keys, which is so if the configuration has workspaces.
    /// Their credentials are then checked here and not forwarded to targets.
    pub(super) requires_key: bool,
}

impl Access {
    /// Whether the request may run in a region: the allowed regions of its route and of its
    /// workspace both apply.
    pub(super) fn allows(&self, region: &Arc<str>) -> bool {
        let workspace = self.workspace.iter().map(|w| &w.homes);
        let mut homes = workspace.chain([&self.route.homes]);
        homes.all(|homes| homes.is_empty() || homes.contains(region))
    }

    /// Priority of the request; 0 is the highest. A workspace's priority takes precedence over its
    /// route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.rank);
        workspace.unwrap_or(self.route.priority)
    }

    /// Whether no region is allowed by both the route and the workspace.
    pub(super) fn has_no_region(&self) -> bool {
        let mut homes = self.route.homes.iter();
        !self.route.homes.is_empty() && !homes.any(|region| self.allows(region))
    }
}

/// Freshness of the API keys in this host's replica of the store. Must be read before the view that
/// it is used with: otherwise a newer view could be confirmed in between, and the older view would
/// count as fresh.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyFreshness {
    /// Time since the store last confirmed the replica.
    age: Duration,
    /// Whether the replica is recent enough to authenticate callers with its keys.
    is_fresh: bool,
}

/// Reason why a request is denied access.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum AccessError {
    /// This host has no configuration yet.
    #[error("no configuration is known yet")]
    NoConfig,
    /// No route matches.
    #[error("no route")]
    NoRoute,
    /// The replica is too old: keys may have been revoked or added since the store confirmed it.
    #[error("what is known of keys is {} ms old", age.as_millis())]
    StaleKeys {
        /// Age of the replica.
        age: Duration,
    },
    /// The caller sent no API key.
    #[error("no key")]
    MissingKey,
    /// The caller's credentials contain no API key, or several.
    #[error("unreadable credentials")]
    MalformedKey,
    /// The API key belongs to no workspace.
    #[error("unknown key, by version {version}")]
    UnknownKey {
        /// Version of the configuration.
        version: u64,
    },
}

impl Front {
    /// Returns the current freshness of the API keys.
    pub(super) fn key_freshness(&self) -> KeyFreshness {
        KeyFreshness {
            is_fresh: self.shared.keys_are_fresh(),
            age: self.shared.age(),
        }
    }

    /// Authenticates and authorizes a request under a view.
    pub(super) fn authorize(
        &self,
        view: &View,
        freshness: KeyFreshness,
        headers: &HeaderMap,
        uri: &Uri,
        credentials: Credentials,
    ) -> Result<Access, AccessError> {
        let config = view.config.as_ref().ok_or(AccessError::NoConfig)?;
        let route = select::find_route(view, headers, uri).ok_or(AccessError::NoRoute)?;
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

/// Returns the error for an unknown API key: [`AccessError::StaleKeys`] if the key may have been
/// added since the store confirmed the replica.
fn unknown_key(version: u64, freshness: KeyFreshness) -> AccessError {
    if freshness.age > MAX_UNKNOWN_KEY_AGE {
        return AccessError::StaleKeys { age: freshness.age };
    }
    AccessError::UnknownKey { version }
}

/// Hashes what a target acts on: method, host, path with query, workspace, affinity key and body.
pub(super) fn fingerprint(
    head: &Parts,
    body: &[u8],
    access: &Access,
    affinity_key: &str,
) -> Fingerprint {
    let host = head.headers.get(header::HOST);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let workspace = access.workspace.as_ref().map_or("", |w| &*w.name);
    Fingerprint(hash_parts(&[
        head.method.as_str().as_bytes(),
        host.map_or(&[], |v| v.as_bytes()),
        path.as_bytes(),
        workspace.as_bytes(),
        affinity_key.as_bytes(),
        // Hashed apart: the parts are copied, and a body may be large.
        &hash_bytes(body).to_be_bytes(),
    ]))
}
