//! Quarantine of requests that kill the targets which run them.
//!
//! Load: one request crashes the process that runs it, and its caller (or a retry) sends it again.
//! Without quarantine it takes the targets down one after the other.
//!
//! After a death all requests that ran on the target are suspects, because any of them may have
//! done it. A suspect runs alone on its target until a run of it has succeeded, which clears it. So
//! the second death under the same request leaves no doubt, and convicts it; a request that only
//! shared the first death ends its lone run well. A death counts as the second one only if that run
//! began after the first was known: when a whole failure domain dies at once, all its targets die
//! under popular requests, and none of that is evidence.
//!
//! Hosts pass [`QuarantineUpdate`]s on, so that a resend through another host meets the same record. A word is
//! idempotent, and each ends by itself: a request that was convicted wrongly, or whose cause has
//! been mended, is let in again after half an hour.

use std::{collections::BTreeMap, time::Duration};

/// Records held; above that the weakest and oldest goes. A death leaves as many suspects as a
/// target has slots, 3 to 8: this is enough for 30 deaths within its time.
pub(crate) const MAX_RECORDS: usize = 256;

/// How long a suspect is remembered: longer than callers wait before they send again.
pub(crate) const SUSPECT_TTL: Duration = Duration::from_secs(300);

/// How long a convicted request is refused: long enough for the on-call to act.
pub(crate) const CONFIRMED_TTL: Duration = Duration::from_secs(1800);

/// How sure the evidence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineStatus {
    /// It ran on a target that died. It runs alone until it has succeeded once.
    Suspect,
    /// Two targets died under it, the second while it ran alone. It is refused.
    Convict,
}

/// What hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineUpdate {
    /// Hash of the request.
    pub fingerprint: u64,
    /// How sure the evidence is.
    pub status: QuarantineStatus,
    /// Time for which the word holds, from its receipt.
    pub ttl: Duration,
}

/// A run that was on a target when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Hash of the request.
    pub fingerprint: u64,
    /// When the run began.
    pub since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    grade: QuarantineStatus,
    /// When the death that made it a suspect became known here.
    since: Duration,
    expires_at: Duration,
}

/// Records of requests that ran on targets which died.
///
/// Invariant: at most 256 records.
///
/// ```
/// use {
///     dunlinrock_admit::{QuarantineStatus, Quarantine, CrashedRun},
///     std::time::Duration,
/// };
///
/// let at = Duration::from_secs;
/// let mut q = Quarantine::open();
/// q.record_crash(&[CrashedRun { fingerprint: 7, since: at(0) }, CrashedRun { fingerprint: 8, since: at(0) }], at(1));
/// q.clear(8);
/// assert_eq!(q.status(8, at(2)), None);
/// q.record_crash(&[CrashedRun { fingerprint: 7, since: at(2) }], at(3));
/// assert_eq!(q.status(7, at(3)), Some(QuarantineStatus::Convict));
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<u64, Record>,
    updates: Vec<QuarantineUpdate>,
}

impl Quarantine {
    /// Opens an empty quarantine.
    pub fn open() -> Self {
        Self::default()
    }

    /// What is held against a request.
    pub fn status(&self, fingerprint: u64, now: Duration) -> Option<QuarantineStatus> {
        let r = self.records.get(&fingerprint)?;
        (now < r.expires_at).then_some(r.grade)
    }

    /// Time until a convicted request is let in again.
    pub fn remaining(&self, fingerprint: u64, now: Duration) -> Duration {
        let expires_at = self.records.get(&fingerprint).map_or(now, |r| r.expires_at);
        expires_at.saturating_sub(now)
    }

    /// A target died while these ran on it.
    pub fn record_crash(&mut self, crashed_runs: &[CrashedRun], now: Duration) {
        let alone = crashed_runs.len() == 1;
        for v in crashed_runs {
            let is_confirmed = self.records.get(&v.fingerprint).is_some_and(|r| {
                now < r.expires_at
                    && (r.grade == QuarantineStatus::Convict || (alone && v.since >= r.since))
            });
            let (status, ttl) = match is_confirmed {
                true => (QuarantineStatus::Convict, CONFIRMED_TTL),
                false => (QuarantineStatus::Suspect, SUSPECT_TTL),
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

    /// A run ended with an answer: the request does not kill its targets.
    pub fn clear(&mut self, fingerprint: u64) {
        if self
            .records
            .get(&fingerprint)
            .is_some_and(|r| r.grade == QuarantineStatus::Suspect)
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Takes a peer's word.
    pub fn apply_update(&mut self, update: QuarantineUpdate, now: Duration) {
        self.upsert(update, now);
    }

    /// Words for the peers since the last call.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// All that holds, for a peer that is new.
    pub fn all_updates(&self, now: Duration) -> Vec<QuarantineUpdate> {
        let list = self.records.iter().filter(|(_, r)| now < r.expires_at);
        list.map(|(f, r)| QuarantineUpdate {
            fingerprint: *f,
            status: r.grade,
            ttl: r.expires_at - now,
        })
        .collect()
    }

    /// Number of records of a grade.
    pub fn count(&self, grade: QuarantineStatus, now: Duration) -> usize {
        self.records
            .values()
            .filter(|r| r.grade == grade && now < r.expires_at)
            .count()
    }

    /// True if this says more than was known.
    fn upsert(&mut self, update: QuarantineUpdate, now: Duration) -> bool {
        let life = update.ttl.min(match update.status {
            QuarantineStatus::Suspect => SUSPECT_TTL,
            QuarantineStatus::Convict => CONFIRMED_TTL,
        });
        let known = self
            .records
            .get(&update.fingerprint)
            .filter(|r| now < r.expires_at);
        if known.is_some_and(|r| r.grade >= update.status) {
            return false;
        }
        let record = Record {
            grade: update.status,
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
                .min_by_key(|(_, r)| (r.grade, r.expires_at));
            let Some(f) = weakest.map(|(f, _)| *f) else {
                return;
            };
            self.records.remove(&f);
        }
    }
}
