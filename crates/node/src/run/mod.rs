//! Runs a request: chooses its pool, waits for a slot and sends it to a target, or forwards it to
//! the pool's owner.

mod clients;
mod dispatch;
mod forward;
mod in_pool;
mod keyed;
mod probe;
mod relay;
mod target;
mod ungranted;

pub(crate) use self::dispatch::run_at_pool;
pub use self::{
    clients::Clients,
    dispatch::{MAX_HOPS, dispatch},
    forward::{RUN_PATH, read_answer, read_call, write_answer},
    in_pool::{PoolOutcome, run_in_pool},
    keyed::run_keyed,
    relay::{CALL_PATH, relay},
    ungranted::UngrantedLimiter,
};
