//! Limits on the requests that a cold target gets from one host.
//!
//! When a failure domain comes back, or targets are added under load, a target that has just
//! started tolerates few requests per second and crashes well above that. Without a limit, all
//! requests that prefer it return at once, from all hosts together, and it crashes again.

use std::{collections::VecDeque, time::Duration};

/// Length of the window; the limit holds for any period of this length. The tenth above a second is
/// for requests that are delayed on their way and arrive together with the next.
const WINDOW: Duration = Duration::from_millis(1100);

/// Requests that a cold target tolerates from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartLimits {
    /// Requests per second that it tolerates.
    pub rate: f64,
    /// Factor above that rate that still counts as tolerated.
    pub factor: f64,
    /// Requests per second beyond that.
    pub slack: f64,
}

/// Fraction of the limit that is used: other hosts learn of a new host a little later, and until
/// then the shares of all add up to more.
const UTILIZATION: f64 = 0.8;

impl ColdStartLimits {
    /// Returns the requests per second that one host may send to a target.
    ///
    /// If the limit has a request or more for each host, each gets the same number. If it has
    /// fewer, one request each goes to as many hosts as there are requests, chosen by hash, so that
    /// all hosts choose the same ones. A longer interval between two requests of every host would
    /// not be enough: the first requests of all hosts could still arrive in the same second, when
    /// the target is coldest.
    pub fn host_rate(&self, me: u64, hosts: &[u64], target: u64) -> u32 {
        share_of(self.limit(), me, hosts, target)
    }

    /// Returns the fraction of the hosts that may send to a cold target at all.
    pub fn senders(&self, hosts: usize) -> f64 {
        (self.limit() as f64 / hosts.max(1) as f64).min(1.0)
    }

    /// Returns the requests per window that all hosts together send.
    fn limit(&self) -> usize {
        ((self.rate * self.factor + self.slack) * UTILIZATION).max(1.0) as usize
    }
}

/// Returns one host's share of `limit` requests to a target: the same number for each host, or one
/// request each for as many hosts as there are requests.
pub(super) fn share_of(limit: usize, me: u64, hosts: &[u64], target: u64) -> u32 {
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

/// Mixes a pair of hashes into 64 bits (the finalizer of `SplitMix64`).
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut n = (a ^ b.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Limiter of the requests that one host sends to one cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent: VecDeque<Duration>,
}

impl ColdStartLimiter {
    /// Opens a limiter without requests.
    pub fn open() -> ColdStartLimiter {
        ColdStartLimiter::default()
    }

    /// Admits a request if this host has sent fewer than `host_rate` in the window; returns false
    /// if it is refused.
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
