//! What targets say about themselves in their responses: that they are leaving, and for how long
//! they want no requests of this host.
//!
//! A notice binds the host that gets it, at once, whatever is announced elsewhere, and for as long
//! as the target's process lives. So it is kept by process: it outlasts an announcement that lapses
//! and returns, and says nothing about another process at the same address.
//!
//! After a backoff the host sends one request at a time, and one more with each response. The
//! requests that waited for the end of the backoff would otherwise arrive at once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Maximum number of processes with notices. Beyond it, the one that was heard from longest ago is
/// forgotten.
const MAX_PROCESSES: usize = 4096;

/// A target's process. A target that restarts under its id is another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Id of the target.
    pub id: Arc<str>,
    /// When it started, as announced.
    pub born: u64,
}

/// Whether a target takes a request of this host now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It does.
    Open,
    /// It is leaving, and takes none any more.
    Leaving,
    /// It takes none for this time.
    Backoff(Duration),
    /// Its backoff has ended, and it takes one when another of this host has ended.
    Ramping,
}

/// What one process has said.
#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    is_leaving: bool,
    /// End of the backoff; zero if there was none.
    backoff_until: Duration,
    /// Requests that it may have in flight after its backoff; `None` without a limit.
    window: Option<u32>,
    heard_at: Duration,
}

impl Notice {
    fn is_empty(&self, now: Duration) -> bool {
        !self.is_leaving && self.window.is_none() && self.backoff_until <= now
    }

    fn admission(&self, in_flight: u32, now: Duration) -> Admission {
        match self.window {
            _ if self.is_leaving => Admission::Leaving,
            _ if now < self.backoff_until => Admission::Backoff(self.backoff_until - now),
            Some(window) if in_flight >= window => Admission::Ramping,
            _ => Admission::Open,
        }
    }
}

/// Notices of all targets to one host.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    known: BTreeMap<Process, Notice>,
}

impl Notices {
    /// Opens the notices of targets that have said nothing.
    pub fn open() -> Notices {
        Notices::default()
    }

    /// Records that a process is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, process: Process, now: Duration) -> bool {
        let notice = self.heard(process, now);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that a process wants no requests for a time; a shorter time than what remains of an
    /// earlier one changes nothing. Returns whether a backoff begins.
    pub fn record_backoff(&mut self, process: Process, time: Duration, now: Duration) -> bool {
        if time.is_zero() {
            return false;
        }
        let notice = self.heard(process, now);
        let begins = notice.backoff_until <= now;
        notice.backoff_until = notice.backoff_until.max(now.saturating_add(time));
        notice.window = Some(1);
        begins
    }

    /// Records that a process with this many slots has answered a request.
    pub fn record_answer(&mut self, process: &Process, slots: u32, now: Duration) {
        let Some(notice) = self.known.get_mut(process) else {
            return;
        };
        // Until its end, requests are answered that were sent before it began.
        if now >= notice.backoff_until {
            let wider = notice.window.map(|window| window + 1);
            notice.window = wider.filter(|window| *window < slots);
        }
        if notice.is_empty(now) {
            self.known.remove(process);
        }
    }

    /// Returns whether a process takes a request now, while it has `in_flight` requests of this
    /// host.
    pub fn admission(&self, process: &Process, in_flight: u32, now: Duration) -> Admission {
        let notice = self.known.get(process);
        notice.map_or(Admission::Open, |notice| notice.admission(in_flight, now))
    }

    /// Whether no process has said anything that still holds.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the processes that are leaving or in backoff, with the time that remains.
    pub fn closed(&self, now: Duration) -> Vec<(Process, Admission)> {
        let all = self.known.iter().map(|(process, notice)| {
            let admission = notice.admission(0, now);
            (process.clone(), admission)
        });
        all.filter(|(_, admission)| *admission != Admission::Open)
            .collect()
    }

    fn heard(&mut self, process: Process, now: Duration) -> &mut Notice {
        if self.known.len() >= MAX_PROCESSES && !self.known.contains_key(&process) {
            self.make_room(now);
        }
        let notice = self.known.entry(process).or_default();
        notice.heard_at = now;
        notice
    }

    /// Forgets what no longer holds, or else the notice that is oldest.
    fn make_room(&mut self, now: Duration) {
        self.known.retain(|_, notice| !notice.is_empty(now));
        if self.known.len() < MAX_PROCESSES {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, n)| n.heard_at);
        if let Some(process) = oldest.map(|(process, _)| process.clone()) {
            self.known.remove(&process);
        }
    }
}
