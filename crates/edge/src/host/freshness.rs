//! How old what a host believes is, and how old it may be.
//!
//! A host that is cut off does not hear that a key was taken away. Nobody can tell it, so it must
//! stop by itself: it serves callers by their keys only while what it believes is provably young.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use dunlinrock_node::clock::{millis, since_boot};

/// A store that is about to drop its history tells waiting hosts nothing for a second: an answer
/// without changes then confirms only what was so before that second.
const COMPACTION_SILENCE: Duration = Duration::from_millis(1200);

/// Allowance for clocks that run at different rates.
const CLOCK_SLACK: Duration = Duration::from_millis(300);

/// When what a host believes was last proved to be the store's word.
///
/// Invariant: the moment never falls.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Since the machine's start, in milliseconds.
    confirmed: AtomicU64,
}

impl Freshness {
    /// What is believed was the store's word at a moment, given as a time since the machine's start.
    ///
    /// That is when a call was *sent* which the store answered: an answer may be on its way for
    /// seconds.
    pub fn confirm(&self, at: Duration) {
        self.confirmed.fetch_max(millis(at), Ordering::Relaxed);
    }

    /// Time since then.
    pub fn age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed.load(Ordering::Relaxed));
        since_boot().saturating_sub(confirmed)
    }
}

/// The moment at which another host's answer was the store's word, where the call was sent at `sent` and took
/// `took`, and the other host says that it held the answer back for `held` and that its word had `age` then.
///
/// The answer was given no earlier than the call was sent and held back. How long it was on its way nobody
/// knows, so that this is what its age counts from.
pub fn confirmed_at(sent: Duration, took: Duration, held: Duration, age: Duration) -> Duration {
    (sent + held.min(took)).saturating_sub(age)
}

/// The greatest age at which callers are served by their keys, where a key that was taken away may
/// serve for `revoke` at most.
pub fn max_key_age(revoke: Duration) -> Duration {
    revoke.saturating_sub(COMPACTION_SILENCE + CLOCK_SLACK)
}
