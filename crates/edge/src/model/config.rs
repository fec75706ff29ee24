//! The operators' configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::Workspace;

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
    /// Routes of all host names.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Workspaces, in the order of their names. With none, callers need no key.
    pub workspaces: Vec<Arc<Workspace>>,
}

impl Config {
    /// The workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        let at = self.workspaces.binary_search_by(|w| (*w.name).cmp(name));
        at.ok().map(|at| &self.workspaces[at])
    }
}

/// How requests under a host name and a prefix are served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host name of the request, without a port.
    pub host: Arc<str>,
    /// Begins the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether a target that has lately handled a request's object answers sooner.
    pub sticky: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is in good time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Services that share the requests; never empty.
    pub parts: Vec<WeightedService>,
    /// Regions in which requests may run; empty for all.
    pub homes: BTreeSet<Arc<str>>,
    /// Whether callers need no key.
    pub open: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its share among the weights of the route.
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

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time a kept connection may be idle.
    pub idle: Duration,
}
