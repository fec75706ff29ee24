//! Targets: servers that run requests in a limited number of slots.

mod http;
mod options;
mod run;
mod state;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use anyhow::Context;
use dunlinrock_schema::store::{TargetCounts, TargetReport};
use tokio::sync::Semaphore;

pub use options::{TargetOptions, TargetSpec, WorkTime};

use crate::serve::{Listener, PortSwitch, Server};
use state::State;

/// Fake targets that serve HTTP on one thread until the handle is dropped.
pub struct Targets {
    targets: BTreeMap<Arc<str>, Target>,
    server: Server,
}

impl Targets {
    /// Binds all targets of the list and serves them on one thread.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a name is duplicated, or the thread cannot be started.
    pub fn bind(specs: Vec<TargetSpec>) -> anyhow::Result<Self> {
        let mut targets = BTreeMap::new();
        let mut listeners = Vec::with_capacity(specs.len());
        for spec in specs {
            let name = Arc::clone(&spec.name);
            let (target, listener) =
                Target::open(spec).with_context(|| format!("target {name}"))?;
            listeners.push(listener);
            let earlier = targets.insert(Arc::clone(&name), target);
            anyhow::ensure!(earlier.is_none(), "two targets are named {name}");
        }
        let server = Server::spawn("fake-targets", listeners)?;
        Ok(Self { targets, server })
    }

    /// Returns the targets in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the target of a name.
    pub fn get(&self, name: &str) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Returns the number of runs by idempotency key, summed over all targets.
    pub fn run_counts(&self) -> BTreeMap<Arc<str>, u64> {
        let mut sum = BTreeMap::new();
        for (key, n) in self.iter().flat_map(Target::run_counts) {
            *sum.entry(key).or_default() += n;
        }
        sum
    }

    /// Stops serving and closes all connections, as dropping the handle does.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

/// The fault controls of one fake target; clones control the same target.
#[derive(Clone)]
pub struct Target {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Target {
    /// Binds one target that is served on its own thread.
    ///
    /// # Errors
    ///
    /// Fails like [`Targets::bind`].
    pub fn bind(addr: &str, options: TargetOptions) -> anyhow::Result<(Self, Targets)> {
        let spec = TargetSpec {
            name: "target".into(),
            addr: addr.into(),
            options,
        };
        let targets = Targets::bind(vec![spec])?;
        let target = targets.get("target").cloned().context("one was bound")?;
        Ok((target, targets))
    }

    fn open(spec: TargetSpec) -> anyhow::Result<(Self, Listener)> {
        let connections = spec.options.connections;
        let port_switch = PortSwitch::open();
        let shared = Arc::new(Shared {
            name: spec.name,
            slots: Arc::new(Semaphore::new(spec.options.slots as usize)),
            state: Mutex::new(State::open(spec.options)),
            port_switch: port_switch.clone(),
            origin: Instant::now(),
        });
        let served = Arc::clone(&shared);
        let handler = Arc::new(move |req| -> futures::future::BoxFuture<'static, _> {
            Box::pin(http::handle(Arc::clone(&served), req))
        });
        let listener = Listener::bind(&spec.addr, connections, port_switch, handler)?;
        let addr = listener.addr()?;
        Ok((Self { addr, shared }, listener))
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name.
    pub fn name(&self) -> &Arc<str> {
        &self.shared.name
    }

    /// Sets whether the target is leaving: it then finishes its running requests and sheds new ones.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.change(|state| state.leaving = leaving);
    }

    /// Takes the target down: closes and refuses connections and cancels all requests.
    pub fn down(&self) {
        self.shared.port_switch.set_and_wait(false);
    }

    /// Brings the target up again, with a cold cache.
    pub fn up(&self) {
        self.shared.change(State::clear_cache);
        self.shared.port_switch.set_and_wait(true);
    }

    /// Clears the cache: the target is slow until it is warm again.
    pub fn clear_cache(&self) {
        self.shared.change(State::clear_cache);
    }

    /// Multiplies the run time of all future requests by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.lock().slowdown = factor;
    }

    /// Sheds the next `requests` requests regardless of the load.
    pub fn shed_next(&self, requests: u64) {
        self.shared.lock().shed_next = requests;
    }

    /// Adds a `Retry-After` in seconds to the responses to shed requests, or none with `None`.
    pub fn set_shed_backoff(&self, seconds: Option<f64>) {
        self.shared.lock().shed_backoff = seconds;
    }

    /// Truncates the bodies of the next `answers` responses.
    pub fn truncate_next(&self, answers: u64) {
        self.shared.lock().truncate_next = answers;
    }

    /// Reports `report` regardless of the load, or the actual load again with `None`.
    pub fn override_report(&self, report: Option<TargetReport>) {
        self.shared.lock().reported_override = report;
    }

    /// Returns the current load.
    pub fn load(&self) -> TargetReport {
        self.shared.lock().load()
    }

    /// Returns the maximum number of slots that were in use at once.
    pub fn peak_busy(&self) -> u32 {
        self.shared.lock().peak
    }

    /// Returns the counts of requests by outcome.
    pub fn counts(&self) -> TargetCounts {
        self.shared.lock().counts()
    }

    /// Returns the number of started runs by idempotency key (`Idempotency-Key`).
    pub fn run_counts(&self) -> BTreeMap<Arc<str>, u64> {
        self.shared.lock().runs.clone()
    }
}

/// State shared by the handle and the serving thread.
struct Shared {
    name: Arc<str>,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
    port_switch: PortSwitch,
    origin: Instant,
}

impl Shared {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and records the resulting load.
    fn change<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let out = f(&mut state);
        state.record_load(now);
        out
    }

    fn restart(&self) {
        self.change(State::clear_cache);
        self.port_switch.set(true);
    }
}
