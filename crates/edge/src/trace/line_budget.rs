//! How many lines a second are written.

use std::{cell::Cell, time::Duration};

/// Length of the span that a budget covers.
const SPAN: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It is.
    Yes,
    /// It is, and this many before it were left out.
    After(u32),
    /// It is left out.
    No,
}

/// Budget of lines of one kind.
#[derive(Debug)]
pub struct Lines {
    most: u32,
    since: Cell<Duration>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl Lines {
    /// Opens a budget of `most` lines a second.
    pub fn open(most: u32) -> Lines {
        Lines {
            most,
            since: Cell::new(Duration::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Asks for one line.
    pub fn ask(&self, now: Duration) -> Told {
        if now >= self.since.get() + SPAN {
            self.since.set(now);
            self.written.set(0);
        }
        if self.written.get() >= self.most {
            self.dropped.set(self.dropped.get() + 1);
            return Told::No;
        }
        self.written.set(self.written.get() + 1);
        match self.dropped.take() {
            0 => Told::Yes,
            dropped => Told::After(dropped),
        }
    }
}
