//! Targets that are set aside for a time because their answers are bad.
//!
//! Load: a target that is down, or that answers its health check and fails requests. Its objects
//! would fail one after the other; set aside, they go to their second choice and become warm there.
//! A target is tried again by one request at a time, and each failure doubles the pause, so that a
//! dead one costs few requests.

use std::time::Duration;

/// First pause of a target that cannot be reached. A restart takes seconds, so that the third trial
/// meets a target that is back.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause: a target that is back gets its objects after this at the latest.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest outcome in the share of failures: about the last eight count.
const WEIGHT: f64 = 0.125;

/// Share of failures above which a target is set aside. The usual failures are below 0.05; a target
/// that fails one in three costs more second runs than its objects cost elsewhere.
const BAD_SHARE: f64 = 0.3;

/// Trials in a row that did not reach a target, after which it is taken for down. One may be a lost
/// packet: requests that are at the target are then better left there.
const DOWN_TRIALS: u32 = 2;

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

/// What one host holds against one target.
#[derive(Clone, Debug, Default)]
pub struct SetAside {
    failures: f64,
    pause: Duration,
    until: Option<Duration>,
    /// Trials in a row that did not reach the target.
    downs: u32,
    /// Whether one request tries the target; others stay away until its end.
    trying: bool,
}

impl SetAside {
    /// Opens the record of a target that is presumed sound.
    pub fn open() -> SetAside {
        SetAside::default()
    }

    /// Whether requests may go to the target: it is sound, or its pause is over and nobody tries it.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.until.is_none_or(|until| now >= until && !self.trying)
    }

    /// Whether the target is set aside, its pause over or not.
    pub fn is_set(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the target is down beyond doubt, so that what is at it will not be answered.
    pub fn is_down(&self) -> bool {
        self.downs >= DOWN_TRIALS
    }

    /// A request goes to the target.
    pub fn start(&mut self, now: Duration) {
        if self.until.is_some_and(|until| now >= until) {
            self.trying = true;
        }
    }

    /// A request at the target ended. Tells whether the target is newly set aside.
    pub fn end(&mut self, evidence: Evidence, now: Duration) -> bool {
        let bad = if evidence == Evidence::Good { 0.0 } else { 1.0 };
        self.failures += (bad - self.failures) * WEIGHT;
        let tried = std::mem::take(&mut self.trying);
        match evidence {
            Evidence::Good => {
                self.downs = 0;
                if tried {
                    *self = SetAside::open();
                }
                false
            }
            Evidence::Bad if tried || self.failures > BAD_SHARE => self.set(now),
            Evidence::Bad => false,
            Evidence::Down => {
                let counts = self.until.is_none_or(|until| now >= until);
                self.downs += u32::from(counts);
                self.set(now)
            }
        }
    }

    /// A request that tried the target was withdrawn and says nothing about it.
    pub fn withdraw(&mut self) {
        self.trying = false;
    }

    fn set(&mut self, now: Duration) -> bool {
        // Requests in flight end together; only the first of them lengthens the pause.
        if self.until.is_some_and(|until| now < until) {
            return false;
        }
        let new = self.until.is_none();
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.until = Some(now + self.pause);
        new
    }
}
