//! Targets that are set aside for a time because their answers are bad.
//!
//! Load: a target that is down, or that answers its health check and fails requests. Its objects
//! would fail one after the other; set aside, they go to their second choice and become warm there.
//! A target is tried again by one request at a time, and each failure doubles the pause, so that a
//! dead one costs few requests.
//!
//! Load: all targets of a service fail a part of their requests, or shed them. None of them is better
//! than the others. Set aside, a target would only leave its objects to others, where they run cold,
//! and the few that are left would be full.

use std::time::Duration;

/// First pause of a target that cannot be reached. A restart takes seconds, so that the third trial
/// meets a target that is back.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest pause: a target that is back gets its objects after this at the latest.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest outcome in the share of failures: about the last eight count.
const EWMA_WEIGHT: f64 = 0.125;

/// How far the share of failures is above that of all targets of the service where a target is set
/// aside. The usual failures are below 0.05; a target that fails one in three costs more second runs
/// than its objects cost elsewhere.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Factor on the share of the whole service; above 1, since that of a target's last eight outcomes swings
/// around it.
const SERVICE_FACTOR: f64 = 1.2;

/// Weight of the newest outcome in the share of failures of a service: about the last 16 count.
const SERVICE_EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Trials in a row that did not reach a target, after which it is taken for down. One may be a lost
/// packet: requests that are at the target are then better left there.
const DOWN_AFTER: u32 = 2;

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A whole answer.
    Good,
    /// Turned away, broken off or unreadable: one such may happen to a sound target.
    Bad,
    /// No connection, or a connection that died with nothing on it: the target is down.
    Down,
}

/// Share of bad answers among all targets of a service, as one host sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Opens the share of a service whose targets are presumed sound.
    pub fn open() -> FailureRate {
        FailureRate::default()
    }

    /// Whether bad answers are so common that another target is no better.
    pub fn is_high(&self) -> bool {
        self.0 > MAX_FAILURE_RATE
    }

    /// Notes how a request at one of the targets ended. One that was not reached is held against that
    /// target alone.
    pub fn record(&mut self, evidence: Evidence) {
        let bad = match evidence {
            Evidence::Good => 0.0,
            Evidence::Bad => 1.0,
            Evidence::Down => return,
        };
        self.0 += (bad - self.0) * SERVICE_EWMA_WEIGHT;
    }
}

/// What one host holds against one target.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: f64,
    backoff: Duration,
    ejected_until: Option<Duration>,
    /// Trials in a row that did not reach the target.
    unreachable: u32,
    /// Whether one request tries the target; others stay away until its end.
    probing: bool,
}

impl Ejection {
    /// Opens the record of a target that is presumed sound.
    pub fn open() -> Ejection {
        Ejection::default()
    }

    /// Whether requests may go to the target: it is sound, or its pause is over and nobody tries it.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.ejected_until
            .is_none_or(|ejected_until| now >= ejected_until && !self.probing)
    }

    /// Whether the target is set aside, its pause over or not.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the target is down beyond doubt, so that what is at it will not be answered.
    pub fn is_down(&self) -> bool {
        self.unreachable >= DOWN_AFTER
    }

    /// A request goes to the target.
    pub fn on_start(&mut self, now: Duration) {
        if self
            .ejected_until
            .is_some_and(|ejected_until| now >= ejected_until)
        {
            self.probing = true;
        }
    }

    /// A request at the target ended; `service` is what all targets of its service answer. Tells whether
    /// the target is newly set aside.
    pub fn on_end(&mut self, evidence: Evidence, service: FailureRate, now: Duration) -> bool {
        let bad = if evidence == Evidence::Good { 0.0 } else { 1.0 };
        self.failures += (bad - self.failures) * EWMA_WEIGHT;
        let was_probe = std::mem::take(&mut self.probing);
        match evidence {
            Evidence::Good => {
                self.unreachable = 0;
                if was_probe {
                    *self = Ejection::open();
                }
                false
            }
            Evidence::Bad if self.failures > MAX_FAILURE_RATE + service.0 * SERVICE_FACTOR => {
                self.eject(now)
            }
            Evidence::Bad if was_probe && !service.is_high() => self.eject(now),
            Evidence::Bad => {
                if was_probe {
                    (self.ejected_until, self.backoff) = (None, Duration::ZERO);
                }
                false
            }
            Evidence::Down => {
                let counts = self
                    .ejected_until
                    .is_none_or(|ejected_until| now >= ejected_until);
                self.unreachable += u32::from(counts);
                self.eject(now)
            }
        }
    }

    /// A request that tried the target was withdrawn and says nothing about it.
    pub fn cancel_probe(&mut self) {
        self.probing = false;
    }

    fn eject(&mut self, now: Duration) -> bool {
        // Requests in flight end together; only the first of them lengthens the pause.
        if self
            .ejected_until
            .is_some_and(|ejected_until| now < ejected_until)
        {
            return false;
        }
        let new = self.ejected_until.is_none();
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.ejected_until = Some(now + self.backoff);
        new
    }
}
