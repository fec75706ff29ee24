//! Load management of a pool of targets: admission, queueing, fairness, placement and retries.
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
//! // The first request starts, the second is queued, the third could not be answered in time.
//! assert_eq!(pool.offer(offer(1, ms(500)), ms(0)), Decision::Start { target: "worker-1".into() });
//! assert_eq!(pool.offer(offer(2, ms(500)), ms(0)), Decision::Queued);
//! let Decision::Refused { reason, .. } = pool.offer(offer(3, ms(30)), ms(0)) else { panic!() };
//! assert_eq!(reason, RefusalReason::DeadlineExceeded);
//!
//! // When the run of the first request ends, its slot is free for the second request.
//! let end = pool.finish(1, "worker-1", Outcome::Ok, ms(20));
//! assert_eq!(end, Completion::Final { ran: true });
//! let start = Action::Start { ticket: 2, target: "worker-1".into() };
//! assert_eq!(pool.poll(ms(20)), [start]);
//! ```
//!
//! A [`Pool`] holds the targets of one service in one failure domain. A target executes as many
//! requests at once as it has slots; each execution is a run. The host that owns the pool counts
//! its slots exactly, queues requests for them, and refuses at once those that cannot be answered
//! in time. The crate uses no clock, socket or thread: every call takes the time as a `Duration`
//! since an origin that the embedding process chooses, and returns the actions to perform.
//!
//! The decisions that a pool makes, and the problem that each of them handles:
//!
//! | decision | problem | note in `docs/decisions/` |
//! |---|---|---|
//! | which requests are admitted, which wait and how long | burst, saturation | `admission.md` |
//! | in which order they start | a few callers or keys with most of the load | `fairness.md` |
//! | which slots long requests may have | long requests among short ones | `short-and-long.md` |
//! | which target runs a request | a slow, cold or leaving target, or one with wrong load reports | `placement.md` |
//! | whether it is retried | failing targets, runs that take too long | `retries.md` |
//! | whether it may run at all | a request that crashes its targets | `quarantine.md` |
//!
//! [`simulation`] measures pools and the algorithms in [`baseline`] under loads with these
//! problems. `cargo run --release --example loads` prints the results, and `--example sweep` the
//! parameter sweeps from which the thresholds were chosen.

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
    quarantine::{
        CrashedRun, Quarantine, QuarantineStatus, QuarantineTtls, QuarantineUpdate,
        RecentSuccesses, RunTicket, TargetRuns,
    },
};
