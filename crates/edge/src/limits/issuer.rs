//! Grants tokens of the limit shares that this host owns.

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

/// A request of another host for tokens.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub(crate) struct TokenRequest {
    /// Tokens wanted, by name of the workspace.
    pub(crate) wants: BTreeMap<Arc<str>, u32>,
}

/// Why a host grants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum GrantError {
    /// Its replica is too old.
    #[error("what is believed is too old")]
    Stale,
    /// Its lease may have expired, and another host may be the owner.
    #[error("the lease may have ended")]
    NoLease,
}

/// Issues tokens of the limit shares that this host owns.
#[derive(Debug)]
pub(crate) struct TokenIssuer {
    /// Start of the process, as time since the machine's start.
    started_at: Duration,
    buckets: Mutex<BTreeMap<Arc<str>, TokenBucket>>,
    /// Until when the host's lease has certainly not expired, as time since the machine's start, in
    /// milliseconds.
    lease_end: AtomicU64,
    /// When the host was last re-announced after its lease had expired, in the same unit.
    reannounced_at: AtomicU64,
}

impl TokenIssuer {
    /// Creates an issuer that has granted nothing.
    pub(crate) fn open() -> TokenIssuer {
        TokenIssuer {
            started_at: since_boot(),
            buckets: Mutex::default(),
            lease_end: AtomicU64::new(0),
            reannounced_at: AtomicU64::new(0),
        }
    }

    /// Records that the host was just re-announced after its lease had expired.
    pub(crate) fn note_reannounced(&self) {
        let now = millis(since_boot());
        self.reannounced_at.store(now, Ordering::Relaxed);
    }

    /// Records until when the host's lease certainly lasts; zero ends it.
    pub(crate) fn set_lease_end(&self, until: Duration) {
        self.lease_end.store(millis(until), Ordering::Relaxed);
    }

    /// Grants tokens; none of limit shares that another host owns or of workspaces without a limit.
    /// `age` is the age of `view`, and must be read before it.
    pub(crate) fn grant(
        &self,
        me: &str,
        request: &TokenRequest,
        (age, view): (Duration, &View),
        rules: &RateLimitConfig,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, GrantError> {
        let now = since_boot();
        if age > MAX_GRANT_AGE {
            return Err(GrantError::Stale);
        }
        if now >= Duration::from_millis(self.lease_end.load(Ordering::Relaxed)) {
            return Err(GrantError::NoLease);
        }
        // The replica's list of hosts may be from before the last lease expired.
        if now.saturating_sub(age)
            < Duration::from_millis(self.reannounced_at.load(Ordering::Relaxed))
        {
            return Err(GrantError::NoLease);
        }
        let mut grants = BTreeMap::new();
        for (name, want) in &request.wants {
            if view.limit_owners.may_grant(me, name, now) {
                let grant = self.grant_one(name, *want, view, rules);
                grants.extend(grant.map(|grant| (Arc::clone(name), grant)));
            }
        }
        Ok(grants)
    }

    fn grant_one(
        &self,
        name: &str,
        want: u32,
        view: &View,
        rules: &RateLimitConfig,
    ) -> Option<TokenGrant> {
        let workspace = view.config.as_ref()?.workspace(name);
        let workspace = workspace.filter(|w| w.is_limited())?;
        let (owners, now) = (&view.limit_owners, since_boot());
        let share = rules.share(workspace.rate, workspace.burst, owners.shares().len());
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(Arc::clone(&workspace.name));
        let bucket =
            bucket.or_insert_with(|| TokenBucket::open(owners.stable_since().max(self.started_at)));
        Some(bucket.take(&share, want, now))
    }

    /// Drops the buckets of limit shares that this host no longer owns: other hosts grant from them
    /// meanwhile.
    pub(crate) fn retain_owned(&self, me: &str, view: &View) {
        let now = since_boot();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        buckets.retain(|name, _| view.limit_owners.is_owner(me, name, now));
    }
}
