//! Runs of one host at one target, to tell which of them a crash of the target ended.
//!
//! A run without a response does not prove a crash: its connection may have broken, or the target
//! may be slow. Such runs are kept until the target answers another request, which proves that it
//! lives, or until it turns out to be gone.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::CrashedRun;

/// Maximum number of runs without a response that are kept for a target.
const MAX_UNANSWERED: usize = 32;

/// How long a run without a response is kept. A target that is gone is found out within this time
/// by the next request for it.
const UNANSWERED_TTL: Duration = Duration::from_secs(6);

/// A response that arrives this soon after a run ended may have been sent before the end: the two
/// come on different connections.
const REORDERING: Duration = Duration::from_millis(20);

/// Identifies a run that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunTicket(u64);

/// Runs of one host at one target.
///
/// Invariant: at most 32 runs without a response.
#[derive(Debug, Default)]
pub struct TargetRuns {
    next: u64,
    running: BTreeMap<RunTicket, CrashedRun>,
    /// Runs that ended without a response, with the time of their end.
    unanswered: VecDeque<(Duration, CrashedRun)>,
    /// When the target last sent a complete response.
    answered_at: Option<Duration>,
}

impl TargetRuns {
    /// Opens the runs of a target that has none.
    pub fn open() -> TargetRuns {
        TargetRuns::default()
    }

    /// Records that a request is sent.
    pub fn start(&mut self, fingerprint: u64, now: Duration) -> RunTicket {
        let ticket = RunTicket(self.next);
        self.next += 1;
        let since = now;
        let run = CrashedRun { fingerprint, since };
        self.running.insert(ticket, run);
        ticket
    }

    /// Records that a request turned out not to be sent.
    pub fn withdraw(&mut self, ticket: RunTicket) {
        self.running.remove(&ticket);
    }

    /// Records a complete response: the target lives.
    pub fn finish(&mut self, ticket: RunTicket, now: Duration) {
        self.running.remove(&ticket);
        self.confirm_alive(now);
    }

    /// Records that the target lives, so that no run that ended before has crashed it.
    pub fn confirm_alive(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.unanswered
            .retain(|(ended, _)| now < *ended + REORDERING);
    }

    /// Records that a run ended without a response.
    pub fn abandon(&mut self, ticket: RunTicket, now: Duration) {
        let run = self.running.remove(&ticket);
        self.unanswered.extend(run.map(|run| (now, run)));
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
    }

    /// Whether the target has sent no response for this long.
    pub fn is_silent(&self, time: Duration, now: Duration) -> bool {
        self.answered_at.is_none_or(|at| at + time <= now)
    }

    /// Takes the runs that the end of the target's process ended, and when the first of them did.
    pub fn crash(&mut self, now: Duration) -> (Vec<CrashedRun>, Duration) {
        let unanswered = std::mem::take(&mut self.unanswered);
        let recent = unanswered
            .into_iter()
            .filter(|(ended, _)| now < *ended + UNANSWERED_TTL);
        let (mut runs, mut at) = (Vec::new(), now);
        for (ended, run) in recent {
            at = at.min(ended);
            runs.push(run);
        }
        runs.extend(std::mem::take(&mut self.running).into_values());
        (runs, at)
    }
}
