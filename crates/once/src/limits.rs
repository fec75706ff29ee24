//! Limits of a ledger.

use std::time::Duration;

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limits {
    /// Most records. A full ledger turns requests away before they start, and refuses claims.
    pub max_records: usize,
    /// Most bytes of answers held for replay. The oldest answers are dropped beyond it.
    pub answer_bytes: usize,
    /// Longest answer that is held for replay, in bytes.
    pub max_answer_bytes: usize,
    /// Most attempts that wait for one key.
    pub max_waiters: usize,
    /// How long the owner waits for the witness's word on a claim before it closes the key.
    pub claim_timeout: Duration,
    /// How long a side waits for the other's answer before it says `unknown`.
    pub answer_timeout: Duration,
    /// Time after which an unanswered message is sent again; doubles with each further one.
    pub resend_interval: Duration,
    /// Length of an epoch. A key is served for `retained_epochs - 1` to `retained_epochs` of them after its
    /// look-up, which has to cover the time a look-up is cached and a caller goes on trying.
    pub epoch_length: Duration,
    /// Epochs held, the present one included. At least 2, or a key could end as it is given out.
    ///
    /// `records` has to hold what comes in `epoch_length * retained_epochs`: two records, one on each
    /// side, for each keyed request.
    pub retained_epochs: u64,
    /// How long a stopping host offers its records to peers that do not answer.
    pub handover_timeout: Duration,
    /// Most records in a part of a hand-over.
    pub part_records: usize,
    /// Most answer bytes in a part of a hand-over, but for a single answer that is longer.
    pub part_bytes: usize,
    /// Faults to switch on in checks. All off in service.
    pub faults: Faults,
}

impl Limits {
    /// Time to the first repetition of a message; never zero, which would repeat it without end.
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

/// Deliberate faults, for checks only: each removes one safeguard, so that a check of the protocol
/// can show that it finds the loss. Never set in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Faults {
    /// The owner sends without asking for the claim.
    pub skip_claim: bool,
    /// A closed owner says `no` whatever the caller states of its attempts.
    pub ignore_attempts: bool,
    /// The witness runs a request that the owner has claimed.
    pub run_claimed: bool,
    /// A key whose request was not run is forgotten instead of closed.
    pub reopen: bool,
    /// Keys of epochs that are no longer held are taken as new.
    pub any_epoch: bool,
    /// Answers are replayed to any caller that knows the key.
    pub any_caller: bool,
    /// The first part of a hand-over counts as the whole.
    pub first_part: bool,
    /// A record that is handed over and finds no room is dropped, and its part acknowledged.
    pub lose_handed: bool,
    /// A full ledger takes the keys that it turned away once it has room.
    pub forget_full: bool,
    /// A stopping host goes on taking keys.
    pub take_leaving: bool,
    /// A claim that had no answer in time is kept open, and a late grant is used.
    pub late_grant: bool,
}
