//! A running edge host.

mod freshness;
mod shared;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
};

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};

pub use self::{
    freshness::{Freshness, confirmed_at, max_key_age},
    shared::{Phase, Shared, Watermark},
};
use crate::{
    control, front,
    model::{Dialect, PlatformStore},
    settings::Settings,
};

/// Length of the listen queue: a burst of callers opens some hundred connections at once, and one
/// that finds the queue full is retried only after a second.
const BACKLOG: i32 = 1024;

/// A running host.
#[derive(Debug)]
pub struct Host {
    shared: Arc<Shared>,
    control: JoinHandle<()>,
    front: JoinHandle<()>,
}

impl Host {
    /// Binds the host's addresses and spawns its threads.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or a thread does not start.
    pub fn spawn(
        mut settings: Settings,
        store: PlatformStore,
        dialect: Dialect,
    ) -> anyhow::Result<Host> {
        let listen = &mut settings.listen;
        let callers = bind("callers", &mut listen.callers)?;
        let listeners = control::Listeners {
            lookup: bind("lookup", &mut listen.lookup)?,
            peers: bind("peers", &mut listen.peers)?,
            ready: listen
                .ready
                .as_mut()
                .map(|a| bind("ready", a))
                .transpose()?,
            metrics: listen
                .metrics
                .as_mut()
                .map(|a| bind("metrics", a))
                .transpose()?,
        };
        let (shared, quarantine) = Shared::open(settings, store, dialect);
        let front = front::spawn(Arc::clone(&shared), callers)?;
        let control = control::spawn(Arc::clone(&shared), listeners, quarantine)?;
        let (name, domain) = (&*shared.settings.name, &*shared.settings.domain);
        log::info!(target: "host", event = "start", host = name, domain = domain, first = shared.settings.first_start, callers:% = shared.settings.listen.callers; "host started");
        Ok(Host {
            shared,
            control,
            front,
        })
    }

    /// Returns the state that the threads share, for programs that embed the host.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Starts a graceful shutdown.
    pub fn start_shutdown(&self) {
        log::info!(target: "host", event = "stop", host = &*self.shared.settings.name; "graceful shutdown started");
        self.shared.advance_phase(Phase::Draining);
    }

    /// Waits for the end of a graceful shutdown.
    ///
    /// # Errors
    ///
    /// When a thread has panicked.
    pub fn join(self) -> anyhow::Result<()> {
        self.front
            .join()
            .map_err(|_| anyhow::anyhow!("the callers thread panicked"))?;
        self.shared.advance_phase(Phase::Stopped);
        self.control
            .join()
            .map_err(|_| anyhow::anyhow!("the control thread panicked"))?;
        log::info!(target: "host", event = "stopped", host = &*self.shared.settings.name; "host stopped");
        Ok(())
    }
}

/// Binds an address; port 0 is replaced by the assigned one.
fn bind(name: &str, bound: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let address = *bound;
    let open = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        // A restarted host must not wait until its old connections have left TIME_WAIT.
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    let listener = open().with_context(|| {
        format!("cannot listen for {name} on {address}; is another process using the port?")
    })?;
    *bound = listener
        .local_addr()
        .context("cannot read the listener's address")?;
    Ok(listener)
}
