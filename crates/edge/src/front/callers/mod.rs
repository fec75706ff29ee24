//! Callers' connections, from accept until the caller has received the last byte that it is owed.
//!
//! A response that is computed may still be in the HTTP library's buffer, and one that is written
//! may still be in the kernel's. A connection whose bytes are not all acknowledged is neither idle
//! nor done.

mod delivery;
mod pipeline;
mod registry;
mod serve;
mod stream;

pub use self::stream::CallerStream;
pub(super) use self::{
    pipeline::Pipeline,
    registry::{EvictionLimits, Registry},
    serve::{CallerConnection, serve},
};
