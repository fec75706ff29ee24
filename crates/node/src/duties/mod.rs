//! The workers of a host. Each one has a thread and a channel through which the others reach it.

pub mod callers;
pub mod control;
pub mod ledger;
pub mod peers;
pub mod pools;

use std::{future::Future, io, thread::JoinHandle};

use tokio::runtime::Builder;

/// Spawns a worker: a named thread with its own runtime that runs one future to completion.
pub(crate) fn spawn<F, W>(name: &str, worker: W) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
    W: FnOnce() -> F + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(worker()))
}
