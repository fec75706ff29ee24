//! The control worker: tracks the membership, follows the configuration, shifts traffic shares and
//! publishes views.

mod active_config;
mod input;
mod members;
mod publish;
mod quarantine;
mod routes;
mod shutdown;
mod state;
mod steering;
mod tasks;

use std::{io, sync::Arc, thread::JoinHandle, time::Duration};

use tokio::{runtime::Builder, sync::mpsc};

pub use self::input::{Input, Reply};
use self::state::Control;
use crate::{ring, shared::Shared};

/// Path on which hosts receive control messages.
pub const CONTROL_PATH: &str = "/peer/v1/control";
/// Path on which hosts request traffic shares and grants.
pub const STEER_PATH: &str = "/peer/v1/steer";
/// Capacity of the worker's channel: two heartbeats of each of some hundred hosts.
pub const QUEUE_CAPACITY: usize = 1024;

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct DrainReport {
    /// Time from the request for the shutdown to its end.
    pub drain: Duration,
}

/// Spawns the worker; its thread ends with a graceful shutdown.
pub fn open(
    shared: Arc<Shared>,
    inputs: ring::Receiver<Input>,
) -> io::Result<JoinHandle<DrainReport>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(drive(shared, inputs)))
}

async fn drive(shared: Arc<Shared>, mut inputs: ring::Receiver<Input>) -> DrainReport {
    let (results, mut finished) = mpsc::unbounded_channel();
    let every = Duration::from_millis(shared.timing.heartbeat_ms);
    let mut control = Control::open(Arc::clone(&shared), results);
    let mut heartbeat = tokio::time::interval(every);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = heartbeat.tick() => control.tick(),
            Some(result) = finished.recv() => control.on_result(result),
            Some(input) = inputs.recv() => control.input(input),
        }
        // No caller was served, so there is nothing to drain.
        let higher_incarnation = shared.higher_incarnation.borrow().map(|_| Duration::ZERO);
        if let Some(drain) = control.ended().or(higher_incarnation) {
            return DrainReport { drain };
        }
    }
}
