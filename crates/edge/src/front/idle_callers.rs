//! Tracks which callers' connections are idle, and closes the longest idle ones when descriptors
//! run short.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::IDLE_CHECK_INTERVAL;

/// When a connection became idle, and its number.
type IdleKey = (Instant, u64);

/// Idle connections of callers, the longest idle first.
#[derive(Debug, Default)]
pub(super) struct IdleTracker {
    connections: RefCell<BTreeMap<IdleKey, Rc<Notify>>>,
    last_number: Cell<u64>,
}

impl IdleTracker {
    /// Returns the number of idle connections.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.connections.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Asks up to `max` connections that have been idle for `time` or more to close, the longest
    /// idle first. Returns how many.
    pub(super) fn close_oldest(&self, max: u32, time: Duration) -> u32 {
        let mut connections = self.connections.borrow_mut();
        let mut closed = 0;
        while closed < max {
            let Some(first) = connections.first_entry() else {
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

/// Usage of one connection.
#[derive(Debug)]
pub(super) struct ConnectionUsage {
    idle: Rc<IdleTracker>,
    number: u64,
    /// Requests being served; the library serves one at a time.
    running: Cell<u32>,
    /// When the last request ended, or the connection was opened.
    since: Cell<Instant>,
    /// Asks the connection to close.
    close_notify: Rc<Notify>,
}

/// One request on the connection.
#[derive(Debug)]
pub(super) struct UsageGuard<'a>(&'a ConnectionUsage);

impl ConnectionUsage {
    /// Registers a connection as idle until its first request.
    pub(super) fn open(idle: &Rc<IdleTracker>) -> ConnectionUsage {
        idle.last_number.set(idle.last_number.get() + 1);
        let usage = ConnectionUsage {
            idle: Rc::clone(idle),
            number: idle.last_number.get(),
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
            close_notify: Rc::default(),
        };
        usage.mark_idle();
        usage
    }

    /// Marks the connection as used until the guard is dropped.
    pub(super) fn start(&self) -> UsageGuard<'_> {
        self.running.set(self.running.get() + 1);
        self.idle.connections.borrow_mut().remove(&self.key());
        UsageGuard(self)
    }

    /// Waits until the connection has been idle for `time`, or is asked to close while idle.
    pub(super) async fn idle_for(&self, time: Duration) {
        while self.running.get() > 0 || self.since.get().elapsed() < time {
            tokio::select! {
                () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {}
                () = self.close_notify.notified() => {
                    // A request may have been read since the connection was asked to close.
                    if self.running.get() == 0 {
                        return;
                    }
                }
            }
        }
    }

    fn key(&self) -> IdleKey {
        (self.since.get(), self.number)
    }

    /// Marks the connection as idle from now on.
    fn mark_idle(&self) {
        self.since.set(Instant::now());
        let mut connections = self.idle.connections.borrow_mut();
        connections.insert(self.key(), Rc::clone(&self.close_notify));
    }
}

impl Drop for ConnectionUsage {
    fn drop(&mut self) {
        self.idle.connections.borrow_mut().remove(&self.key());
    }
}

impl Drop for UsageGuard<'_> {
    fn drop(&mut self) {
        let running = self.0.running.get() - 1;
        self.0.running.set(running);
        if running == 0 {
            self.0.mark_idle();
        }
    }
}
