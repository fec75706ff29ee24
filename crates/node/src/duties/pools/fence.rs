//! Keeps a host that was paused from starting what it held.
//!
//! Failure: a host is stopped for seconds, others take its pools over, and it wakes. Its queues
//! still hold requests and its slots look free, so that it would send to targets that the new owner
//! counts as its own, before its control duty has had a moment to notice. Symptom: targets overrun
//! and shed. The control duty marks each of its ticks; while the last one is older than the silence
//! after which others suspect this host, nothing starts. That is enough because nobody takes a pool
//! over sooner, and the control duty gives the pools up in its first tick after a pause.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The mark of the control duty's last tick, and the age from which nothing starts.
#[derive(Clone, Debug)]
pub struct Fence {
    last_tick: Arc<AtomicU64>,
    max_age: Duration,
}

impl Fence {
    /// A fence that closes when the mark is older than `age`.
    pub fn open(max_age: Duration) -> Fence {
        Fence {
            last_tick: Arc::new(AtomicU64::new(0)),
            max_age,
        }
    }

    /// Marks a tick.
    pub fn renew(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.last_tick.store(micros, Ordering::Release);
    }

    /// Whether nothing may start now.
    pub fn is_closed(&self, now: Duration) -> bool {
        let last = Duration::from_micros(self.last_tick.load(Ordering::Acquire));
        now.saturating_sub(last) > self.max_age
    }
}
