//! What a host gives out of the slices that it counts.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use dunlinrock_decide::admit::direct::{RateLimitConfig, TokenBucket, TokenGrant};
use dunlinrock_node::clock::{millis, since_boot};
use serde::{Deserialize, Serialize};

use super::MAX_GRANT_AGE;
use crate::replica::View;

/// What another host asks for: tokens by workspace.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Asked {
    /// Tokens wanted, by the name of the workspace.
    pub(crate) wants: BTreeMap<Arc<str>, u32>,
}

/// Why a host gives out nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum NotCounting {
    /// What it believes is too old.
    #[error("what is believed is too old")]
    Outdated,
    /// Its lease may have ended, and another host may count.
    #[error("the lease may have ended")]
    Unleased,
}

/// The slices that a host counts.
#[derive(Debug)]
pub(crate) struct Counter {
    /// Start of the process, as time since the machine's start.
    opened: Duration,
    buckets: Mutex<BTreeMap<Arc<str>, TokenBucket>>,
    /// Until when the host's lease has certainly not ended, as time since the machine's start, in
    /// milliseconds.
    leased: AtomicU64,
    /// When the host was last announced anew after its lease had ended, in the same way.
    announced: AtomicU64,
}

impl Counter {
    /// Opens a counter that has given out nothing.
    pub(crate) fn open() -> Counter {
        Counter {
            opened: since_boot(),
            buckets: Mutex::default(),
            leased: AtomicU64::new(0),
            announced: AtomicU64::new(0),
        }
    }

    /// Notes that the host was just announced, though it had been before: its lease had ended.
    pub(crate) fn announce_anew(&self) {
        let now = millis(since_boot());
        self.announced.store(now, Ordering::Relaxed);
    }

    /// Notes until when the host is certainly listed; zero ends it.
    pub(crate) fn lease_until(&self, until: Duration) {
        self.leased.store(millis(until), Ordering::Relaxed);
    }

    /// Gives out tokens; nothing of what another host counts, or nobody limits. `age` is that of what `view`
    /// holds, and taken before it.
    pub(crate) fn give(
        &self,
        me: &str,
        asked: &Asked,
        (age, view): (Duration, &View),
        rules: &RateLimitConfig,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, NotCounting> {
        let now = since_boot();
        if age > MAX_GRANT_AGE {
            return Err(NotCounting::Outdated);
        }
        if now >= Duration::from_millis(self.leased.load(Ordering::Relaxed)) {
            return Err(NotCounting::Unleased);
        }
        // The list that is believed may be from before the last lease ended.
        if now.saturating_sub(age) < Duration::from_millis(self.announced.load(Ordering::Relaxed)) {
            return Err(NotCounting::Unleased);
        }
        let mut given = BTreeMap::new();
        for (name, want) in &asked.wants {
            if view.limit_owners.may_grant(me, name, now) {
                let taken = self.take(name, *want, view, rules);
                given.extend(taken.map(|taken| (Arc::clone(name), taken)));
            }
        }
        Ok(given)
    }

    fn take(
        &self,
        name: &str,
        want: u32,
        view: &View,
        rules: &RateLimitConfig,
    ) -> Option<TokenGrant> {
        let workspace = view.config.as_ref()?.workspace(name);
        let workspace = workspace.filter(|w| w.is_limited())?;
        let (roster, now) = (&view.limit_owners, since_boot());
        let slice = rules.share(workspace.rate, workspace.burst, roster.shares().len());
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(Arc::clone(&workspace.name));
        let bucket =
            bucket.or_insert_with(|| TokenBucket::open(roster.stable_since().max(self.opened)));
        Some(bucket.take(&slice, want, now))
    }

    /// Forgets what this host does not count any more: others give it out meanwhile.
    pub(crate) fn keep(&self, me: &str, view: &View) {
        let now = since_boot();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        buckets.retain(|name, _| view.limit_owners.is_owner(me, name, now));
    }
}
