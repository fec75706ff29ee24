//! The async runtime for commands.

use std::future::Future;

use anyhow::Context;
use tokio::runtime;

/// Runs a future to completion on this thread.
pub(crate) fn block_on<T>(f: impl Future<Output = T>) -> anyhow::Result<T> {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    Ok(rt.context("starting the runtime")?.block_on(f))
}
