//! Words that are on their way to all hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dunlinrock_schema::coord::{Quarantine, Rumor, Word};
use rapidhash::v3::rapidhash_v3;

use crate::wire;

/// Most words held at once: one for each of 2,400 hosts started together, and as many again.
const MOST: usize = 4096;
/// A quarantine with less time left than this is not passed on: it would end on arrival.
const LEAST_LEFT: Duration = Duration::from_millis(200);

/// A word, with the time at which it ends and the time until which it is remembered as ended.
#[derive(Clone, Debug)]
struct Kept {
    rumor: Rumor,
    ends: Duration,
    /// Longer than any other host passes it on, so that it does not come back as news.
    forget: Duration,
}

/// The words that a host holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Words {
    kept: BTreeMap<u64, Kept>,
}

impl Words {
    /// Takes a word; `false` for one that is known.
    ///
    /// A word carries the time it has left, so it ends at about the same time everywhere. If each
    /// host counted a time of its own from when it heard of it, hosts that ask each other for what
    /// they lack would hand an old word round for ever.
    pub(super) fn take(&mut self, rumor: &Rumor, now: Duration, memory: Duration) -> bool {
        let key = key(&rumor.word);
        let ends = now + Duration::from_millis(rumor.ttl_ms);
        if let Some(kept) = self.kept.get_mut(&key) {
            // The same request killed another target: the word starts anew.
            let renewed =
                matches!(rumor.word, Word::Quarantine(_)) && ends > kept.ends + LEAST_LEFT * 5;
            if renewed {
                kept.ends = ends;
                kept.forget = ends + memory;
            }
            return renewed;
        }
        if self.kept.len() >= MOST {
            return false;
        }
        let forget = ends + memory;
        let rumor = rumor.clone();
        self.kept.insert(
            key,
            Kept {
                rumor,
                ends,
                forget,
            },
        );
        true
    }

    pub(super) fn forget(&mut self, now: Duration) {
        self.kept.retain(|_, kept| now < kept.forget);
    }

    /// A sum over the words that have not ended; two hosts with the same words have the same.
    pub(super) fn sum(&self, now: Duration) -> u64 {
        self.live(now).fold(0, |sum, (key, _)| sum ^ key)
    }

    /// Keys of all words, ended ones too.
    pub(super) fn keys(&self) -> Vec<u64> {
        self.kept.keys().copied().collect()
    }

    /// Words that a host with these keys lacks.
    pub(super) fn lacking(&self, have: &BTreeSet<u64>, now: Duration) -> Vec<Rumor> {
        let lacks = |key: &u64| !have.contains(key);
        let live = self.live(now).filter(|(key, _)| lacks(key));
        live.map(|(_, kept)| left(kept, now)).collect()
    }

    /// Quarantines in force, with the time that they have left.
    pub(super) fn quarantines(&self, now: Duration) -> Vec<Quarantine> {
        let live = self.kept.values().filter(|kept| now < kept.ends);
        live.filter_map(|kept| match left(kept, now).word {
            Word::Quarantine(word) => Some(word),
            _ => None,
        })
        .collect()
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (u64, &Kept)> {
        let live = move |kept: &&Kept| now + LEAST_LEFT < kept.ends;
        let pairs = self.kept.iter().map(|(key, kept)| (*key, kept));
        pairs.filter(move |(_, kept)| live(kept))
    }
}

fn left(kept: &Kept, now: Duration) -> Rumor {
    let mut rumor = kept.rumor.clone();
    rumor.ttl_ms = kept.ends.saturating_sub(now).as_millis() as u64;
    if let Word::Quarantine(word) = &mut rumor.word {
        word.ttl_ms = rumor.ttl_ms;
    }
    rumor
}

/// Names a word; the time left is no part of it.
fn key(word: &Word) -> u64 {
    let mut word = word.clone();
    if let Word::Quarantine(word) = &mut word {
        word.ttl_ms = 0;
    }
    rapidhash_v3(&wire::encode(&word))
}
