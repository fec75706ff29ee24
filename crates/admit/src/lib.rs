//! Decisions under load at one pool of targets: admission, queue, fairness, placement, retries.
//!
//! A [`Pool`] holds the targets of one service in one failure domain. The host that owns the pool
//! counts its slots exactly, queues for them, and turns away at once what cannot be answered in
//! time. Nothing here has a clock, a socket or a thread: every call takes the time as a `Duration`
//! since an origin of the embedder's choice, and what has to be done comes back as a value.

pub mod baseline;
mod choose;
pub mod drive;
mod fair;
mod pool;
mod quarantine;
mod retry;
mod room;
mod target;
mod work;

pub use crate::{
    choose::{Candidate, choose},
    pool::{
        Action, Cancelled, Counts, Ending, Load, Offer, Outcome, Pool, PoolRules, PoolState,
        Refusal, Report, TargetSpec, TargetState, Verdict,
    },
    quarantine::{Grade, Quarantine, Victim, Word},
};
