//! What a host is told about the deployment, in the project's own words.
//!
//! An adapter decodes a platform's names and formats into these types once; hosts pass the same
//! types on to each other.

mod config;
mod dialect;
mod entry;
mod feed;
mod keys;
mod packed;
mod patch;
mod routes;
mod workspace;

pub use self::{
    config::{Config, Limits, Route, Service, WeightedService},
    dialect::{Credentials, Dialect, LookupQuery, ReportedLoad},
    entry::{DeferredRemoval, Entry, HostEntry, Item, Target},
    feed::{Batch, LeaseId, PlatformStore, PlatformStoreError, Snapshot, StoreCall},
    keys::KeyIndex,
    packed::Packed,
    patch::{Patch, VersionMismatch},
    routes::RouteIndex,
    workspace::{KeyDigest, Workspace},
};
