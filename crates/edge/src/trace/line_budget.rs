//! How many lines a second are written.

use std::{cell::Cell, time::Duration};

/// Length of the span that a budget covers.
const WINDOW: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It is.
    Yes,
    /// It is, and this many before it were left out.
    After(u32),
    /// It is left out.
    No,
}

/// Budget of lines of one kind.
#[derive(Debug)]
pub struct LineBudget {
    max_lines: u32,
    window_start: Cell<Duration>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl LineBudget {
    /// Opens a budget of `most` lines a second.
    pub fn open(max_lines: u32) -> LineBudget {
        LineBudget {
            max_lines,
            window_start: Cell::new(Duration::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Asks for one line.
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
