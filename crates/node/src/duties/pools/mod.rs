//! The pools that this host owns, and the assignment of their targets' slots to requests.
//!
//! The worker drives the decisions of [`dunlinrock_decide::admit`] and does nothing else. The task
//! of a request offers it and then receives events: to which target to send it, what to abort, or
//! that it is refused. The worker never waits for a task: events are sent into an unbounded
//! channel, and a request whose task has ended is cancelled.
//!
//! The worker shares its thread with the callers worker, whose requests use it most: a decision
//! takes about a microsecond, while waking another thread and being woken by it took some tens,
//! twice per request. `docs/notes/threads.md` has the figures. Other workers reach it through its
//! channel all the same.

mod fence;
mod input;
mod pool;
mod spec;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use self::pool::OwnedPool;
pub use self::{
    fence::Fence,
    input::{Event, EventSender, Input, PoolReport},
    spec::{PoolId, PoolSpec},
};
use crate::{clock::Clock, ring};

/// Capacity of the worker's channel. Each request sends two or three inputs; at 20,000 requests a
/// second the capacity is a hundred milliseconds of work, beyond which an offer is better refused
/// at once.
pub const QUEUE_CAPACITY: usize = 4096;

/// Interval between two inputs while the fence is closed.
const DEFER_INTERVAL: Duration = Duration::from_millis(1);

/// Drives the pools until [`Input::Stop`] arrives.
pub(super) async fn drive(clock: Clock, fence: Fence, mut inputs: ring::Receiver<Input>) {
    let mut pools: BTreeMap<Arc<PoolId>, OwnedPool> = BTreeMap::new();
    let mut deferred = Vec::new();
    loop {
        let wake = pools.values().filter_map(OwnedPool::next_wake).min();
        let input = match wake {
            None => inputs.recv().await,
            Some(wake) => {
                tokio::select! {
                    biased;
                    input = inputs.recv() => input,
                    () = tokio::time::sleep_until(clock.instant(wake)) => Some(Input::Tick),
                }
            }
        };
        let Some(input) = input else { return };
        if matches!(input, Input::Stop) {
            return;
        }
        if fence.is_closed(clock.now()) {
            defer(&mut deferred, input);
            // The fence can only open with the control worker's next tick.
            tokio::time::sleep(DEFER_INTERVAL).await;
            continue;
        }
        for input in deferred.drain(..).chain([input]) {
            apply(&mut pools, input, clock);
        }
        pools.retain(|_, owned| !owned.is_done());
    }
}

/// Defers an input while the fence is closed. An offer is rejected, since it has not run here: its
/// task looks up the pool's current owner.
fn defer(deferred: &mut Vec<Input>, input: Input) {
    match input {
        Input::Offer { events, .. } => events.send(Event::NotOwner),
        Input::Tick => {}
        other => deferred.push(other),
    }
}

fn apply(pools: &mut BTreeMap<Arc<PoolId>, OwnedPool>, input: Input, clock: Clock) {
    let now = clock.now();
    match input {
        Input::SetPools(specs) => set_pools(pools, specs, clock),
        Input::Offer {
            pool,
            offer,
            events,
        } => match pools.get_mut(&pool) {
            Some(owned) => owned.offer(offer, events, now),
            None => events.send(Event::NotOwner),
        },
        Input::Finish {
            pool,
            ticket,
            target,
            outcome,
            report,
            backoff,
        } => {
            if let Some(owned) = pools.get_mut(&pool) {
                owned.finish(ticket, &target, (outcome, report), backoff, now);
            }
        }
        Input::Cancel { pool, ticket } => {
            if let Some(owned) = pools.get_mut(&pool) {
                owned.cancel(ticket, now);
            }
        }
        Input::Quarantines(updates) => {
            for owned in pools.values_mut() {
                owned.apply_quarantines(&updates, now);
            }
        }
        Input::GetState(reply) => {
            let reports = pools.iter_mut().map(|(id, owned)| owned.report(id, now));
            // The requester may have stopped waiting.
            let _ = reply.send(reports.collect());
        }
        Input::Tick | Input::Stop => {
            for owned in pools.values_mut() {
                owned.poll(now);
            }
        }
    }
}

/// Updates the set of owned pools. A pool that another host owns now returns its queued requests to
/// their tasks, which forward them to the new owner, and is kept until its last run ends.
fn set_pools(pools: &mut BTreeMap<Arc<PoolId>, OwnedPool>, specs: Vec<PoolSpec>, clock: Clock) {
    let now = clock.now();
    let mut released: Vec<Arc<PoolId>> = pools.keys().cloned().collect();
    for spec in specs {
        released.retain(|id| *id != spec.id);
        match pools.get_mut(&spec.id) {
            Some(owned) => owned.reconfigure(&spec, now),
            None => {
                pools.insert(Arc::clone(&spec.id), OwnedPool::open(&spec, now));
            }
        }
    }
    for id in released {
        if let Some(owned) = pools.get_mut(&id) {
            owned.release(now);
        }
    }
}
