//! A caller as services' clients should be: look-ups kept for as long as they may be, a choice of
//! host by weight, deadlines, and retries that never run a request twice.
//!
//! A request that may be repeated goes to another host after a failure. One that may not carries a
//! key, and goes on with the same key to the key's owner and witness in turn, until one of them
//! says for certain what became of it. Only a `run: no` to the latest attempt ends a key; what is
//! tried after that is a new key.

mod at_most_once;
mod cache;
mod connections;
mod idempotent;
mod outcome;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_schema::api::Hosts;
use http::Method;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

pub use outcome::{CallResult, Outcome, TargetResponse};

use cache::Cache;
use connections::Connections;

/// Time that one look-up may take before another host is asked.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Hosts that one look-up asks in turn.
const MAX_LOOKUP_ATTEMPTS: usize = 4;

/// Longest pause before another attempt where no time was given; attempts are spread over it.
const BACKOFF: Duration = Duration::from_millis(40);

/// Who a caller is and how hard it tries.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Name, by which hosts give fair shares.
    pub name: Arc<str>,
    /// Hosts to ask first; look-ups name more.
    pub seeds: Vec<SocketAddr>,
    /// Own address to call from; the system's choice where absent.
    pub local_addr: Option<IpAddr>,
    /// Attempts of a request, all keys together.
    pub attempts: u32,
    /// Seed of its choices.
    pub seed: u64,
}

/// A request.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service to run it.
    pub service: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query at the service, with the leading slash.
    pub path: Arc<str>,
    /// Body.
    pub body: Bytes,
    /// Time in which an answer is of use.
    pub timeout: Duration,
    /// Whether it must run at most once, and so goes under a key.
    pub at_most_once: bool,
}

/// A caller; it may have many requests on their way at once.
pub struct Caller {
    options: CallerOptions,
    connections: Connections,
    cache: Mutex<Cache>,
    rng: Mutex<SmallRng>,
}

impl Caller {
    /// Opens a caller; it connects when it first calls.
    pub fn open(options: CallerOptions) -> Self {
        Self {
            connections: Connections::open(options.local_addr),
            cache: Mutex::new(Cache::open(&options.seeds)),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            options,
        }
    }

    /// Gives the caller's name.
    pub fn name(&self) -> &Arc<str> {
        &self.options.name
    }

    /// Runs a request, with retries, until its time is over.
    pub async fn call(&self, request: &CallRequest) -> CallResult {
        let deadline = Instant::now() + request.timeout;
        match request.at_most_once {
            true => at_most_once::run(self, request, deadline).await,
            false => idempotent::run(self, request, deadline).await,
        }
    }

    /// Finds the hosts of a service: from memory while the last answer may be used, else by asking.
    async fn look_up(&self, service: &str, deadline: Instant) -> Option<Arc<Hosts>> {
        if let Some(hosts) = self.cache().get(service, Instant::now()) {
            return Some(hosts);
        }
        for _ in 0..MAX_LOOKUP_ATTEMPTS {
            let at = self.pick(&self.cache().candidates())?;
            let time = LOOKUP_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
            match self.connections.hosts(at, service, time).await {
                Some(hosts) => return Some(self.cache().insert(hosts, Instant::now())),
                None => self.cache().remove_host(at),
            }
        }
        None
    }

    /// Drops what is remembered of a service, so that the next request asks again.
    fn invalidate(&self, service: &str) {
        self.cache().remove(service);
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a number below `bound`, which is not 0.
    fn draw(&self, bound: u64) -> u64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..bound)
    }

    fn pick(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let n = u64::try_from(addresses.len()).ok().filter(|n| *n > 0)?;
        addresses.get(usize::try_from(self.draw(n)).ok()?).copied()
    }

    /// Makes a nonce for a key. Never from the seed: two callers with one seed, or one that was
    /// started again, would use a key for two requests, and the second would get no answer.
    fn nonce() -> String {
        let mut rng = rand::rng();
        format!("{:016x}{:016x}", rng.random::<u64>(), rng.random::<u64>())
    }

    /// Waits before another attempt; `false` where that would pass the deadline.
    async fn backoff(&self, asked: Option<Duration>, deadline: Instant) -> bool {
        let spread = u64::try_from(BACKOFF.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.draw(spread));
        let until = Instant::now() + asked.unwrap_or_default() + jitter;
        if until >= deadline {
            return false;
        }
        tokio::time::sleep_until(until).await;
        true
    }
}
