//! The grants of a grantor that have not expired; they cannot be revoked.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Amounts of one grant: slots, and bytes per second of requests and responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct GrantAmount {
    pub(super) slots: f64,
    pub(super) request_bytes: f64,
    pub(super) answer_bytes: f64,
}

/// The unexpired grants of one host and service.
#[derive(Clone, Debug, Default)]
struct HostGrants {
    region: Arc<str>,
    /// Each with its expiry time.
    grants: Vec<(Duration, GrantAmount)>,
}

impl HostGrants {
    /// Returns the largest value of each amount: the grantee uses one of the grants, and the
    /// grantor does not know which.
    fn amount(&self) -> GrantAmount {
        let largest = |sum: GrantAmount, (_, grant): &(Duration, GrantAmount)| GrantAmount {
            slots: sum.slots.max(grant.slots),
            request_bytes: sum.request_bytes.max(grant.request_bytes),
            answer_bytes: sum.answer_bytes.max(grant.answer_bytes),
        };
        self.grants.iter().fold(GrantAmount::default(), largest)
    }
}

/// All unexpired grants, by host and service.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingGrants {
    grants: BTreeMap<(Arc<str>, Arc<str>), HostGrants>,
}

impl OutstandingGrants {
    /// Removes expired grants.
    pub(super) fn expire(&mut self, now: Duration) {
        for entry in self.grants.values_mut() {
            entry.grants.retain(|(expires_at, _)| *expires_at > now);
        }
        self.grants.retain(|_, entry| !entry.grants.is_empty());
    }

    pub(super) fn add(
        &mut self,
        key: (Arc<str>, Arc<str>),
        region: &Arc<str>,
        expires_at: Duration,
        amount: GrantAmount,
    ) {
        let entry = self.grants.entry(key).or_default();
        entry.region = region.clone();
        // An earlier grant that is not larger and expires no later adds nothing.
        entry.grants.retain(|(expiry, earlier)| {
            *expiry > expires_at
                || earlier.slots > amount.slots
                || earlier.request_bytes > amount.request_bytes
                || earlier.answer_bytes > amount.answer_bytes
        });
        entry.grants.push((expires_at, amount));
    }

    /// Returns the amount granted to one host for one service.
    pub(super) fn amount(&self, key: &(Arc<str>, Arc<str>)) -> GrantAmount {
        self.grants
            .get(key)
            .map(HostGrants::amount)
            .unwrap_or_default()
    }

    /// Iterates over service, region of the host, and amount.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, GrantAmount)> {
        let grants = self.grants.iter();
        grants.map(|((_, service), entry)| (service, &entry.region, entry.amount()))
    }
}
