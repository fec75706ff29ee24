//! The platform's key-value store.

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

/// A fake of the platform's key-value store that serves HTTP until it is dropped.
///
/// Its values are in memory and are dropped with the handle.
pub struct Store {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Binds `addr` (`IP:PORT`; port 0 selects a free port) and serves on its own thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot be started.
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

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts an outage of the given kind, which also ends waiting watches.
    pub fn down(&self, down: OutageKind) {
        self.shared.down(down);
        if down == OutageKind::Refuse {
            self.shared.port_switch.set_and_wait(false);
        }
    }

    /// Ends the outage. The store keeps its values.
    pub fn up(&self) {
        self.shared.up();
        self.shared.port_switch.set_and_wait(true);
    }

    /// Delays each response. A read is delayed before it reads the value, a write after it took effect,
    /// so a write takes effect even if its client times out during the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Makes the next `writes` writes take effect and closes their connections without a response.
    pub fn drop_responses(&self, writes: u64) {
        self.shared.lock().drop_next = writes;
    }

    /// Makes writes of a key take effect without ever sending their responses, until it is called with
    /// `None`. Their connections stay open.
    pub fn withhold_responses(&self, key: Option<&str>) {
        self.shared.lock().withheld_key = key.map(Into::into);
    }

    /// Expires a lease at once, as if its holder had paused for longer than its TTL. Returns whether the
    /// lease existed.
    pub fn expire_lease(&self, lease: u64) -> bool {
        let expired = self.shared.lock().end_lease(lease);
        self.shared.announce();
        expired
    }

    /// Sets new rate limits. Their token buckets start full.
    pub fn set_limits(&self, options: StoreOptions) {
        let now = self.shared.now();
        self.shared.lock().set_limits(options, now);
    }

    /// Returns the value and version of a key, bypassing all faults and limits.
    pub fn read_direct(&self, key: &str) -> Option<(Bytes, u64)> {
        let state = self.shared.current();
        state.entry(key).map(|e| (e.body.clone(), e.version))
    }

    /// Writes a key unconditionally, bypassing all faults and limits, and returns its version.
    pub fn write_direct(&self, key: &str, body: impl Into<Bytes>) -> u64 {
        let version = self.shared.current().write(key, body.into(), None);
        self.shared.announce();
        version
    }

    /// Returns the counts of calls since the start.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts.clone()
    }

    /// Stops serving and closes all connections, as dropping the handle does.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

/// State shared by the handle and the serving thread.
struct Shared {
    state: Mutex<State>,
    /// Incremented after each change, to wake the watches.
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

    /// Locks the state after ending expired leases.
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
        // Wakes waiting watches, which then end with the outage.
        self.announce();
    }

    fn up(&self) {
        self.lock().down = None;
        self.port_switch.set(true);
    }
}
