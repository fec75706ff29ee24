//! State of a store, without clock or socket.

use std::{collections::BTreeMap, ops::Bound, sync::Arc, time::Duration};

use bytes::Bytes;
use dunlinrock_schema::store::{Key, Lease, StoreCounts};

use super::{OutageKind, StoreOptions};
use crate::token_bucket::TokenBucket;

/// A value with its version.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) body: Bytes,
    /// Version from a counter shared by all keys, so it is unique in the store.
    pub(super) version: u64,
    /// Lease whose end removes the key.
    lease: Option<u64>,
}

/// Precondition of a write, from `If-Match`.
#[derive(Clone, Copy, Debug)]
pub(super) enum Precondition {
    /// No precondition.
    Always,
    /// The key must have this version; 0 means that it must not exist.
    Version(u64),
}

/// State of the store.
pub(super) struct State {
    entries: BTreeMap<Arc<str>, Entry>,
    /// TTL and time of expiry by lease id.
    leases: BTreeMap<u64, (Duration, Duration)>,
    /// Last version or lease id assigned.
    last: u64,
    pub(super) options: StoreOptions,
    pub(super) reads: TokenBucket,
    pub(super) writes: TokenBucket,
    pub(super) counts: StoreCounts,
    pub(super) down: Option<OutageKind>,
    pub(super) delay: Duration,
    /// Number of future writes whose response is dropped.
    pub(super) drop_next: u64,
    /// Key whose writes get no response while their connections stay open.
    pub(super) withheld_key: Option<Arc<str>>,
}

impl State {
    pub(super) fn open(options: StoreOptions) -> Self {
        Self {
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last: 0,
            reads: TokenBucket::open(options.reads, options.burst, Duration::ZERO),
            writes: TokenBucket::open(options.writes, options.burst, Duration::ZERO),
            options,
            counts: NO_COUNTS,
            down: None,
            delay: Duration::ZERO,
            drop_next: 0,
            withheld_key: None,
        }
    }

    pub(super) fn set_limits(&mut self, options: StoreOptions, now: Duration) {
        self.reads = TokenBucket::open(options.reads, options.burst, now);
        self.writes = TokenBucket::open(options.writes, options.burst, now);
        self.options = options;
    }

    pub(super) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the version of a key, or 0 if it does not exist.
    pub(super) fn version(&self, key: &str) -> u64 {
        self.entry(key).map_or(0, |e| e.version)
    }

    /// Returns the keys with a prefix, in ascending order.
    pub(super) fn keys(&self, prefix: &str) -> Vec<Key> {
        let bounds = (Bound::Included(prefix), Bound::Unbounded);
        let from = self.entries.range::<str, _>(bounds);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, e)| Key {
                key: Arc::clone(key),
                version: e.version,
            })
            .collect()
    }

    /// Writes a key unconditionally and returns its version.
    pub(super) fn write(&mut self, key: &str, body: Bytes, lease: Option<u64>) -> u64 {
        let version = self.next();
        let entry = Entry {
            body,
            version,
            lease,
        };
        self.entries.insert(key.into(), entry);
        version
    }

    /// Removes a key and returns whether it existed.
    pub(super) fn remove(&mut self, key: &str) -> bool {
        self.entries.remove(key).is_some()
    }

    /// Returns whether a precondition holds for a key.
    pub(super) fn holds(&self, key: &str, precondition: Precondition) -> bool {
        match precondition {
            Precondition::Always => true,
            Precondition::Version(v) => self.version(key) == v,
        }
    }

    /// Grants a lease.
    pub(super) fn grant(&mut self, ttl: Duration, now: Duration) -> Lease {
        let id = self.next();
        self.leases.insert(id, (ttl, now + ttl));
        lease(id, ttl)
    }

    /// Renews a lease that has not expired.
    pub(super) fn renew(&mut self, id: u64, now: Duration) -> Option<Lease> {
        let (ttl, end) = self.leases.get_mut(&id)?;
        *end = now + *ttl;
        Some(lease(id, *ttl))
    }

    pub(super) fn has_lease(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Ends a lease, removes its keys and returns whether the lease existed.
    pub(super) fn end_lease(&mut self, id: u64) -> bool {
        self.entries.retain(|_, e| e.lease != Some(id));
        self.leases.remove(&id).is_some()
    }

    /// Ends expired leases and returns whether there were any.
    pub(super) fn expire_leases(&mut self, now: Duration) -> bool {
        let due = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in &due {
            self.end_lease(*id);
        }
        !due.is_empty()
    }

    /// Returns the time at which the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|(_, end)| *end).min()
    }

    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

fn lease(id: u64, ttl: Duration) -> Lease {
    Lease {
        id,
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
    }
}

const NO_COUNTS: StoreCounts = StoreCounts {
    conflicts: 0,
    failed: 0,
    leases: 0,
    limited: 0,
    listings: 0,
    lost: 0,
    reads: 0,
    watches: 0,
    writes: 0,
};
