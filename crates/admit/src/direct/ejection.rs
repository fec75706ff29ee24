//! Ejection of targets that fail or cannot be reached.
//!
//! A target may be down, or answer its health check and fail requests. The requests that prefer it
//! would fail one after the other; while it is ejected, they go to their second choice and become
//! warm there. A single request at a time probes the target, and each failure doubles the backoff,
//! so a dead target costs few requests.
//!
//! If all targets of a service fail a fraction of their requests, or shed them, none of them is
//! better than the others. Ejecting one would only move its requests to others, where they run
//! cold, and the few remaining targets would be full.

use std::time::Duration;

/// First backoff of a target that cannot be reached. A restart takes seconds, so the third probe
/// meets a target that is back.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff: a target that is back gets its requests after this time at the latest.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest result in the failure rate: about the last eight count.
const EWMA_WEIGHT: f64 = 0.125;

/// Margin between the failure rate of a target and that of its whole service above which the target
/// is ejected. The usual failure rate is below 0.05; a target that fails one request in three
/// causes more retries than its requests cost elsewhere.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Factor on the failure rate of the whole service; above 1, since the rate over a target's last
/// eight results fluctuates around it.
const SERVICE_FACTOR: f64 = 1.2;

/// Weight of the newest result in the failure rate of a service: about the last 16 count.
const SERVICE_EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Consecutive probes that did not reach a target, after which it counts as down. One may be a lost
/// packet: requests in flight at the target are then better left there.
const DOWN_AFTER: u32 = 2;

/// Result of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A complete response.
    Good,
    /// Shed, broken off or unreadable: a single one may happen to a healthy target.
    Bad,
    /// No connection, or a connection that broke before any response: the target is down.
    Down,
}

/// Failure rate over all targets of a service, as one host sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Opens the rate of a service whose targets are presumed healthy.
    pub fn open() -> FailureRate {
        FailureRate::default()
    }

    /// Returns whether failures are so common that another target is no better.
    pub fn is_high(&self) -> bool {
        self.0 > MAX_FAILURE_RATE
    }

    /// Records the result of a request at one of the targets. An unreachable target counts against
    /// that target alone.
    pub fn record(&mut self, evidence: Evidence) {
        let bad = match evidence {
            Evidence::Good => 0.0,
            Evidence::Bad => 1.0,
            Evidence::Down => return,
        };
        self.0 += (bad - self.0) * SERVICE_EWMA_WEIGHT;
    }
}

/// Ejection state of one target at one host.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: f64,
    backoff: Duration,
    ejected_until: Option<Duration>,
    /// Consecutive probes that did not reach the target.
    unreachable: u32,
    /// Whether a probe is in flight; no other request is sent until its end.
    probing: bool,
}

impl Ejection {
    /// Opens the state of a target that is presumed healthy.
    pub fn open() -> Ejection {
        Ejection::default()
    }

    /// Returns whether requests may go to the target: it is healthy, or its backoff is over and no
    /// probe is in flight.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.ejected_until
            .is_none_or(|ejected_until| now >= ejected_until && !self.probing)
    }

    /// Returns whether the target is ejected, its backoff over or not.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the target is certainly down, so that requests in flight at it will not be
    /// answered.
    pub fn is_down(&self) -> bool {
        self.unreachable >= DOWN_AFTER
    }

    /// Records that a request is sent to the target.
    pub fn on_start(&mut self, now: Duration) {
        if self
            .ejected_until
            .is_some_and(|ejected_until| now >= ejected_until)
        {
            self.probing = true;
        }
    }

    /// Records the result of a request at the target; `service` is the failure rate of its service.
    /// Returns whether the target is newly ejected.
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

    /// Records that a probe was cancelled and says nothing about the target.
    pub fn cancel_probe(&mut self) {
        self.probing = false;
    }

    /// Forgets that the target was not reached: the link to it was lost, not the target.
    pub fn forget_unreachable(&mut self) {
        if self.unreachable > 0 {
            *self = Ejection::open();
        }
    }

    fn eject(&mut self, now: Duration) -> bool {
        // Requests in flight end together; only the first of them lengthens the backoff.
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
