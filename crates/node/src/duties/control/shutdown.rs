//! The steps of a graceful shutdown.

use std::time::Duration;

use dunlinrock_schema::settings::TimingSettings;

/// Time beyond the drain time of the settings for the ledger's last messages.
const MARGIN: Duration = Duration::from_secs(5);

/// A graceful shutdown.
///
/// 1. Other hosts are notified at once; lookups no longer return this host, and other hosts take
///    its pools over.
/// 2. The host keeps serving until the answers that callers have cached expire.
/// 3. Running requests end, and the ledger transfers its records.
/// 4. The host is removed from the platform's list, and the process ends.
///
/// Ending sooner would refuse connections of callers whose cached answer still contains this host;
/// for a request that is not idempotent, one of the two hosts of its key would then be missing.
#[derive(Clone, Debug)]
pub(super) struct Shutdown {
    since: Duration,
    step: u8,
    /// Whether the ledger has transferred its records.
    pub handed_over: bool,
    ended: Option<Duration>,
}

/// Next action of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// No action now.
    Wait,
    /// Let the ledger transfer its records, with this time limit for open requests.
    HandOver(Duration),
    /// Query whether the ledger has finished.
    AskLedger,
    /// Remove the host from the platform's list.
    Deregister,
}

impl Shutdown {
    pub(super) fn open(now: Duration) -> Shutdown {
        Shutdown {
            since: now,
            step: 0,
            handed_over: false,
            ended: None,
        }
    }

    /// Returns the duration of the shutdown, once it has ended.
    pub(super) fn drain_time(&self) -> Option<Duration> {
        self.ended.map(|at| at.saturating_sub(self.since))
    }

    pub(super) fn end(&mut self, now: Duration) {
        self.ended.get_or_insert(now);
    }

    /// Returns the next step. `busy` is whether a pool of this host still runs or queues requests.
    pub(super) fn step(&mut self, timing: &TimingSettings, busy: bool, now: Duration) -> Step {
        let elapsed = now.saturating_sub(self.since);
        let max_drain = Duration::from_millis(timing.drain_ms);
        // Peers compose answers with this host until they receive the notice, one heartbeat later.
        let cached = Duration::from_millis(timing.answer_ttl_ms + 2 * timing.heartbeat_ms);
        match self.step {
            0 if elapsed < cached => Step::Wait,
            0 => {
                self.step = 1;
                Step::HandOver(max_drain.saturating_sub(elapsed))
            }
            1 if (self.handed_over && !busy) || elapsed > max_drain + MARGIN => {
                self.step = 2;
                Step::Deregister
            }
            1 => Step::AskLedger,
            _ => Step::Wait,
        }
    }
}
