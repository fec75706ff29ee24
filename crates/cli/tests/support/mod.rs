//! Support for tests: scripted hosts, host processes, and runs of the built program.
#![allow(dead_code, reason = "each test binary uses only some helpers")]

pub(crate) mod edge;
pub(crate) mod program;
pub(crate) mod scripted_host;

use std::future::Future;

/// Runs a test's body on its own runtime.
pub(crate) fn block_on<T>(f: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(f)
}
