//! The counters of a host.

/// A counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
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
    UnknownSenders,
    /// Calls to the platform's store.
    StoreCalls,
    /// Calls to the platform's store that failed.
    StoreFailures,
    /// Configurations taken into force.
    Revisions,
}

/// All counters, in the order of their values.
pub const COUNTERS: [Counter; 17] = [
    Counter::Lookups,
    Counter::Calls,
    Counter::Answered,
    Counter::NotRun,
    Counter::Unknown,
    Counter::Ran,
    Counter::Runs,
    Counter::LedgerMessages,
    Counter::ControlMessages,
    Counter::ControlIn,
    Counter::ControlOut,
    Counter::SteerIn,
    Counter::SteerOut,
    Counter::UnknownSenders,
    Counter::StoreCalls,
    Counter::StoreFailures,
    Counter::Revisions,
];

impl Counter {
    /// Name of the metric, after the prefix of the settings.
    pub fn name(self) -> &'static str {
        match self {
            Counter::Lookups => "lookups",
            Counter::Calls => "calls",
            Counter::Answered => "calls.answered",
            Counter::NotRun => "calls.not_run",
            Counter::Unknown => "calls.unknown",
            Counter::Ran => "calls.ran",
            Counter::Runs => "peer.runs",
            Counter::LedgerMessages => "peer.ledger",
            Counter::ControlMessages => "peer.control",
            Counter::ControlIn => "peer.control_in_bytes",
            Counter::ControlOut => "peer.control_out_bytes",
            Counter::SteerIn => "peer.steer_in_bytes",
            Counter::SteerOut => "peer.steer_out_bytes",
            Counter::UnknownSenders => "peer.strangers",
            Counter::StoreCalls => "store.calls",
            Counter::StoreFailures => "store.failures",
            Counter::Revisions => "revisions",
        }
    }
}
