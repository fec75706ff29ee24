//! An open-loop load of callers.
//!
//! Requests are sent when they are due, whether or not earlier ones have been answered, and their
//! times count from that moment. A load that waited for answers would slow down with the system and
//! hide how long callers wait.

mod report;
mod response_check;
mod stats;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{task::JoinSet, time::Instant};

pub use report::{Report, Share};
pub use stats::{Tally, Totals};

use crate::caller::{Ask, Caller, Outcome};

/// What the requests of a load are.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Services, each taking an equal part of the requests.
    pub services: Vec<Arc<str>>,
    /// Path at the service; a key is added to it.
    pub path: Arc<str>,
    /// Different keys.
    pub keys: u64,
    /// Part of the requests that may not be repeated, of 1.
    pub writes: f64,
    /// Time in which an answer is of use.
    pub deadline: Duration,
}

/// How much is sent and for how long.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Requests a second.
    pub rate: f64,
    /// Time to go on for.
    pub time: Duration,
    /// Seed of times, services and keys.
    pub seed: u64,
}

/// Sends requests from the callers in turn and waits for the last to end.
///
/// The tally is shared, so that others can read it on the way.
pub async fn run(callers: &[Arc<Caller>], mix: &Mix, pace: &Pace, tally: &Arc<Mutex<Tally>>) {
    let mut rng = SmallRng::seed_from_u64(pace.seed);
    let mut running = JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    for (number, caller) in callers.iter().cycle().enumerate() {
        due += gap(&mut rng, pace.rate);
        if due >= start + pace.time {
            break;
        }
        tokio::time::sleep_until(due).await;
        let ask = draw(&mut rng, mix, pace.seed, number);
        let (caller, tally) = (Arc::clone(caller), Arc::clone(tally));
        running.spawn(async move { send(&caller, &ask, due, &tally).await });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
}

/// Draws the time to the next request; arrivals of many callers are a Poisson process.
fn gap(rng: &mut SmallRng, rate: f64) -> Duration {
    let u = 1.0 - rng.random::<f64>();
    Duration::try_from_secs_f64(-u.ln() / rate).unwrap_or(Duration::from_secs(3600))
}

/// Draws a request. Its path is its own, so that an answer to another one is seen.
fn draw(rng: &mut SmallRng, mix: &Mix, seed: u64, number: usize) -> Ask {
    let service = rng.random_range(0..mix.services.len());
    let key = rng.random_range(0..mix.keys.max(1));
    let keyed = rng.random::<f64>() < mix.writes;
    Ask {
        service: Arc::clone(&mix.services[service]),
        method: if keyed { Method::POST } else { Method::GET },
        path: format!("{}/{key}?n={seed}-{number}", mix.path).into(),
        body: Bytes::new(),
        time: mix.deadline,
        keyed,
    }
}

async fn send(caller: &Caller, ask: &Ask, due: Instant, tally: &Mutex<Tally>) {
    tally
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .sent(&ask.service);
    let done = caller.call(ask).await;
    let time = due.elapsed();
    let whole = match &done.outcome {
        Outcome::Answered(answered) => response_check::check(ask, answered),
        _ => response_check::Verdict::Right,
    };
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.ended(&ask.service, &done, whole, time);
}
