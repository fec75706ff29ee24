//! The duties of a host. Each has a thread of its own and a ring through which the others reach it.

pub mod callers;
pub mod control;
pub mod ledger;
pub mod peers;
pub mod pools;

use std::{future::Future, io, thread::JoinHandle};

use tokio::runtime::Builder;

/// Spawns a duty: a named thread with a runtime of its own that runs one future to its end.
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
