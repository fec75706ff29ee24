//! The pools this host owns: who gets which slot of which target.
//!
//! The duty drives the decisions of [`dunlinrock_decide::admit`] and nothing else. A holder, the
//! task that carries one request, offers it and then gets events: where to send it, what to abort,
//! or that it is turned away. The duty never waits for a holder: events go into a channel that the
//! holder owns, and one that is gone is cancelled.
//!
//! It shares its thread with the callers' duty, whose requests need it most: a decision takes about
//! a microsecond, and waking another thread and being woken by it took some tens, twice a request.
//! The notes of the path (`docs/notes/threads.md`) have the figures. Other duties reach it through
//! its ring all the same.

mod fence;
mod input;
mod pool;
mod spec;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use self::pool::Owned;
pub use self::{
    fence::Fence,
    input::{Event, Events, Input, PoolReport},
    spec::{PoolId, PoolPlan},
};
use crate::{clock::Clock, ring};

/// Inputs that may wait for the duty. Each request makes two or three; at 20,000 requests a second
/// this is a hundred milliseconds of work, beyond which an offer is better turned away at once.
pub const RING: usize = 4096;

/// Pause between two inputs while the fence is closed.
const HOLD_PAUSE: Duration = Duration::from_millis(1);

/// Drives the pools until [`Input::Stop`] comes.
pub(super) async fn drive(clock: Clock, fence: Fence, mut inputs: ring::Receiver<Input>) {
    let mut pools: BTreeMap<Arc<PoolId>, Owned> = BTreeMap::new();
    let mut held = Vec::new();
    loop {
        let wake = pools.values().filter_map(Owned::next_wake).min();
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
            hold(&mut held, input);
            // The next input comes with the control duty's next tick.
            tokio::time::sleep(HOLD_PAUSE).await;
            continue;
        }
        for input in held.drain(..).chain([input]) {
            apply(&mut pools, input, clock);
        }
        pools.retain(|_, owned| !owned.is_done());
    }
}

/// Puts an input by while the fence is closed. An offer has not run here: its holder looks who owns
/// the pool now.
fn hold(held: &mut Vec<Input>, input: Input) {
    match input {
        Input::Offer { events, .. } => events.tell(Event::NotOwner),
        Input::Tick => {}
        other => held.push(other),
    }
}

fn apply(pools: &mut BTreeMap<Arc<PoolId>, Owned>, input: Input, clock: Clock) {
    let now = clock.now();
    match input {
        Input::Own(plans) => own(pools, plans, clock),
        Input::Offer {
            pool,
            offer,
            events,
        } => match pools.get_mut(&pool) {
            Some(owned) => owned.offer(offer, events, now),
            None => events.tell(Event::NotOwner),
        },
        Input::Finish {
            pool,
            ticket,
            target,
            outcome,
            report,
        } => {
            if let Some(owned) = pools.get_mut(&pool) {
                owned.finish(ticket, &target, (outcome, report), now);
            }
        }
        Input::Cancel { pool, ticket } => {
            if let Some(owned) = pools.get_mut(&pool) {
                owned.cancel(ticket, now);
            }
        }
        Input::Hear(words) => {
            for owned in pools.values_mut() {
                owned.hear(&words, now);
            }
        }
        Input::Ask(reply) => {
            let reports = pools.iter_mut().map(|(id, owned)| owned.tell(id, now));
            // Whoever asked may have given up waiting.
            let _ = reply.send(reports.collect());
        }
        Input::Tick | Input::Stop => {
            for owned in pools.values_mut() {
                owned.poll(now);
            }
        }
    }
}

/// Takes over what this host owns now. A pool that went to another host gives its waiting requests
/// back to their holders, which hand them to the new owner, and is kept until its last run ends.
fn own(pools: &mut BTreeMap<Arc<PoolId>, Owned>, plans: Vec<PoolPlan>, clock: Clock) {
    let now = clock.now();
    let mut lost: Vec<Arc<PoolId>> = pools.keys().cloned().collect();
    for plan in plans {
        lost.retain(|id| *id != plan.id);
        match pools.get_mut(&plan.id) {
            Some(owned) => owned.reconfigure(&plan, now),
            None => {
                pools.insert(Arc::clone(&plan.id), Owned::open(&plan, now));
            }
        }
    }
    for id in lost {
        if let Some(owned) = pools.get_mut(&id) {
            owned.release(now);
        }
    }
}
