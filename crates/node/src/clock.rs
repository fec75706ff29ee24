//! The clock that the decisions use.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A monotonic clock that starts at zero with the host. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn open() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts an instant to the time since the start; zero for an instant before the start.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.origin)
    }

    /// Converts a time since the start to an instant.
    pub fn instant(&self, time: Duration) -> Instant {
        self.origin + time
    }
}

/// Returns the time since the machine booted, including time it was suspended.
///
/// The monotonic clock stops while a machine is suspended, but the data that the host received
/// earlier grows older meanwhile.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map_or(Duration::ZERO, Duration::from)
}

/// Returns a time in whole milliseconds, saturated at `u64::MAX`, for logs, headers and messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
