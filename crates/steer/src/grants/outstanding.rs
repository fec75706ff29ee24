//! What a grantor has lent and cannot take back before it ends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Amounts of one grant: slots, and bytes a second of requests and of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Amount {
    pub(super) slots: f64,
    pub(super) request_bytes: f64,
    pub(super) answer_bytes: f64,
}

/// Grants of one host and service that may still be used.
#[derive(Clone, Debug, Default)]
struct Line {
    region: Arc<str>,
    /// With the times at which they end.
    grants: Vec<(Duration, Amount)>,
}

impl Line {
    /// The grantee goes by one of the grants, and which one is not known: each amount counts by its
    /// largest.
    fn amount(&self) -> Amount {
        let largest = |sum: Amount, (_, grant): &(Duration, Amount)| Amount {
            slots: sum.slots.max(grant.slots),
            request_bytes: sum.request_bytes.max(grant.request_bytes),
            answer_bytes: sum.answer_bytes.max(grant.answer_bytes),
        };
        self.grants.iter().fold(Amount::default(), largest)
    }
}

/// All grants that may still be used.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    lines: BTreeMap<(Arc<str>, Arc<str>), Line>,
}

impl Book {
    /// Forgets grants that have ended.
    pub(super) fn expire(&mut self, now: Duration) {
        for line in self.lines.values_mut() {
            line.grants.retain(|(until, _)| *until > now);
        }
        self.lines.retain(|_, line| !line.grants.is_empty());
    }

    pub(super) fn add(
        &mut self,
        key: (Arc<str>, Arc<str>),
        region: &Arc<str>,
        until: Duration,
        amount: Amount,
    ) {
        let line = self.lines.entry(key).or_default();
        line.region = region.clone();
        // An earlier grant that is not larger and ends no later adds nothing.
        line.grants.retain(|(end, earlier)| {
            *end > until
                || earlier.slots > amount.slots
                || earlier.request_bytes > amount.request_bytes
                || earlier.answer_bytes > amount.answer_bytes
        });
        line.grants.push((until, amount));
    }

    /// What is lent to one host for one service.
    pub(super) fn lent(&self, key: &(Arc<str>, Arc<str>)) -> Amount {
        self.lines.get(key).map(Line::amount).unwrap_or_default()
    }

    /// All lines: host, service, region of the host, amount.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, Amount)> {
        let lines = self.lines.iter();
        lines.map(|((_, service), line)| (service, &line.region, line.amount()))
    }
}
