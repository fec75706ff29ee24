//! Workspaces: their keys, rate limits, priorities and allowed regions.

use std::{collections::BTreeSet, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Workspace {
    /// Name, unique in a configuration; it is sent to targets.
    pub name: Arc<str>,
    /// Digests of the keys that authenticate its callers.
    pub keys: BTreeSet<KeyDigest>,
    /// Requests a second that it may run, over all hosts; 0 for no limit.
    pub rate: f64,
    /// Requests that it may run at once beyond that rate.
    pub burst: f64,
    /// Priority that takes precedence over a route's; 0 is the highest.
    pub rank: Option<u8>,
    /// Regions in which its requests may run; empty for all.
    pub homes: BTreeSet<Arc<str>>,
}

impl Workspace {
    /// Whether the workspace has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }
}

/// Digest of a caller's key, the only form in which a host stores it: neither logs and dumps nor
/// the messages between hosts can leak a key.
///
/// 128 bits of SHA-256, so another key with the same digest cannot be found.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> KeyDigest {
        let digest = Sha256::digest(key);
        let bytes = digest.iter().take(16);
        KeyDigest(bytes.fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }

    /// Returns its highest `bits` bits, at most 64.
    pub(super) fn top(self, bits: u32) -> usize {
        let top = (self.0 >> 64) as u64;
        top.checked_shr(64 - bits).unwrap_or_default() as usize
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
