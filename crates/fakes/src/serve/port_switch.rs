//! A switch that makes a port accept or refuse connections and closes existing ones.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use tokio::sync::watch;

#[derive(Clone, Copy, Debug)]
struct SwitchState {
    open: bool,
    /// Incremented each time the port closes; a connection lasts for one epoch at most.
    epoch: u64,
}

/// Actual state of a port, as set by the serving thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PortState {
    /// The port accepts connections.
    Open,
    /// The port refuses connections.
    Closed,
    /// The listener was dropped and the port is no longer bound.
    Released,
}

/// The requested and the actual state of a port.
#[derive(Clone, Debug)]
pub(crate) struct PortSwitch {
    state: Arc<watch::Sender<SwitchState>>,
    port: Arc<(Mutex<PortState>, Condvar)>,
}

impl PortSwitch {
    /// Returns a switch whose port accepts connections.
    pub(crate) fn open() -> Self {
        let state = SwitchState {
            open: true,
            epoch: 0,
        };
        Self {
            state: Arc::new(watch::Sender::new(state)),
            port: Arc::new((Mutex::new(PortState::Open), Condvar::new())),
        }
    }

    /// Makes the port accept connections, or refuse new ones and close existing ones.
    pub(crate) fn set(&self, open: bool) {
        self.state.send_modify(|state| {
            state.open = open;
            state.epoch += u64::from(!open);
        });
    }

    /// Calls [`PortSwitch::set`] and waits until the port has the requested state. Without the wait,
    /// a connection made right afterwards could find the port in its previous state.
    ///
    /// Must not be called on the serving thread, which changes the state.
    pub(crate) fn set_and_wait(&self, open: bool) {
        self.set(open);
        let wanted = if open {
            PortState::Open
        } else {
            PortState::Closed
        };
        let (port, changed) = &*self.port;
        let port = port.lock().unwrap_or_else(PoisonError::into_inner);
        let waits = |port: &mut PortState| *port != wanted && *port != PortState::Released;
        drop(changed.wait_while(port, waits));
    }

    /// Records the actual state of the port.
    pub(crate) fn set_state(&self, now: PortState) {
        let (port, changed) = &*self.port;
        *port.lock().unwrap_or_else(PoisonError::into_inner) = now;
        changed.notify_all();
    }

    /// Returns a watcher of the switch, which starts in the current epoch.
    pub(crate) fn subscribe(&self) -> PortWatcher {
        let states = self.state.subscribe();
        let epoch = states.borrow().epoch;
        PortWatcher { states, epoch }
    }
}

/// Waits for changes of a [`PortSwitch`].
pub(crate) struct PortWatcher {
    states: watch::Receiver<SwitchState>,
    epoch: u64,
}

impl PortWatcher {
    /// Returns whether the port is to accept connections.
    pub(crate) fn is_open(&self) -> bool {
        self.states.borrow().open
    }

    /// Waits until the port is to accept connections.
    pub(crate) async fn wait_open(&mut self) {
        let _ = self.states.wait_for(|state| state.open).await;
    }

    /// Waits until the port is to refuse connections.
    pub(crate) async fn wait_closed(&mut self) {
        let _ = self.states.wait_for(|state| !state.open).await;
    }

    /// Waits until the epoch ends, which closes the connections made in it.
    pub(crate) async fn wait_disconnect(&mut self) {
        let epoch = self.epoch;
        let _ = self.states.wait_for(|state| state.epoch != epoch).await;
    }
}
