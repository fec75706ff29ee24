//! Keeps a paused host from starting requests that it still holds.
//!
//! A host's process is stopped for seconds, other hosts take its pools over, and it resumes. Its
//! queues still hold requests and its slots look free, so it would send to targets that the new
//! owner counts as its own, before its control worker notices the pause; the targets would be
//! overloaded and shed requests. The control worker therefore renews the fence at each of its
//! ticks. While the last tick is older than the silence after which other hosts suspect this host,
//! nothing starts. That is sufficient because no host takes a pool over sooner, and the control
//! worker gives the pools up in its first tick after a pause.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Time of the control worker's last tick, and the age at which the fence closes.
#[derive(Clone, Debug)]
pub struct Fence {
    last_tick: Arc<AtomicU64>,
    max_age: Duration,
}

impl Fence {
    /// Creates a fence that closes when the last tick is older than `max_age`.
    pub fn open(max_age: Duration) -> Fence {
        Fence {
            last_tick: Arc::new(AtomicU64::new(0)),
            max_age,
        }
    }

    /// Records a tick.
    pub fn renew(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.last_tick.store(micros, Ordering::Release);
    }

    /// Returns whether requests must not start now.
    pub fn is_closed(&self, now: Duration) -> bool {
        let last = Duration::from_micros(self.last_tick.load(Ordering::Acquire));
        now.saturating_sub(last) > self.max_age
    }
}
