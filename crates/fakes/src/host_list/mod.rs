//! The platform's list of hosts, which shows changes after a delay.

mod http;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use dunlinrock_schema::store::{Listed, Listing};

use crate::serve::{Listener, PortSwitch, Server};
use state::State;

/// Options of a list of hosts.
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Time from an announcement until the list shows it.
    pub visibility_delay: Duration,
    /// Time until an announcement expires. The list shows the host for `visibility_delay` longer.
    pub announcement_ttl: Duration,
    /// Maximum number of connections served at once.
    pub connections: usize,
}

impl Default for ListOptions {
    /// Shows a change after 2 s; announcements expire after 15 s.
    fn default() -> Self {
        Self {
            visibility_delay: Duration::from_secs(2),
            announcement_ttl: Duration::from_secs(15),
            connections: 4096,
        }
    }
}

/// A fake of the platform's list of hosts that serves HTTP until it is dropped.
pub struct List {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
}

impl List {
    /// Binds `addr` (`IP:PORT`; port 0 selects a free port) and serves on its own thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn bind(addr: &str, options: ListOptions) -> anyhow::Result<Self> {
        let connections = options.connections;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::open(options)),
            port_switch: PortSwitch::open(),
            origin: Instant::now(),
        });
        let served = Arc::clone(&shared);
        let handler = Arc::new(move |req| -> futures::future::BoxFuture<'static, _> {
            Box::pin(http::handle(Arc::clone(&served), req))
        });
        let listener = Listener::bind(addr, connections, shared.port_switch.clone(), handler)?;
        let addr = listener.addr()?;
        let server = Server::spawn("fake-list", vec![listener])?;
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

    /// Closes the port: refuses new connections and closes existing ones.
    pub fn down(&self) {
        self.shared.port_switch.set_and_wait(false);
    }

    /// Opens the port again. Announcements sent in the meantime are missing.
    pub fn up(&self) {
        self.shared.port_switch.set_and_wait(true);
    }

    /// Sets the visibility delay of future changes.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().options.visibility_delay = delay;
    }

    /// Makes all pending changes visible at once.
    pub fn publish_pending(&self) {
        self.shared.lock().publish_pending();
    }

    /// Announces a host, as a `PUT` by the host does.
    pub fn announce(&self, listed: Listed) {
        let now = self.shared.now();
        self.shared.lock().announce(listed, now);
    }

    /// Removes a host's announcement, as a `DELETE` by the host does.
    pub fn deregister(&self, name: &str) {
        let now = self.shared.now();
        self.shared.lock().deregister(name, now);
    }

    /// Returns the list as a reader sees it now.
    pub fn listing(&self) -> Listing {
        let now = self.shared.now();
        self.shared.lock().listing(now)
    }

    /// Returns the number of reads of the list since the start.
    pub fn read_count(&self) -> u64 {
        self.shared.lock().reads
    }

    /// Stops serving and closes all connections, as dropping the handle does.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

/// State shared by the handle and the serving thread.
struct Shared {
    state: Mutex<State>,
    port_switch: PortSwitch,
    origin: Instant,
}

impl Shared {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
