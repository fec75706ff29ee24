//! Freshness of a host's replica, and the limit for serving callers by their keys.
//!
//! A host that is cut off does not receive the revocation of a key, and no other host can tell it.
//! So it must stop by itself: it serves callers by their keys only while its replica is certainly
//! fresh.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use dunlinrock_node::clock::{millis, since_boot};

/// A store that is about to compact its history sends waiting hosts no changes for a second: a
/// response without changes then only confirms the state before that second.
const COMPACTION_SILENCE: Duration = Duration::from_millis(1200);

/// Allowance for clocks that run at different rates.
const CLOCK_SLACK: Duration = Duration::from_millis(300);

/// Time at which the store last confirmed the replica.
///
/// Invariant: it never decreases.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Since the machine's start, in milliseconds.
    confirmed: AtomicU64,
}

impl Freshness {
    /// Records that the replica matched the store at a moment, given as time since the machine's
    /// start.
    ///
    /// For a call to the store that is when the call was *sent*: a response may be on its way for
    /// seconds.
    pub fn confirm(&self, at: Duration) {
        self.confirmed.fetch_max(millis(at), Ordering::Relaxed);
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed.load(Ordering::Relaxed));
        since_boot().saturating_sub(confirmed)
    }
}

/// Returns when the store last confirmed the data in another host's response. The call was sent at
/// `sent` and took `took`; the other host reports that it held the response for `held` and that its
/// replica had the age `age` when it answered.
///
/// The response was sent no earlier than `held` after the call. How long it was on its way is
/// unknown, so its age counts from then.
pub fn confirmed_at(sent: Duration, took: Duration, held: Duration, age: Duration) -> Duration {
    (sent + held.min(took)).saturating_sub(age)
}

/// Returns the maximum age of the replica with which callers are served by their keys, if a
/// revoked key may be accepted for at most `revoke`.
pub fn max_key_age(revoke: Duration) -> Duration {
    revoke.saturating_sub(COMPACTION_SILENCE + CLOCK_SLACK)
}
