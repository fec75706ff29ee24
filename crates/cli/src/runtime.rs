//! The async runtime for commands, and signal handling.

use std::future::Future;

use anyhow::Context;
use tokio::{
    runtime,
    signal::unix::{Signal, SignalKind, signal},
};

/// Runs a future to completion on this thread.
pub(crate) fn block_on<T>(f: impl Future<Output = T>) -> anyhow::Result<T> {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    Ok(rt.context("starting the runtime")?.block_on(f))
}

/// The signals that end the program.
pub(crate) struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the signal handlers. From then on these signals do not end the process by
    /// themselves.
    pub(crate) fn open() -> anyhow::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
