//! The rate that a target in need names for itself, for all hosts together.
//!
//! Each host learns of it from the target's own responses and enforces its part alone, so that no
//! request waits for another host. A rate of less than one request for each host goes to as many
//! hosts as there are requests. The others hear no more responses, and so would not learn that the
//! rate has changed or ended: each of them sends a request now and then, at random times whose mean
//! grows with the number of hosts.

use std::{collections::VecDeque, time::Duration};

use super::cold_start::share_of;

/// Span over which requests are counted. A rate below one a second needs a span of some seconds.
const SPAN: Duration = Duration::from_secs(4);

/// How much longer than [`SPAN`] a request counts: it may be delayed on its way and arrive together
/// with the next.
const ARRIVAL_SLACK: Duration = Duration::from_millis(400);

/// Mean interval of the probes of all hosts without a part.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// A target's rate as one host knows it, and what this host sends under it.
#[derive(Clone, Debug, Default)]
pub struct TargetRate {
    /// Requests a second, if the target names a rate.
    rate: Option<f64>,
    /// When a host without a part may send its next request.
    probe_at: Duration,
    sent: VecDeque<Duration>,
}

/// The hosts among which a rate is divided.
#[derive(Clone, Copy, Debug)]
pub struct RateHosts<'a> {
    /// Hash of this host's name.
    pub me: u64,
    /// Hashes of the names of all hosts.
    pub all: &'a [u64],
    /// Hash of the target's id.
    pub target: u64,
    /// Whether `all` may lack hosts, so that this host takes the smallest part.
    pub is_partial: bool,
}

impl TargetRate {
    /// Opens the rate of a target that names none.
    pub fn open() -> TargetRate {
        TargetRate::default()
    }

    /// Returns the rate that the target names, in requests a second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records the rate of a response; `None` ends it. Returns whether it changed. `draw` is uniform
    /// in 0 to 1.
    pub fn record(&mut self, rate: Option<f64>, hosts: usize, draw: f64, now: Duration) -> bool {
        let is_changed = self.rate != rate;
        self.rate = rate;
        self.probe_at = now + PROBE_INTERVAL.mul_f64(hosts.max(1) as f64 * (0.5 + draw));
        is_changed
    }

    /// Admits a request and counts it; returns false if the target is to get none from this host
    /// now.
    pub fn try_admit(&mut self, hosts: &RateHosts<'_>, now: Duration) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let old = |at: &Duration| *at + SPAN + ARRIVAL_SLACK <= now;
        while self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
        let part = part_of(rate, hosts);
        let is_admitted = match part {
            0 => now >= self.probe_at,
            _ => self.sent.len() < part as usize,
        };
        if is_admitted {
            self.sent.push_back(now);
            // Until the response, which sets the time anew.
            self.probe_at = now + SPAN;
        }
        is_admitted
    }

    /// Takes back the last admission: the request is not sent. Without a rate, admissions are not
    /// counted.
    pub fn cancel(&mut self) {
        if self.rate.is_some() {
            self.sent.pop_back();
        }
    }
}

/// Returns the requests that one host may send within [`SPAN`].
fn part_of(rate: f64, hosts: &RateHosts<'_>) -> u32 {
    let limit = (rate * SPAN.as_secs_f64()) as usize;
    let part = share_of(limit, hosts.me, hosts.all, hosts.target);
    match hosts.is_partial {
        true => part.min(1),
        false => part,
    }
}
