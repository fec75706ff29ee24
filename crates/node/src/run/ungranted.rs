//! Admits a small rate of requests without a grant.
//!
//! Such a request comes from a caller that only now and then uses a region that it usually does not
//! use, because of an old answer or an address in no client block. Grants are requested by measured
//! traffic, so there is never one for this caller, and each of its first attempts would be refused.
//! All hosts together admit so few of these requests that the headroom which grants leave free in
//! each region covers them; larger traffic needs grants.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Interval between requests of all hosts together: 60 requests a second. At 10 ms of work each,
/// that is six tenths of one slot.
const EMISSION_INTERVAL: Duration = Duration::from_micros(16_667);
/// Maximum burst at one host, in requests.
const BURST: u32 = 5;

/// Rate limiter of one host, with its fraction of the rate of all hosts, as a virtual schedule
/// (GCRA).
#[derive(Debug, Default)]
pub struct UngrantedLimiter {
    /// When the full burst is available again, on the host's clock.
    full_at: Mutex<Duration>,
}

impl UngrantedLimiter {
    /// Takes one request from the limit of one of `hosts` hosts; returns `false` if the limit is
    /// used up.
    pub fn try_acquire(&self, hosts: usize, now: Duration) -> bool {
        let interval = EMISSION_INTERVAL * u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let next = now.max(*full_at) + interval;
        if next > now + interval * BURST {
            return false;
        }
        *full_at = next;
        true
    }
}
