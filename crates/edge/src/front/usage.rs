//! Whether a caller's connection is in use.

use std::{cell::Cell, time::Duration};

use tokio::time::Instant;

use super::IDLE_PAUSE;

/// Use of one connection.
#[derive(Debug)]
pub(super) struct Usage {
    /// Requests being served; the library serves one at a time.
    running: Cell<u32>,
    /// When the last one ended, or the connection began.
    since: Cell<Instant>,
}

/// One request on the connection.
#[derive(Debug)]
pub(super) struct Used<'a>(&'a Usage);

impl Usage {
    pub(super) fn open() -> Usage {
        Usage {
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
        }
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn start(&self) -> Used<'_> {
        self.running.set(self.running.get() + 1);
        Used(self)
    }

    /// Waits until the connection has not been used for a time.
    pub(super) async fn idle_for(&self, time: Duration) {
        while self.running.get() > 0 || self.since.get().elapsed() < time {
            tokio::time::sleep(IDLE_PAUSE).await;
        }
    }
}

impl Drop for Used<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.since.set(Instant::now());
    }
}
