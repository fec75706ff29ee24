//! Limits the number of log lines a second.

use std::{cell::Cell, time::Duration};

/// Period that a budget covers.
const WINDOW: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Yes,
    /// The line is written, and this many before it were dropped.
    After(u32),
    /// The line is dropped.
    No,
}

/// Budget for lines of one kind.
#[derive(Debug)]
pub struct LineBudget {
    max_lines: u32,
    window_start: Cell<Duration>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl LineBudget {
    /// Creates a budget of `max_lines` lines a second.
    pub fn open(max_lines: u32) -> LineBudget {
        LineBudget {
            max_lines,
            window_start: Cell::new(Duration::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Requests one line.
    pub fn request(&self, now: Duration) -> LineDecision {
        if now >= self.window_start.get() + WINDOW {
            self.window_start.set(now);
            self.written.set(0);
        }
        if self.written.get() >= self.max_lines {
            self.dropped.set(self.dropped.get() + 1);
            return LineDecision::No;
        }
        self.written.set(self.written.get() + 1);
        match self.dropped.take() {
            0 => LineDecision::Yes,
            dropped => LineDecision::After(dropped),
        }
    }
}
