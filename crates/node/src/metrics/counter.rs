//! Counters of a host.

/// A counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Lookups answered.
    Lookups,
    /// Calls received.
    Calls,
    /// Calls answered with a target's complete response.
    Answered,
    /// Calls answered with `run: no`: they did not run.
    NotRun,
    /// Calls answered with `run: unknown`: they may have run.
    Unknown,
    /// Calls answered with `run: yes`: they ran, and the response is lost.
    Ran,
    /// Requests run for other hosts.
    Runs,
    /// Ledger messages received.
    LedgerMessages,
    /// Control messages received.
    ControlMessages,
    /// Bytes of control messages received.
    ControlIn,
    /// Bytes of control messages sent.
    ControlOut,
    /// Bytes of steering messages received.
    SteerIn,
    /// Bytes of steering messages sent.
    SteerOut,
    /// Messages refused because their sender is not a member.
    UnknownSenders,
    /// Calls to the platform's store.
    StoreCalls,
    /// Calls to the platform's store that failed.
    StoreFailures,
    /// Configurations activated.
    Revisions,
}

/// All counters, in the order of their discriminants.
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
    /// Returns the name of the metric, which follows the prefix of the settings.
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
