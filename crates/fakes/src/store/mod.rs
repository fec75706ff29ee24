//! The platform's key-value service.

mod http;
mod options;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dunlinrock_schema::store::StoreCounts;
use tokio::sync::watch;

pub use options::{OutageKind, StoreOptions};

use crate::serve::{Listener, PortSwitch, Server};
use state::State;

/// A running store.
///
/// Its values live in memory and go with the handle.
pub struct Store {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Binds `addr` (`IP:PORT`; port 0 takes a free one) and serves on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound or the thread cannot be started.
    pub fn bind(addr: &str, options: StoreOptions) -> anyhow::Result<Self> {
        let connections = options.connections;
        let shared = Arc::new(Shared::open(options));
        let served = Arc::clone(&shared);
        let handler = Arc::new(move |req| -> futures::future::BoxFuture<'static, _> {
            Box::pin(http::handle(Arc::clone(&served), req))
        });
        let listener = Listener::bind(addr, connections, shared.port_switch.clone(), handler)?;
        let addr = listener.addr()?;
        let server = Server::spawn("fake-store", vec![listener])?;
        Ok(Self {
            addr,
            shared,
            server,
        })
    }

    /// Gives the address it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes the store down in the way given; waiting watches are cut.
    pub fn down(&self, down: OutageKind) {
        self.shared.down(down);
        if down == OutageKind::Refuse {
            self.shared.port_switch.set_and_wait(false);
        }
    }

    /// Brings the store back; it holds what it held.
    pub fn up(&self) {
        self.shared.up();
        self.shared.port_switch.set_and_wait(true);
    }

    /// Delays each answer. A read is delayed before it looks, a write after it took effect, so
    /// that a writer who gives up early has written all the same.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Lets the next `writes` writes take effect and closes their connections without an answer.
    pub fn drop_responses(&self, writes: u64) {
        self.shared.lock().drop_next = writes;
    }

    /// Lets writes of a key take effect and never answers them, until it is called with `None`;
    /// their connections stay open.
    pub fn withhold_responses(&self, key: Option<&str>) {
        self.shared.lock().withheld_key = key.map(Into::into);
    }

    /// Ends a lease at once, as if its holder had paused for longer than its time to live.
    pub fn expire_lease(&self, lease: u64) -> bool {
        let expired = self.shared.lock().end_lease(lease);
        self.shared.announce();
        expired
    }

    /// Sets new rate limits; the buckets start full.
    pub fn set_limits(&self, options: StoreOptions) {
        let now = self.shared.now();
        self.shared.lock().set_limits(options, now);
    }

    /// Reads a key past all faults and limits; gives its value and version.
    pub fn read_direct(&self, key: &str) -> Option<(Bytes, u64)> {
        let state = self.shared.current();
        state.entry(key).map(|e| (e.body.clone(), e.version))
    }

    /// Writes a key past all faults and limits, without a condition; gives its version.
    pub fn write_direct(&self, key: &str, body: impl Into<Bytes>) -> u64 {
        let version = self.shared.current().write(key, body.into(), None);
        self.shared.announce();
        version
    }

    /// Counts the calls since the start.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts.clone()
    }

    /// Ends the store and closes its connections; a drop does the same.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

/// What the handle and the serving thread share.
struct Shared {
    state: Mutex<State>,
    /// Raised after each change, to wake the watches.
    changed: watch::Sender<u64>,
    port_switch: PortSwitch,
    origin: Instant,
}

impl Shared {
    fn open(options: StoreOptions) -> Self {
        Self {
            state: Mutex::new(State::open(options)),
            changed: watch::Sender::new(0),
            port_switch: PortSwitch::open(),
            origin: Instant::now(),
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state after the leases that are due have lapsed.
    fn current(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        if state.expire_leases(self.now()) {
            self.announce();
        }
        state
    }

    fn announce(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn down(&self, down: OutageKind) {
        self.lock().down = Some(down);
        if down == OutageKind::Refuse {
            self.port_switch.set(false);
        }
        // Waiting watches look again, and end the way the store is down.
        self.announce();
    }

    fn up(&self) {
        self.lock().down = None;
        self.port_switch.set(true);
    }
}
