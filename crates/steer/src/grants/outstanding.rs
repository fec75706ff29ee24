//! What a grantor has lent and cannot take back before it ends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Amounts of one grant: slots, and bytes a second of requests and of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct GrantAmount {
    pub(super) slots: f64,
    pub(super) request_bytes: f64,
    pub(super) answer_bytes: f64,
}

/// Grants of one host and service that may still be used.
#[derive(Clone, Debug, Default)]
struct HostGrants {
    region: Arc<str>,
    /// With the times at which they end.
    grants: Vec<(Duration, GrantAmount)>,
}

impl HostGrants {
    /// The grantee goes by one of the grants, and which one is not known: each amount counts by its
    /// largest.
    fn amount(&self) -> GrantAmount {
        let largest = |sum: GrantAmount, (_, grant): &(Duration, GrantAmount)| GrantAmount {
            slots: sum.slots.max(grant.slots),
            request_bytes: sum.request_bytes.max(grant.request_bytes),
            answer_bytes: sum.answer_bytes.max(grant.answer_bytes),
        };
        self.grants.iter().fold(GrantAmount::default(), largest)
    }
}

/// All grants that may still be used.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingGrants {
    grants: BTreeMap<(Arc<str>, Arc<str>), HostGrants>,
}

impl OutstandingGrants {
    /// Forgets grants that have ended.
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
        // An earlier grant that is not larger and ends no later adds nothing.
        entry.grants.retain(|(expiry, earlier)| {
            *expiry > expires_at
                || earlier.slots > amount.slots
                || earlier.request_bytes > amount.request_bytes
                || earlier.answer_bytes > amount.answer_bytes
        });
        entry.grants.push((expires_at, amount));
    }

    /// What is lent to one host for one service.
    pub(super) fn amount(&self, key: &(Arc<str>, Arc<str>)) -> GrantAmount {
        self.grants
            .get(key)
            .map(HostGrants::amount)
            .unwrap_or_default()
    }

    /// All lines: host, service, region of the host, amount.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, GrantAmount)> {
        let grants = self.grants.iter();
        grants.map(|((_, service), entry)| (service, &entry.region, entry.amount()))
    }
}
