//! Which connections of callers are idle, and which of them are closed for others.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::IDLE_PAUSE;

/// When a connection became idle, and its number.
type Since = (Instant, u64);

/// Idle connections of a host's callers, the longest idle first.
#[derive(Debug, Default)]
pub(super) struct Idle {
    held: RefCell<BTreeMap<Since, Rc<Notify>>>,
    last: Cell<u64>,
}

impl Idle {
    /// Idle connections.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.held.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Tells up to `most` connections that have been idle for `time` or more to close, the longest
    /// idle first. Tells how many.
    pub(super) fn close(&self, most: u32, time: Duration) -> u32 {
        let mut held = self.held.borrow_mut();
        let mut closed = 0;
        while closed < most {
            let Some(first) = held.first_entry() else {
                break;
            };
            if first.key().0.elapsed() < time {
                break;
            }
            first.remove().notify_one();
            closed += 1;
        }
        closed
    }
}

/// Use of one connection.
#[derive(Debug)]
pub(super) struct Usage {
    idle: Rc<Idle>,
    number: u64,
    /// Requests being served; the library serves one at a time.
    running: Cell<u32>,
    /// When the last one ended, or the connection began.
    since: Cell<Instant>,
    /// Tells the connection to close.
    close: Rc<Notify>,
}

/// One request on the connection.
#[derive(Debug)]
pub(super) struct Used<'a>(&'a Usage);

impl Usage {
    /// Counts a connection as idle until its first request.
    pub(super) fn open(idle: &Rc<Idle>) -> Usage {
        idle.last.set(idle.last.get() + 1);
        let usage = Usage {
            idle: Rc::clone(idle),
            number: idle.last.get(),
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
            close: Rc::default(),
        };
        usage.rest();
        usage
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn start(&self) -> Used<'_> {
        self.running.set(self.running.get() + 1);
        self.idle.held.borrow_mut().remove(&self.key());
        Used(self)
    }

    /// Waits until the connection has not been used for a time, or is told to close while idle.
    pub(super) async fn idle_for(&self, time: Duration) {
        while self.running.get() > 0 || self.since.get().elapsed() < time {
            tokio::select! {
                () = tokio::time::sleep(IDLE_PAUSE) => {}
                () = self.close.notified() => {
                    // A request may have been read since the connection was told.
                    if self.running.get() == 0 {
                        return;
                    }
                }
            }
        }
    }

    fn key(&self) -> Since {
        (self.since.get(), self.number)
    }

    /// From now on the connection is idle.
    fn rest(&self) {
        self.since.set(Instant::now());
        let mut held = self.idle.held.borrow_mut();
        held.insert(self.key(), Rc::clone(&self.close));
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.idle.held.borrow_mut().remove(&self.key());
    }
}

impl Drop for Used<'_> {
    fn drop(&mut self) {
        let running = self.0.running.get() - 1;
        self.0.running.set(running);
        if running == 0 {
            self.0.rest();
        }
    }
}
