//! Store of the rumors that are being distributed to all hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dunlinrock_schema::coord::{Quarantine, Rumor, Word};
use rapidhash::v3::rapidhash_v3;

use crate::wire;

/// Maximum number of stored rumors: one for each of 2,400 hosts started together, and about as many
/// again.
const MAX_RUMORS: usize = 4096;
/// A quarantine with less remaining time than this is not relayed: it would expire on arrival.
const MIN_REMAINING: Duration = Duration::from_millis(200);

/// A rumor with the time of its expiry and the time until which its key is remembered.
#[derive(Clone, Debug)]
struct StoredRumor {
    rumor: Rumor,
    expires_at: Duration,
    /// Later than any other host relays the rumor, so that it is not accepted as new again.
    forget_at: Duration,
}

/// Rumors of one host, by key.
#[derive(Clone, Debug, Default)]
pub(super) struct RumorStore {
    rumors: BTreeMap<u64, StoredRumor>,
}

impl RumorStore {
    /// Stores a rumor; returns `false` if it is already known.
    ///
    /// A rumor carries its remaining time, so it expires at about the same time everywhere. If each
    /// host counted the time from its own receipt, hosts that exchange missing rumors would relay
    /// an old one endlessly.
    pub(super) fn insert(&mut self, rumor: &Rumor, now: Duration, retention: Duration) -> bool {
        let key = key(&rumor.word);
        let expires_at = now + Duration::from_millis(rumor.ttl_ms);
        if let Some(stored) = self.rumors.get_mut(&key) {
            // The same request killed another target: the quarantine starts again.
            let extended = matches!(rumor.word, Word::Quarantine(_))
                && expires_at > stored.expires_at + MIN_REMAINING * 5;
            if extended {
                stored.expires_at = expires_at;
                stored.forget_at = expires_at + retention;
            }
            return extended;
        }
        if self.rumors.len() >= MAX_RUMORS {
            return false;
        }
        let forget_at = expires_at + retention;
        let rumor = rumor.clone();
        self.rumors.insert(
            key,
            StoredRumor {
                rumor,
                expires_at,
                forget_at,
            },
        );
        true
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.rumors.retain(|_, stored| now < stored.forget_at);
    }

    /// Returns a checksum of the rumors that have not expired; equal for two hosts with the same
    /// rumors.
    pub(super) fn checksum(&self, now: Duration) -> u64 {
        self.live(now).fold(0, |sum, (key, _)| sum ^ key)
    }

    /// Returns the keys of all rumors, including expired ones.
    pub(super) fn keys(&self) -> Vec<u64> {
        self.rumors.keys().copied().collect()
    }

    /// Returns the rumors that a host with these keys lacks.
    pub(super) fn missing_from(&self, have: &BTreeSet<u64>, now: Duration) -> Vec<Rumor> {
        let lacks = |key: &u64| !have.contains(key);
        let live = self.live(now).filter(|(key, _)| lacks(key));
        live.map(|(_, stored)| with_remaining_ttl(stored, now))
            .collect()
    }

    /// Returns the active quarantines with their remaining time.
    pub(super) fn quarantines(&self, now: Duration) -> Vec<Quarantine> {
        let live = self
            .rumors
            .values()
            .filter(|stored| now < stored.expires_at);
        live.filter_map(|stored| match with_remaining_ttl(stored, now).word {
            Word::Quarantine(quarantine) => Some(quarantine),
            _ => None,
        })
        .collect()
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (u64, &StoredRumor)> {
        let live = move |stored: &&StoredRumor| now + MIN_REMAINING < stored.expires_at;
        let pairs = self.rumors.iter().map(|(key, stored)| (*key, stored));
        pairs.filter(move |(_, stored)| live(stored))
    }
}

fn with_remaining_ttl(stored: &StoredRumor, now: Duration) -> Rumor {
    let mut rumor = stored.rumor.clone();
    rumor.ttl_ms = stored.expires_at.saturating_sub(now).as_millis() as u64;
    if let Word::Quarantine(quarantine) = &mut rumor.word {
        quarantine.ttl_ms = rumor.ttl_ms;
    }
    rumor
}

/// Returns the key of a rumor; the remaining time is not part of it.
fn key(word: &Word) -> u64 {
    let mut word = word.clone();
    if let Word::Quarantine(quarantine) = &mut word {
        quarantine.ttl_ms = 0;
    }
    rapidhash_v3(&wire::encode(&word))
}
