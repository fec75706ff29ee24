//! How many requests a cold target gets from one host.
//!
//! Load: a failure domain that comes back, or targets that are added under load. A target that has
//! just started bears few requests a second and crashes well above that; without a bound its old
//! objects return at once, from all hosts together, and it goes down again.

use std::{collections::VecDeque, time::Duration};

/// Any span of this length is bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// What a cold target bears from all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct ColdRules {
    /// Requests a second that it tolerates.
    pub rate: f64,
    /// How far above that rate still counts as tolerated.
    pub factor: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

/// Requests that one host sent to one cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdRate {
    sent: VecDeque<Duration>,
}

impl ColdRate {
    /// Opens a rate with nothing sent.
    pub fn open() -> ColdRate {
        ColdRate::default()
    }

    /// Takes one request if this host's part of the bound has room.
    ///
    /// With more hosts than requests in a second a part is below one request, so the window of this
    /// host grows until one fits.
    pub fn admit(&mut self, rules: &ColdRules, hosts: usize, now: Duration) -> bool {
        let hosts = hosts.max(1) as f64;
        let most = (rules.rate * rules.factor + rules.slack).max(f64::MIN_POSITIVE);
        let part = (most / hosts).floor().max(1.0);
        let window = WINDOW.mul_f64((part * hosts / most).max(1.0));
        while self.sent.front().is_some_and(|at| *at + window <= now) {
            self.sent.pop_front();
        }
        if self.sent.len() as f64 >= part {
            return false;
        }
        self.sent.push_back(now);
        true
    }
}
