//! The counters of a host.

/// A counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Look-ups answered.
    Lookups,
    /// Calls taken in.
    Calls,
    /// Calls answered with a target's whole answer.
    Answered,
    /// Calls told that they did not run.
    NotRun,
    /// Calls told that nobody knows whether they ran.
    Unknown,
    /// Calls told that they ran and the answer is gone.
    Ran,
    /// Requests run for other hosts.
    Runs,
    /// Ledger messages taken in.
    LedgerMessages,
    /// Control messages taken in.
    ControlMessages,
    /// Bytes of control messages taken in.
    ControlIn,
    /// Bytes of control messages sent.
    ControlOut,
    /// Bytes of steering messages taken in.
    SteerIn,
    /// Bytes of steering messages sent.
    SteerOut,
    /// Messages refused because their sender is no member.
    Strangers,
    /// Calls to the platform's store.
    StoreCalls,
    /// Calls to the platform's store that failed.
    StoreFailures,
    /// Configurations taken into force.
    Revisions,
}

/// All counters, in the order of their values.
pub const COUNTS: [Count; 17] = [
    Count::Lookups,
    Count::Calls,
    Count::Answered,
    Count::NotRun,
    Count::Unknown,
    Count::Ran,
    Count::Runs,
    Count::LedgerMessages,
    Count::ControlMessages,
    Count::ControlIn,
    Count::ControlOut,
    Count::SteerIn,
    Count::SteerOut,
    Count::Strangers,
    Count::StoreCalls,
    Count::StoreFailures,
    Count::Revisions,
];

impl Count {
    /// Name of the metric, after the prefix of the settings.
    pub fn name(self) -> &'static str {
        match self {
            Count::Lookups => "lookups",
            Count::Calls => "calls",
            Count::Answered => "calls.answered",
            Count::NotRun => "calls.not_run",
            Count::Unknown => "calls.unknown",
            Count::Ran => "calls.ran",
            Count::Runs => "peer.runs",
            Count::LedgerMessages => "peer.ledger",
            Count::ControlMessages => "peer.control",
            Count::ControlIn => "peer.control_in_bytes",
            Count::ControlOut => "peer.control_out_bytes",
            Count::SteerIn => "peer.steer_in_bytes",
            Count::SteerOut => "peer.steer_out_bytes",
            Count::Strangers => "peer.strangers",
            Count::StoreCalls => "store.calls",
            Count::StoreFailures => "store.failures",
            Count::Revisions => "revisions",
        }
    }
}
