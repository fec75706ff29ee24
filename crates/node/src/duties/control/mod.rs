//! x
mod input;
mod routes;
pub use self::input::{Input, Reply};
use crate::{ring, shared::Shared};
use std::{io, sync::Arc, thread::JoinHandle, time::Duration};
/// Path on which hosts take control messages.
pub const CONTROL_PATH: &str = "/peer/v1/control";
/// Inputs that may wait for the duty.
pub const RING: usize = 1024;
/// How a planned stop went.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Time from the request to leave to its end.
    pub drain: Duration,
}
/// x
pub fn open(
    _shared: Arc<Shared>,
    _inputs: ring::Receiver<Input>,
) -> io::Result<JoinHandle<Ending>> {
    todo!()
}
