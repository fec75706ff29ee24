//! Limits of a ledger, and fault injection for tests.

use std::time::Duration;

/// Capacities, timeouts and intervals of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Maximum number of records. A full ledger refuses new requests before they run, and claims.
    pub max_records: usize,
    /// Maximum total size of cached answers in bytes. Beyond it, the oldest answers are evicted.
    pub answer_bytes: usize,
    /// Maximum size of an answer that is cached for replay, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of attempts that wait for one key.
    pub max_waiters: usize,
    /// Time that the owner waits for the witness's answer to a claim before it closes the key.
    pub claim_timeout: Duration,
    /// Time that a participant waits for the other one's answer before it refuses with `unknown`.
    pub answer_timeout: Duration,
    /// Time after which an unanswered message is resent; doubles with each further resend.
    pub resend_interval: Duration,
    /// Length of an epoch. A key is valid for `retained_epochs - 1` to `retained_epochs` epochs
    /// after its look-up. This has to cover the time for which a look-up is cached and a caller
    /// retries.
    pub epoch_length: Duration,
    /// Number of active epochs, including the current one. At least 2, or a key could expire as the
    /// look-up returns it.
    ///
    /// `max_records` has to suffice for the requests of `epoch_length * retained_epochs`: each
    /// keyed request takes two records, one at each participant.
    pub retained_epochs: u64,
    /// Time for which a stopping host resends its records to peers that do not answer.
    pub handover_timeout: Duration,
    /// Maximum number of records in a part of a handover.
    pub part_records: usize,
    /// Maximum size of the answers in a part of a handover, in bytes. A longer answer is sent in a
    /// part of its own.
    pub part_bytes: usize,
    /// Injected faults for tests. All are off in production.
    pub faults: Faults,
}

impl Limits {
    /// Returns the time to the first resend of a message, at least 1 ms: zero would resend it in an
    /// endless loop.
    pub(crate) fn nonzero_resend_interval(&self) -> Duration {
        self.resend_interval.max(Duration::from_millis(1))
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_records: 200_000,
            answer_bytes: 64 << 20,
            max_answer_bytes: 64 << 10,
            max_waiters: 8,
            claim_timeout: Duration::from_millis(250),
            answer_timeout: Duration::from_secs(5),
            resend_interval: Duration::from_millis(100),
            epoch_length: Duration::from_secs(120),
            retained_epochs: 3,
            handover_timeout: Duration::from_secs(3),
            part_records: 256,
            part_bytes: 64 << 10,
            faults: Faults::default(),
        }
    }
}

/// Injected faults, for tests only. Each one removes a safeguard, so that a test of the protocol
/// can show that it detects the violation. Never set in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Faults {
    /// The owner dispatches a request without asking for the claim.
    pub skip_claim: bool,
    /// An owner that closed a key refuses with `no`, whatever earlier attempts the caller states.
    pub ignore_attempts: bool,
    /// The witness runs a request that the owner has claimed.
    pub run_claimed: bool,
    /// The record of a key whose request did not run is removed instead of closed.
    pub reopen: bool,
    /// Keys of expired epochs are accepted as new.
    pub any_epoch: bool,
    /// Answers are replayed to any caller that has the key.
    pub any_caller: bool,
    /// A handover counts as complete after its first part.
    pub first_part: bool,
    /// A handed-over record that exceeds the capacity is dropped, and its part acknowledged.
    pub lose_handed: bool,
    /// A ledger that was full accepts keys that it refused before, once it has capacity again.
    pub forget_full: bool,
    /// A stopping host accepts new keys.
    pub take_leaving: bool,
    /// A claim that timed out stays open, and a late grant is used.
    pub late_grant: bool,
}
