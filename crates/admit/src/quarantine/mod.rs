//! Quarantine of requests that crash the targets that run them.
//!
//! A request that crashes the process that runs it is often sent again, by its caller or by a
//! retry. Without quarantine it takes down one target after the other.
//!
//! After a crash, all requests that ran on the target are suspects, because any of them may have
//! caused it. A run that succeeds clears its request. A second crash confirms a suspect as the cause
//! if it was the only suspect on the target. A crash counts as the second one only if the run began
//! after the first crash was known: when a whole failure domain goes down at once, many targets crash
//! under popular requests, and none of that is evidence against the requests. Nor is a crash that a
//! confirmed request explains evidence against those beside it.
//!
//! A pool runs a suspect alone on its target, so that a request that only shared a crash is cleared
//! by its next run. A host that sends straight to targets cannot, since other hosts use the same
//! ones; it leaves out requests that have lately succeeded ([`RecentSuccesses`]).
//!
//! Hosts exchange [`QuarantineUpdate`]s, so that a resend through another host meets the same
//! record. An update is idempotent, and every record expires: a request that was confirmed wrongly,
//! or whose cause has been fixed, is admitted again.

mod recent_successes;
mod target_runs;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::{
    recent_successes::RecentSuccesses,
    target_runs::{RunTicket, TargetRuns},
};

/// Maximum number of records; beyond it the weakest and oldest is evicted. A crash leaves as many
/// suspects as a target has slots, 3 to 8, so this is enough for 30 crashes within the time to live
/// of a suspect.
pub(crate) const MAX_RECORDS: usize = 256;

/// Times to live of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineTtls {
    /// Of a suspect's record: longer than callers wait before they send again.
    pub suspect: Duration,
    /// Of a confirmed request: long enough for the on-call engineer to act.
    pub confirmed: Duration,
}

impl Default for QuarantineTtls {
    fn default() -> QuarantineTtls {
        QuarantineTtls {
            suspect: Duration::from_secs(300),
            confirmed: Duration::from_secs(1800),
        }
    }
}

/// Status of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineStatus {
    /// Ran on a target that crashed. It runs alone until it has succeeded once.
    Suspect,
    /// Confirmed as the cause of a crash: two targets crashed under it, the second while it was the
    /// only suspect there. It is refused.
    Convict,
}

/// Quarantine record that one host sends to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineUpdate {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Status of the request.
    pub status: QuarantineStatus,
    /// Time to live of the record, counted from its receipt.
    pub ttl: Duration,
}

/// A run that was on a target when the target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Hash of the request.
    pub fingerprint: u64,
    /// When the run began.
    pub since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    status: QuarantineStatus,
    /// When the crash that made the request a suspect became known to this host.
    since: Duration,
    expires_at: Duration,
}

/// Records of requests that ran on targets that crashed.
///
/// Invariant: at most 256 records.
///
/// ```
/// use {
///     dunlinrock_admit::{CrashedRun, Quarantine, QuarantineStatus},
///     std::time::Duration,
/// };
///
/// let at = Duration::from_secs;
/// let mut q = Quarantine::open();
/// let run = |fingerprint, since| CrashedRun { fingerprint, since };
/// q.record_crash(&[run(7, at(0)), run(8, at(0))], at(1));
/// q.clear(8);
/// assert_eq!(q.status(8, at(2)), None);
/// q.record_crash(&[run(7, at(2))], at(3));
/// assert_eq!(q.status(7, at(3)), Some(QuarantineStatus::Convict));
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    ttls: QuarantineTtls,
    records: BTreeMap<u64, Record>,
    updates: Vec<QuarantineUpdate>,
}

impl Quarantine {
    /// Opens an empty quarantine.
    pub fn open() -> Self {
        Self::default()
    }

    /// Opens an empty quarantine with these times to live.
    pub fn open_with(ttls: QuarantineTtls) -> Self {
        Self {
            ttls,
            ..Self::default()
        }
    }

    /// Returns the status of a request, or `None` if it is not quarantined.
    pub fn status(&self, fingerprint: u64, now: Duration) -> Option<QuarantineStatus> {
        let r = self.records.get(&fingerprint)?;
        (now < r.expires_at).then_some(r.status)
    }

    /// Returns the time until a confirmed request is admitted again.
    pub fn remaining(&self, fingerprint: u64, now: Duration) -> Duration {
        let expires_at = self.records.get(&fingerprint).map_or(now, |r| r.expires_at);
        expires_at.saturating_sub(now)
    }

    /// Records that a target crashed while these requests ran on it.
    pub fn record_crash(&mut self, crashed_runs: &[CrashedRun], now: Duration) {
        let is_explained = crashed_runs
            .iter()
            .any(|run| self.status(run.fingerprint, now) == Some(QuarantineStatus::Convict));
        if is_explained {
            return;
        }
        let recurs = |run: &&CrashedRun| self.was_suspect(run, now);
        let suspects = crashed_runs.iter().filter(recurs);
        let suspects: BTreeSet<_> = suspects.map(|run| run.fingerprint).collect();
        for v in crashed_runs {
            let (status, ttl) = match suspects.len() == 1 && suspects.contains(&v.fingerprint) {
                true => (QuarantineStatus::Convict, self.ttls.confirmed),
                false => (QuarantineStatus::Suspect, self.ttls.suspect),
            };
            let update = QuarantineUpdate {
                fingerprint: v.fingerprint,
                status,
                ttl,
            };
            if self.upsert(update, now) && self.updates.len() < MAX_RECORDS {
                self.updates.push(update);
            }
        }
    }

    /// Whether a run began after an earlier crash under its request was known.
    fn was_suspect(&self, run: &CrashedRun, now: Duration) -> bool {
        let record = self.records.get(&run.fingerprint);
        record.is_some_and(|r| now < r.expires_at && run.since >= r.since)
    }

    /// Clears a suspect after a run that ended with a response: the request does not crash its
    /// targets.
    pub fn clear(&mut self, fingerprint: u64) {
        if self
            .records
            .get(&fingerprint)
            .is_some_and(|r| r.status == QuarantineStatus::Suspect)
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Removes a record, whatever its status.
    pub fn forget(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Merges an update from a peer.
    pub fn apply_update(&mut self, update: QuarantineUpdate, now: Duration) {
        self.upsert(update, now);
    }

    /// Returns the updates for the peers since the last call.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns all live records, for a new peer.
    pub fn all_updates(&self, now: Duration) -> Vec<QuarantineUpdate> {
        let list = self.records.iter().filter(|(_, r)| now < r.expires_at);
        list.map(|(f, r)| QuarantineUpdate {
            fingerprint: *f,
            status: r.status,
            ttl: r.expires_at - now,
        })
        .collect()
    }

    /// Returns the number of live records with this status.
    pub fn count(&self, status: QuarantineStatus, now: Duration) -> usize {
        self.records
            .values()
            .filter(|r| r.status == status && now < r.expires_at)
            .count()
    }

    /// Merges a record; returns true if it is stronger than what was known.
    fn upsert(&mut self, update: QuarantineUpdate, now: Duration) -> bool {
        let life = update.ttl.min(match update.status {
            QuarantineStatus::Suspect => self.ttls.suspect,
            QuarantineStatus::Convict => self.ttls.confirmed,
        });
        let known = self
            .records
            .get(&update.fingerprint)
            .filter(|r| now < r.expires_at);
        if known.is_some_and(|r| r.status >= update.status) {
            return false;
        }
        let record = Record {
            status: update.status,
            since: now,
            expires_at: now + life,
        };
        self.records.insert(update.fingerprint, record);
        self.evict_excess(now);
        true
    }

    fn evict_excess(&mut self, now: Duration) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.records.retain(|_, r| now < r.expires_at);
        while self.records.len() > MAX_RECORDS {
            let weakest = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.status, r.expires_at));
            let Some(f) = weakest.map(|(f, _)| *f) else {
                return;
            };
            self.records.remove(&f);
        }
    }
}
