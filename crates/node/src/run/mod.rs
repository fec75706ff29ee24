//! Runs a request: chooses its pool, waits for a slot, sends it, hands it to the pool's owner.

mod dispatch;
mod forward;
mod holder;
mod keyed;
mod links;
mod relay;
mod target;
mod trickle;

pub(crate) use self::dispatch::run;
pub use self::{
    dispatch::{MAX_HOPS, dispatch},
    forward::{RUN_PATH, read_answer, read_call, write_answer},
    holder::{Held, hold},
    keyed::run_keyed,
    links::Links,
    relay::{CALL_PATH, relay},
    trickle::Trickle,
};
