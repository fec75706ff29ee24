//! A client library for services: cached lookups, weighted choice of hosts, deadlines, and retries
//! that never run an at-most-once request twice.
//!
//! An idempotent request is retried on another host after a failure. An at-most-once request
//! carries an idempotency key and is retried with the same key, alternating between the key's owner
//! and its witness, until one of them reports a definite outcome. Only a `run: no` to the latest
//! attempt ends a key; a further attempt then uses a new key.

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
use connections::{Connections, LookupResult};

/// Timeout of a lookup at one host, after which another host is tried.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of hosts that one lookup tries in a row.
const MAX_LOOKUP_ATTEMPTS: usize = 4;

/// Pause before a lookup is repeated that no host answered; doubled each time.
const LOOKUP_BACKOFF: Duration = Duration::from_millis(250);

/// Upper bound of the random backoff before a retry, which is added to the time that the host asked
/// for, if any.
const BACKOFF: Duration = Duration::from_millis(40);

/// Options of a caller.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Name of the caller; hosts divide capacity fairly between callers by name.
    pub name: Arc<str>,
    /// Hosts for the first lookups; lookups discover more.
    pub seeds: Vec<SocketAddr>,
    /// Local address to connect from; chosen by the system if absent.
    pub local_addr: Option<IpAddr>,
    /// Maximum attempts per request, over all its keys.
    pub attempts: u32,
    /// Seed for the choice of hosts and the backoff.
    pub seed: u64,
}

/// A request to a service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service that runs the request.
    pub service: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, with a leading slash.
    pub path: Arc<str>,
    /// Body.
    pub body: Bytes,
    /// Time after which a response is no longer useful.
    pub timeout: Duration,
    /// Whether the request must run at most once and so needs an idempotency key.
    pub at_most_once: bool,
}

/// A client that can have many requests in flight at once.
pub struct Caller {
    options: CallerOptions,
    connections: Connections,
    cache: Mutex<Cache>,
    rng: Mutex<SmallRng>,
}

impl Caller {
    /// Creates a caller. It connects on its first call.
    pub fn open(options: CallerOptions) -> Self {
        Self {
            connections: Connections::open(options.local_addr),
            cache: Mutex::new(Cache::open(&options.seeds)),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            options,
        }
    }

    /// Returns the caller's name.
    pub fn name(&self) -> &Arc<str> {
        &self.options.name
    }

    /// Runs a request, with retries until its deadline.
    pub async fn call(&self, request: &CallRequest) -> CallResult {
        let deadline = Instant::now() + request.timeout;
        match request.at_most_once {
            true => at_most_once::run(self, request, deadline).await,
            false => idempotent::run(self, request, deadline).await,
        }
    }

    /// Returns the hosts of a service, from the cache or by a new lookup; `None` if the hosts do
    /// not know the service, or none answers in as many rounds as the request has attempts.
    ///
    /// Hosts that have just started or were paused answer no lookups for some seconds, so a single
    /// round would give up requests that have time left.
    async fn look_up(&self, service: &str, deadline: Instant) -> Option<Arc<Hosts>> {
        if let Some(hosts) = self.cache().get(service, Instant::now()) {
            return Some(hosts);
        }
        let mut pause = LOOKUP_BACKOFF;
        for round in 0..self.options.attempts {
            if round > 0 {
                if !self.backoff(Some(pause), deadline).await {
                    return None;
                }
                pause *= 2;
            }
            match self.look_up_once(service, deadline).await {
                LookupResult::Found(hosts) => {
                    return Some(self.cache().insert(hosts, Instant::now()));
                }
                LookupResult::Rejected => return None,
                LookupResult::Failed => {}
            }
        }
        None
    }

    /// Looks a service up at a few hosts, one after another. The result is `Rejected` only if all of
    /// them rejected the lookup.
    async fn look_up_once(&self, service: &str, deadline: Instant) -> LookupResult {
        let mut result = LookupResult::Rejected;
        for _ in 0..MAX_LOOKUP_ATTEMPTS {
            let Some(at) = self.pick(&self.cache().candidates()) else {
                return LookupResult::Rejected;
            };
            let time = LOOKUP_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
            match self.connections.hosts(at, service, time).await {
                LookupResult::Found(hosts) => return LookupResult::Found(hosts),
                LookupResult::Failed => result = LookupResult::Failed,
                LookupResult::Rejected => {}
            }
            self.cache().remove_host(at);
        }
        result
    }

    /// Drops the cached hosts of a service, so that the next request does a new lookup.
    fn invalidate(&self, service: &str) {
        self.cache().remove(service);
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a random number below `bound`, which must not be 0.
    fn draw(&self, bound: u64) -> u64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..bound)
    }

    fn pick(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let n = u64::try_from(addresses.len()).ok().filter(|n| *n > 0)?;
        addresses.get(usize::try_from(self.draw(n)).ok()?).copied()
    }

    /// Returns a nonce for an idempotency key. It never depends on the seed: two callers with the
    /// same seed, or a restarted one, would use one key for two requests, and the second would get
    /// no response.
    fn nonce() -> String {
        let mut rng = rand::rng();
        format!("{:016x}{:016x}", rng.random::<u64>(), rng.random::<u64>())
    }

    /// Waits before a retry. Returns `false` without waiting if the wait would pass the deadline.
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
