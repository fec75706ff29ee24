//! Whether a port accepts, and the cutting of its connections.

use std::sync::Arc;

use tokio::sync::watch;

#[derive(Clone, Copy, Debug)]
struct Phase {
    open: bool,
    /// Raised each time the port is shut; a connection lives within one epoch.
    epoch: u64,
}

/// The switch of a port.
#[derive(Clone, Debug)]
pub(crate) struct Gate(Arc<watch::Sender<Phase>>);

impl Gate {
    /// Opens a switch that lets connections in.
    pub(crate) fn open() -> Self {
        let phase = Phase {
            open: true,
            epoch: 0,
        };
        Self(Arc::new(watch::Sender::new(phase)))
    }

    /// Lets connections in, or refuses them and cuts those there are.
    pub(crate) fn set(&self, open: bool) {
        self.0.send_modify(|phase| {
            phase.open = open;
            phase.epoch += u64::from(!open);
        });
    }

    /// Follows the switch from now on.
    pub(crate) fn follow(&self) -> Follower {
        let phases = self.0.subscribe();
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
