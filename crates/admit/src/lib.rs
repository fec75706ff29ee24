//! Decisions under load at one pool of targets: admission, queue, fairness, placement, retries.
//!
//! ```
//! use {
//!     dunlinrock_admit::{
//!         Action, Completion, Decision, Offer, Outcome, Pool, PoolConfig, RefusalReason, TargetSpec,
//!     },
//!     std::time::Duration,
//! };
//!
//! let ms = Duration::from_millis;
//! let target = TargetSpec { name: "worker-1".into(), slots: 1, leaving: false, cold: false };
//! let mut pool = Pool::open(PoolConfig::default(), &[target], ms(0));
//! let offer = |ticket, deadline| Offer {
//!     ticket,
//!     caller: 1,
//!     key: 1,
//!     kind: 1,
//!     fingerprint: ticket,
//!     deadline,
//!     repeatable: true,
//!     tried: Vec::new(),
//! };
//!
//! // The first request starts, the second waits, the third could not be answered in time.
//! assert_eq!(pool.offer(offer(1, ms(500)), ms(0)), Decision::Start { target: "worker-1".into() });
//! assert_eq!(pool.offer(offer(2, ms(500)), ms(0)), Decision::Queued);
//! let Decision::Refused { reason, .. } = pool.offer(offer(3, ms(30)), ms(0)) else { panic!() };
//! assert_eq!(reason, RefusalReason::DeadlineExceeded);
//!
//! // The end of the first frees its slot for the second.
//! let end = pool.finish(1, "worker-1", Outcome::Ok, ms(20));
//! assert_eq!(end, Completion::Final { ran: true });
//! let start = Action::Start { ticket: 2, target: "worker-1".into() };
//! assert_eq!(pool.poll(ms(20)), [start]);
//! ```
//!
//! A [`Pool`] holds the targets of one service in one failure domain. The host that owns the pool
//! counts its slots exactly, queues for them, and turns away at once what cannot be answered in
//! time. Nothing here has a clock, a socket or a thread: every call takes the time as a `Duration`
//! since an origin of the embedder's choice, and what has to be done comes back as a value.
//!
//! The decisions, and the load that each of them answers:
//!
//! | decision | load | note in `docs/decisions/` |
//! |---|---|---|
//! | what is let in, what waits and how long | burst, saturation | `admission.md` |
//! | whose turn it is | a few callers or keys with most of the load | `fairness.md` |
//! | which slots long work may have | long work among short | `short-and-long.md` |
//! | which target runs it | a slow, cold, leaving or misreported target | `placement.md` |
//! | whether it runs again | failing targets, late runs | `retries.md` |
//! | whether it may run at all | a request that kills its targets | `quarantine.md` |
//!
//! [`simulation`] plays these loads against the pools and against [`baseline`]; `cargo run --release
//! --example loads` prints the table and `--example sweep` the sweeps that chose the thresholds.

pub mod baseline;
pub mod direct;
mod fair_queue;
mod pool;
mod pool_choice;
mod quarantine;
mod retry_budget;
mod service_time;
pub mod simulation;
mod slot_shares;
mod target;

pub use crate::{
    pool::{
        Action, Cancelled, Completion, Counts, Decision, Load, LoadReport, Offer, Outcome, Pool,
        PoolConfig, PoolState, RefusalReason, TargetSpec, TargetState,
    },
    pool_choice::{PoolCandidate, choose_pool},
    quarantine::{CrashedRun, Quarantine, QuarantineStatus, QuarantineUpdate},
};
