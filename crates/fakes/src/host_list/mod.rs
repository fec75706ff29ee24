//! The platform's list of hosts, which lags.

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

/// Limits and delays of a list.
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Time from an announcement to the moment the list shows it.
    pub visibility_delay: Duration,
    /// Time a host stays announced after its last announcement; the lag comes on top.
    pub announcement_ttl: Duration,
    /// Connections served at once.
    pub connections: usize,
}

impl Default for ListOptions {
    /// Shows a change after 2 s, and forgets a silent host after 15 s.
    fn default() -> Self {
        Self {
            visibility_delay: Duration::from_secs(2),
            announcement_ttl: Duration::from_secs(15),
            connections: 4096,
        }
    }
}

/// A running list.
pub struct List {
    addr: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
}

impl List {
    /// Binds `addr` (`IP:PORT`; port 0 takes a free one) and serves on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound or the thread cannot be started.
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

    /// Gives the address it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuses connections from now on.
    pub fn down(&self) {
        self.shared.port_switch.set_and_wait(false);
    }

    /// Serves again; announcements sent meanwhile are missing.
    pub fn up(&self) {
        self.shared.port_switch.set_and_wait(true);
    }

    /// Sets the lag of announcements to come.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().options.visibility_delay = delay;
    }

    /// Shows every announcement made so far at once.
    pub fn publish_pending(&self) {
        self.shared.lock().publish_pending();
    }

    /// Announces a host, as its own `PUT` would.
    pub fn announce(&self, listed: Listed) {
        let now = self.shared.now();
        self.shared.lock().announce(listed, now);
    }

    /// Takes a host's announcement back, as its own `DELETE` would.
    pub fn deregister(&self, name: &str) {
        let now = self.shared.now();
        self.shared.lock().deregister(name, now);
    }

    /// Gives the list as a reader sees it now.
    pub fn listing(&self) -> Listing {
        let now = self.shared.now();
        self.shared.lock().listing(now)
    }

    /// Counts the reads of the list since the start.
    pub fn read_count(&self) -> u64 {
        self.shared.lock().reads
    }

    /// Ends the list and closes its connections; a drop does the same.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

/// What the handle and the serving thread share.
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
