//! A host's model of the deployment, independent of the platform.
//!
//! An adapter decodes a platform's names and formats into these types; hosts send the same types to
//! each other.

mod config;
mod dialect;
mod fingerprint;
mod item;
mod keys;
mod packed;
mod patch;
mod platform_store;
mod revision;
mod routes;
mod workspace;

pub use self::{
    config::{Config, Limits, Route, Service, WeightedService},
    dialect::{
        Credentials, Dialect, LookupQuery, Reported, ReportedLoad, decimal_rate, decimal_seconds,
        percent_pace,
    },
    fingerprint::Fingerprint,
    item::{DeferredChange, Entry, HostEntry, Item, QuarantineEntry, Target},
    keys::KeyIndex,
    packed::Packed,
    patch::{Patch, VersionMismatch},
    platform_store::{
        Announcement, Answer, Batch, Lease, PlatformStore, PlatformStoreError, QuarantineWrite,
        Snapshot, StoreCall,
    },
    revision::Revision,
    routes::RouteIndex,
    workspace::{KeyDigest, Workspace},
};
