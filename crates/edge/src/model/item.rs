//! What the store holds, item by item.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Config;

/// An item as of a revision. A later revision of the same key replaces it, an earlier one never.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Item {
    /// Key, unique among all items.
    pub key: Arc<str>,
    /// Store's revision of the last change.
    pub rev: u64,
    /// Store's revision at which the key was last created; 0 once it is removed. Later than a revision that
    /// is known, it tells of a removal in between.
    pub created: u64,
    /// Content; `None` once it is removed, or where it names nobody.
    pub entry: Option<Entry>,
}

/// A removal that is held back: the store no longer names the key, but what lay under it may only have
/// lapsed while the store was away.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct DeferredRemoval {
    /// Key of the item.
    pub key: Arc<str>,
    /// Store's revision of the removal.
    pub rev: u64,
    /// How much longer the item is believed in, from when this was said.
    pub left: Duration,
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entry {
    /// The configuration in force.
    Config(Arc<Config>),
    /// Targets of this failure domain get nothing.
    Evacuated(Arc<str>),
    /// A target.
    Target(Arc<Target>),
    /// An entry host.
    Host(Arc<HostEntry>),
}

/// A target as it announces itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// Names the target; with `born`, one start of its process.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Where it is served.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much longer it stays cold, from when this was said.
    pub cold: Duration,
    /// When its process started, in milliseconds since 1970; 0 where that is not told. A target may
    /// start again under the id that it had, and then holds and knows nothing of before.
    pub born: u64,
}

/// An entry host as it announces itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostEntry {
    /// Name, unique in the deployment.
    pub name: Arc<str>,
    /// Failure domain it stands in.
    pub domain: Arc<str>,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where other hosts are served.
    pub peers: SocketAddr,
    /// How far the store is: time of a call in steps of [`HostEntry::STEP`].
    pub distance: u32,
    /// Hundredths of a core that it may use.
    pub power: u32,
}

impl HostEntry {
    /// Step of `distance`: below the time between regions, above the swing of calls within one.
    pub const DISTANCE_STEP: Duration = Duration::from_millis(10);
}
