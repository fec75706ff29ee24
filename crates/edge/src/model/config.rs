//! The operators' configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::Workspace;

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Config {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes of all host names.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Workspaces, in the order of their names. Without any, callers need no key.
    pub workspaces: Vec<Arc<Workspace>>,
}

impl Config {
    /// Returns the workspace with a name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        let at = self.workspaces.binary_search_by(|w| (*w.name).cmp(name));
        at.ok().map(|at| &self.workspaces[at])
    }
}

/// How requests under a host name and a path prefix are served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host name of the request, without a port.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests are idempotent and may run more than once.
    pub repeatable: bool,
    /// Whether a target that recently handled a request's affinity key answers faster.
    pub sticky: bool,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
    /// Response time that counts as good.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Services that share the requests; never empty.
    pub parts: Vec<WeightedService>,
    /// Regions in which requests may run; empty for all.
    pub homes: BTreeSet<Arc<str>>,
    /// Whether callers need no key.
    pub open: bool,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its share relative to the other weights of the route.
    pub weight: f64,
}

/// How the targets of a service are used.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Service {
    /// Path of the health check.
    pub health: Arc<str>,
    /// Time for which a target stays cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold target tolerates.
    pub rate: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Idle timeout of a connection.
    pub idle: Duration,
}
