//! Runs an apply against the store until its result is known.

use std::{sync::Arc, time::Duration};

use dunlinrock_coord::{
    pieces,
    root::{Apply, ApplyOutcome, ApplyRequest, PendingOp, StoreLimits, StoreReply},
};
use dunlinrock_schema::config::Config;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use crate::store::{Store, execute};

/// An apply that timed out before its result was known.
#[derive(Clone, Debug, thiserror::Error)]
#[error(
    "the store gave no certain answer in {time:?}; apply {id} {state}",
    state = if *.in_doubt { "may have taken effect or may yet: look for its id with `history`" }
        else { "has not taken effect" }
)]
pub struct UncertainApply {
    /// Id of the apply.
    pub id: Arc<str>,
    /// Time after which it was given up.
    pub time: Duration,
    /// Whether its write may have reached the store.
    pub in_doubt: bool,
}

/// Applies `config` atomically; gives up after `time`.
///
/// # Errors
///
/// Returns [`UncertainApply`] if the store did not answer in time.
pub async fn apply(
    store: &Store,
    config: &Config,
    intent: ApplyRequest,
    time: Duration,
) -> Result<ApplyOutcome, UncertainApply> {
    let id = Arc::clone(&intent.id);
    let origin = Instant::now();
    let end = origin + time;
    let mut apply = Apply::open(intent, pieces::split(config), StoreLimits::default());
    let mut running: FuturesUnordered<BoxFuture<'_, (u64, StoreReply)>> = FuturesUnordered::new();
    for asked in apply.poll(Duration::ZERO) {
        running.push(Box::pin(answer(store, asked)));
    }
    loop {
        if let Some(verdict) = apply.outcome() {
            return Ok(verdict.clone());
        }
        let more = tokio::select! {
            Some((number, answer)) = running.next(), if !running.is_empty() => {
                apply.handle_reply(number, answer, origin.elapsed())
            }
            () = sleep_until((origin + apply.next_wake()).min(end)), if running.is_empty() => {
                apply.poll(origin.elapsed())
            }
            () = sleep_until(end) => Vec::new(),
        };
        if Instant::now() >= end && apply.outcome().is_none() {
            return Err(UncertainApply {
                id,
                time,
                in_doubt: apply.in_doubt(),
            });
        }
        for asked in more {
            running.push(Box::pin(answer(store, asked)));
        }
    }
}

async fn answer(store: &Store, asked: PendingOp) -> (u64, StoreReply) {
    (asked.id, execute(store, asked.op).await)
}
