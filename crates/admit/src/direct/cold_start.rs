//! How many requests a cold target gets from one host.
//!
//! Load: a failure domain that comes back, or targets that are added under load. A target that has
//! just started bears few requests a second and crashes well above that; without a bound its old
//! objects return at once, from all hosts together, and it goes down again.

use std::{collections::VecDeque, time::Duration};

/// Any span of this length is bounded; the tenth above a second is for requests that are held up on
/// their way and arrive together with the next.
const WINDOW: Duration = Duration::from_millis(1100);

/// What a cold target bears from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimits {
    /// Requests a second that it tolerates.
    pub rate: f64,
    /// How far above that rate still counts as tolerated.
    pub factor: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

/// Part of the bound that is spent: hosts that have just joined are known to others a little later,
/// and until then the parts of all add up to more.
const UTILIZATION: f64 = 0.8;

impl ColdStartLimits {
    /// Requests a second that one host may send to a target.
    ///
    /// Where the bound has a request or more for each host, each gets the same. Where it has fewer,
    /// one each goes to as many hosts as it has requests, chosen by hash, so that all hosts name the
    /// same ones. A longer time between two requests of every host would not do: the first ones of
    /// all hosts could still come in the same second, which is when the target is coldest.
    pub fn host_rate(&self, me: u64, hosts: &[u64], target: u64) -> u32 {
        let limit = ((self.rate * self.factor + self.slack) * UTILIZATION).max(1.0) as usize;
        let per_host = limit / hosts.len().max(1);
        if per_host > 0 {
            return u32::try_from(per_host).unwrap_or(u32::MAX);
        }
        let mine = mix(me, target);
        let ranked_before = hosts
            .iter()
            .filter(|host| mix(**host, target) < mine)
            .count();
        u32::from(ranked_before < limit)
    }
}

/// Spreads a pair of hashes over all 64 bits (the finisher of `SplitMix64`).
fn mix(a: u64, b: u64) -> u64 {
    let mut n = (a ^ b.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Requests that one host sent to one cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent: VecDeque<Duration>,
}

impl ColdStartLimiter {
    /// Opens a rate with nothing sent.
    pub fn open() -> ColdStartLimiter {
        ColdStartLimiter::default()
    }

    /// Takes one request if this host's part has room in the last second.
    pub fn try_admit(&mut self, host_rate: u32, now: Duration) -> bool {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        if self.sent.len() >= host_rate as usize {
            return false;
        }
        self.sent.push_back(now);
        true
    }
}
