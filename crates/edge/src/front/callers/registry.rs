//! Open connections of callers: which of them are idle, which still owe a caller bytes, and which
//! are closed when descriptors run short.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::stream::CallerStream;

/// Maximum interval between two checks whether a connection is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// When the last request on a connection ended, and the connection's number.
type IdleKey = (Instant, u64);

/// Open connections of callers.
#[derive(Debug, Default)]
pub(in crate::front) struct Registry {
    /// Connections without a running request, the longest unused first.
    unused: RefCell<BTreeMap<IdleKey, UnusedConnection>>,
    last_number: Cell<u64>,
    open: Cell<u32>,
}

#[derive(Debug)]
struct UnusedConnection {
    stream: CallerStream,
    /// Asks the connection to close.
    close_notify: Rc<Notify>,
}

/// Which connections may be closed when descriptors run short.
#[derive(Clone, Debug)]
pub(in crate::front) struct EvictionLimits {
    /// How long a connection must have been idle.
    pub(in crate::front) idle: Duration,
    /// How long a caller must have received nothing of a response that waits for it.
    pub(in crate::front) stall: Duration,
}

/// How many connections were asked to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::front) struct Evicted {
    /// Idle connections.
    pub(in crate::front) idle: u32,
    /// Connections whose callers had not read a response.
    pub(in crate::front) slow: u32,
}

impl Registry {
    /// Returns the number of open connections.
    pub(in crate::front) fn open_count(&self) -> u32 {
        self.open.get()
    }

    /// Returns the number of connections without a running request.
    pub(in crate::front) fn unused_count(&self) -> u32 {
        u32::try_from(self.unused.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections without a running request whose callers have not received
    /// all bytes of their responses.
    pub(in crate::front) fn undelivered_count(&self) -> u32 {
        let unused = self.unused.borrow();
        let undelivered = unused.values().filter(|c| !c.stream.is_delivered());
        u32::try_from(undelivered.count()).unwrap_or(u32::MAX)
    }

    /// Asks up to `max` connections to close: idle ones, the longest idle first, and then those
    /// whose callers do not read their responses.
    pub(in crate::front) fn evict(&self, max: u32, limits: &EvictionLimits) -> Evicted {
        let now = Instant::now();
        let is_idle = |key: &IdleKey, connection: &UnusedConnection| {
            now.duration_since(key.0) >= limits.idle && connection.is_idle_for(limits.idle)
        };
        let idle = self.close_where(max, is_idle);
        let is_slow = |_: &IdleKey, connection: &UnusedConnection| {
            connection.stream.is_abandoned(limits.stall)
        };
        let slow = self.close_where(max - idle, is_slow);
        Evicted { idle, slow }
    }

    fn close_where(
        &self,
        max: u32,
        may_close: impl Fn(&IdleKey, &UnusedConnection) -> bool,
    ) -> u32 {
        let mut unused = self.unused.borrow_mut();
        let chosen: Vec<IdleKey> = unused
            .iter()
            .filter(|(key, connection)| may_close(key, connection))
            .map(|(key, _)| *key)
            .take(max as usize)
            .collect();
        for connection in chosen.iter().filter_map(|key| unused.remove(key)) {
            connection.close_notify.notify_one();
        }
        chosen.len() as u32
    }
}

impl UnusedConnection {
    /// Whether the caller has received all, and did so at least `time` ago.
    fn is_idle_for(&self, time: Duration) -> bool {
        self.stream.is_delivered() && self.stream.quiet_for() >= time
    }
}

/// Usage of one connection.
#[derive(Debug)]
pub(in crate::front) struct ConnectionUsage {
    registry: Rc<Registry>,
    number: u64,
    stream: CallerStream,
    /// Requests being served; the library serves one at a time.
    running: Cell<u32>,
    /// When the last request ended, or the connection was opened.
    since: Cell<Instant>,
    /// Asks the connection to close.
    close_notify: Rc<Notify>,
}

/// One request on the connection.
#[derive(Debug)]
pub(in crate::front) struct UsageGuard<'a>(&'a ConnectionUsage);

impl ConnectionUsage {
    /// Registers a connection as unused until its first request.
    pub(in crate::front) fn open(registry: &Rc<Registry>, stream: CallerStream) -> ConnectionUsage {
        registry.last_number.set(registry.last_number.get() + 1);
        registry.open.set(registry.open.get() + 1);
        let usage = ConnectionUsage {
            registry: Rc::clone(registry),
            number: registry.last_number.get(),
            stream,
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
            close_notify: Rc::default(),
        };
        usage.mark_unused();
        usage
    }

    /// Marks the connection as used until the guard is dropped.
    pub(in crate::front) fn start(&self) -> UsageGuard<'_> {
        self.running.set(self.running.get() + 1);
        self.registry.unused.borrow_mut().remove(&self.key());
        UsageGuard(self)
    }

    /// Waits until the connection is asked to close while unused, or no request has run on it and
    /// its caller has received nothing for `time`.
    pub(in crate::front) async fn idle_for(&self, time: Duration) {
        while self.running.get() > 0
            || self.since.get().elapsed() < time
            || self.stream.quiet_for() < time
        {
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

    /// Waits until the connection is asked to close.
    pub(super) async fn evicted(&self) {
        self.close_notify.notified().await;
    }

    fn key(&self) -> IdleKey {
        (self.since.get(), self.number)
    }

    /// Marks the connection as unused from now on.
    fn mark_unused(&self) {
        self.since.set(Instant::now());
        let connection = UnusedConnection {
            stream: self.stream.clone(),
            close_notify: Rc::clone(&self.close_notify),
        };
        let mut unused = self.registry.unused.borrow_mut();
        unused.insert(self.key(), connection);
    }
}

impl Drop for ConnectionUsage {
    fn drop(&mut self) {
        self.registry.unused.borrow_mut().remove(&self.key());
        self.registry.open.set(self.registry.open.get() - 1);
    }
}

impl Drop for UsageGuard<'_> {
    fn drop(&mut self) {
        let running = self.0.running.get() - 1;
        self.0.running.set(running);
        if running == 0 {
            self.0.mark_unused();
        }
    }
}
