//! Items of the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_decide::steer::hash::{hash_str, mix64};
use serde::{Deserialize, Serialize};

use super::{Config, Revision};

/// An item as of a revision. A later revision of the same key replaces it, an earlier one never.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Item {
    /// Key, unique among all items.
    pub key: Arc<str>,
    /// Store's revision of the last change.
    pub rev: Revision,
    /// Store's revision at which the key was last created; none once it is removed. If it is later
    /// than a known revision, the item was removed in between.
    pub created: Revision,
    /// Content; `None` once the item is removed, or if its content cannot be used.
    pub entry: Option<Entry>,
}

/// A deferred change: what the store shows does not count yet. An entry that the store no longer
/// has may only have expired while the store was unavailable; and a store that has returned from an
/// older copy shows an earlier state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeferredChange {
    /// The item as the store shows it.
    pub item: Item,
    /// How much longer the known item stays, counted from when this was sent.
    pub left: Duration,
}

impl Item {
    /// Returns the removal of a key.
    pub fn removal(key: Arc<str>, rev: Revision) -> Item {
        Item {
            key,
            rev,
            created: Revision::NONE,
            entry: None,
        }
    }
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entry {
    /// The active configuration.
    Config(Arc<Config>),
    /// A failure domain whose targets receive no requests.
    Evacuated(Arc<str>),
    /// A target.
    Target(Arc<Target>),
    /// An entry host.
    Host(Arc<HostEntry>),
    /// A request that is in quarantine.
    Quarantined(QuarantineEntry),
}

/// A target as it announces itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// Names the target; with `born`, one start of its process.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// How much longer it stays cold, counted from when this was sent.
    pub cold: Duration,
    /// When its process started, in milliseconds since 1970; 0 if unknown. A target may restart
    /// under the same id, and then has no requests and no state from before.
    pub born: u64,
}

impl Target {
    /// Returns a hash of the target's process, the same on every host.
    pub fn process_hash(&self) -> u32 {
        mix64(hash_str(&self.id) ^ mix64(self.born)) as u32
    }
}

/// A request in quarantine, as one host announces it to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct QuarantineEntry {
    /// Hash over what the request asks of a target.
    pub fingerprint: u64,
    /// Whether it is refused; otherwise it is a suspect.
    pub is_confirmed: bool,
}

/// An entry host as it announces itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostEntry {
    /// Name, unique in the deployment.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Round-trip time to the store, in steps of [`HostEntry::DISTANCE_STEP`].
    pub distance: u32,
    /// Processor limit, in hundredths of a core.
    pub power: u32,
    /// Rate of its link, in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub link: u32,
}

impl HostEntry {
    /// Step of `distance`: below the round-trip time between regions, above the variation of calls
    /// within one.
    pub const DISTANCE_STEP: Duration = Duration::from_millis(10);
}
