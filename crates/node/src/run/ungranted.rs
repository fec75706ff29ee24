//! Lets a few requests go without a grant.
//!
//! Load: a caller that comes now and then where it usually does not, by an old answer or an address
//! in no block. Room is asked for by what was measured, so for such a caller there never is any, and
//! each of its first tries would be turned away. All hosts together let so few through that the
//! headroom which grants leave free in each region covers them; a crowd meets the grants.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Time for which one request uses the allowance of the whole fleet up: 60 a second. At 10 ms of
/// work each that is six tenths of one slot.
const EMISSION_INTERVAL: Duration = Duration::from_micros(16_667);
/// Requests that may come at once at one host.
const BURST: u32 = 5;

/// The allowance of one host, its part of the fleet's, as a virtual schedule (GCRA).
#[derive(Debug, Default)]
pub struct UngrantedLimiter {
    /// When the allowance is whole again, on the host's clock.
    full_at: Mutex<Duration>,
}

impl UngrantedLimiter {
    /// Takes a place of a host of a fleet of `hosts`; `false` where its part is used up.
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
