//! An open-loop load generator.
//!
//! Requests are sent when they are due, whether or not earlier ones have been answered, and their
//! latencies count from that moment. A load that waited for responses would slow down with the
//! system and hide the latencies that callers see.

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

pub use report::{Report, ServiceReport};
pub use stats::{LoadStats, ServiceCounts};

use crate::caller::{CallRequest, Caller, Outcome};

/// The requests of a load.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Services; each gets an equal share of the requests.
    pub services: Vec<Arc<str>>,
    /// Path prefix at the service; a path id is appended.
    pub path: Arc<str>,
    /// Number of distinct path ids.
    pub path_count: u64,
    /// Fraction of the requests that are not idempotent, from 0 to 1.
    pub write_fraction: f64,
    /// Time after which a response is no longer useful.
    pub deadline: Duration,
}

/// Rate and duration of a load.
#[derive(Clone, Debug)]
pub struct LoadSchedule {
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed for arrival times, services and paths.
    pub seed: u64,
}

/// Sends requests from the callers round robin and waits until all have ended.
///
/// The statistics are shared, so that they can be read while the load runs.
pub async fn run(
    callers: &[Arc<Caller>],
    workload: &Workload,
    schedule: &LoadSchedule,
    stats: &Arc<Mutex<LoadStats>>,
) {
    let mut rng = SmallRng::seed_from_u64(schedule.seed);
    let mut running = JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    for (number, caller) in callers.iter().cycle().enumerate() {
        due += gap(&mut rng, schedule.rate);
        if due >= start + schedule.duration {
            break;
        }
        tokio::time::sleep_until(due).await;
        let request = draw(&mut rng, workload, schedule.seed, number);
        let (caller, stats) = (Arc::clone(caller), Arc::clone(stats));
        running.spawn(async move { send(&caller, &request, due, &stats).await });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
}

/// Returns a random time to the next request. Arrivals of many independent callers form a Poisson
/// process.
fn gap(rng: &mut SmallRng, rate: f64) -> Duration {
    let u = 1.0 - rng.random::<f64>();
    Duration::try_from_secs_f64(-u.ln() / rate).unwrap_or(Duration::from_secs(3600))
}

/// Returns a random request. Its path is unique, so that a response to another request is detected.
fn draw(rng: &mut SmallRng, workload: &Workload, seed: u64, number: usize) -> CallRequest {
    let service = rng.random_range(0..workload.services.len());
    let key = rng.random_range(0..workload.path_count.max(1));
    let at_most_once = rng.random::<f64>() < workload.write_fraction;
    CallRequest {
        service: Arc::clone(&workload.services[service]),
        method: if at_most_once {
            Method::POST
        } else {
            Method::GET
        },
        path: format!("{}/{key}?n={seed}-{number}", workload.path).into(),
        body: Bytes::new(),
        timeout: workload.deadline,
        at_most_once,
    }
}

async fn send(caller: &Caller, request: &CallRequest, due: Instant, stats: &Mutex<LoadStats>) {
    stats
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .sent(&request.service);
    let result = caller.call(request).await;
    let time = due.elapsed();
    let check = match &result.outcome {
        Outcome::Answered(answered) => response_check::check(request, answered),
        _ => response_check::ResponseCheck::Matching,
    };
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    stats.ended(&request.service, &result, check, time);
}
