//! Whether a port accepts, and the cutting of its connections.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use tokio::sync::watch;

#[derive(Clone, Copy, Debug)]
struct Phase {
    open: bool,
    /// Raised each time the port is shut; a connection lives within one epoch.
    epoch: u64,
}

/// What the serving thread has made of the switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// It listens.
    Open,
    /// It refuses.
    Shut,
    /// It is let go.
    Gone,
}

/// The switch of a port.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    phase: Arc<watch::Sender<Phase>>,
    port: Arc<(Mutex<Port>, Condvar)>,
}

impl Gate {
    /// Opens a switch that lets connections in.
    pub(crate) fn open() -> Self {
        let phase = Phase {
            open: true,
            epoch: 0,
        };
        Self {
            phase: Arc::new(watch::Sender::new(phase)),
            port: Arc::new((Mutex::new(Port::Open), Condvar::new())),
        }
    }

    /// Lets connections in, or refuses them and cuts those there are.
    pub(crate) fn set(&self, open: bool) {
        self.phase.send_modify(|phase| {
            phase.open = open;
            phase.epoch += u64::from(!open);
        });
    }

    /// Does as [`Gate::set`] and waits until the port is so; never on the serving thread. Without
    /// the wait, who connects right after could find the port as it was.
    pub(crate) fn turn(&self, open: bool) {
        self.set(open);
        let wanted = if open { Port::Open } else { Port::Shut };
        let (port, changed) = &*self.port;
        let port = port.lock().unwrap_or_else(PoisonError::into_inner);
        let waits = |port: &mut Port| *port != wanted && *port != Port::Gone;
        drop(changed.wait_while(port, waits));
    }

    /// Notes what the port is now.
    pub(crate) fn note(&self, now: Port) {
        let (port, changed) = &*self.port;
        *port.lock().unwrap_or_else(PoisonError::into_inner) = now;
        changed.notify_all();
    }

    /// Follows the switch from now on.
    pub(crate) fn follow(&self) -> Follower {
        let phases = self.phase.subscribe();
        let epoch = phases.borrow().epoch;
        Follower { phases, epoch }
    }
}

/// Waits for changes of a [`Gate`].
pub(crate) struct Follower {
    phases: watch::Receiver<Phase>,
    epoch: u64,
}

impl Follower {
    /// Tells whether connections are let in.
    pub(crate) fn is_open(&self) -> bool {
        self.phases.borrow().open
    }

    /// Waits until connections are let in.
    pub(crate) async fn opened(&mut self) {
        let _ = self.phases.wait_for(|phase| phase.open).await;
    }

    /// Waits until connections are refused.
    pub(crate) async fn shut(&mut self) {
        let _ = self.phases.wait_for(|phase| !phase.open).await;
    }

    /// Waits until the connections that were there at the start are cut.
    pub(crate) async fn cut(&mut self) {
        let epoch = self.epoch;
        let _ = self.phases.wait_for(|phase| phase.epoch != epoch).await;
    }
}
