//! Fair queueing among callers and among keys, in memory that does not grow with their number.
//!
//! One college's importer may send ten times its share, or a popular camp opens and one key takes
//! most of the load. In a first-in-first-out queue every request then waits behind that backlog.
//!
//! Each caller and each key has a virtual clock: the service time queued for it so far, on the
//! scale of the service time that the pool starts (start-time fair queueing). A request's rank is
//! the latest of the pool's clock, its caller's and its key's. A caller with a backlog ranks behind
//! its own backlog only; a caller that sends now and then ranks at the pool's clock, at the head.
//! The clocks are kept in a [`Sketch`] of fixed size.

mod clock_sketch;
mod queue;

pub(crate) use self::queue::{FairQueue, QueueKey};
