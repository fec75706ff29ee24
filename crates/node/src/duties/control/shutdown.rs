//! The steps of a planned stop.

use std::time::Duration;

use dunlinrock_schema::settings::TimingSettings;

/// Time beyond the settings' drain time for the ledger's last words.
const MARGIN: Duration = Duration::from_secs(5);

/// A planned stop.
///
/// 1. Others are told at once; look-ups no longer name this host, its pools go to other owners.
/// 2. Answers that callers have cached are honoured until they have expired.
/// 3. What runs ends, and the ledger hands its records over.
/// 4. The host is taken off the list, and the process ends.
///
/// Ending sooner would meet callers with a refused connection while their answer still names this
/// host; a request that may not be repeated would then have one side of its key missing.
#[derive(Clone, Debug)]
pub(super) struct Shutdown {
    since: Duration,
    step: u8,
    /// Whether the ledger has handed its records over.
    pub handed_over: bool,
    ended: Option<Duration>,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing.
    Wait,
    /// Tell the ledger to hand its records over, with this time for open requests.
    HandOver(Duration),
    /// Look whether it has.
    AskLedger,
    /// Take the host off the list.
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

    /// Time the stop took, once it is over.
    pub(super) fn drain_time(&self) -> Option<Duration> {
        self.ended.map(|at| at.saturating_sub(self.since))
    }

    pub(super) fn end(&mut self, now: Duration) {
        self.ended.get_or_insert(now);
    }

    /// The next step; `busy` tells whether a pool of this host still runs or holds requests.
    pub(super) fn step(&mut self, timing: &TimingSettings, busy: bool, now: Duration) -> Step {
        let elapsed = now.saturating_sub(self.since);
        let max_drain = Duration::from_millis(timing.drain_ms);
        // A peer composes answers with this host until it has heard the word, a heartbeat later.
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
