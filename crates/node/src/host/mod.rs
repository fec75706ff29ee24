//! A running entry host.

mod listen;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use arc_swap::ArcSwap;
use dunlinrock_decide::steer::Grantee;
use dunlinrock_schema::settings::Settings;
use tokio::sync::watch;

use crate::{
    clock::{Clock, millis},
    duties::{callers, control, ledger, peers, pools},
    metrics::Metrics,
    ring,
    run::UngrantedLimiter,
    shared::Shared,
    traffic::TrafficMeter,
    view::{Member, View},
};

/// Number of random bits in an incarnation, below its start time in milliseconds since 1970. They
/// make the incarnations of two processes differ that start under one name in the same millisecond.
pub(crate) const INCARNATION_BITS: u32 = 20;

/// Interval at which a send to a full channel is retried.
const SEND_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// A running host. If it is dropped without [`Host::start_shutdown`], it runs until the process
/// ends.
#[derive(Debug)]
pub struct Host {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    control: JoinHandle<control::DrainReport>,
    threads: Threads,
}

/// Threads of the workers that serve requests.
#[derive(Debug)]
struct Threads {
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    ledger: JoinHandle<()>,
}

impl Host {
    /// Binds the host's addresses and starts its workers.
    ///
    /// # Errors
    ///
    /// Returns an error if an address of the settings is malformed or cannot be bound, or if a
    /// thread cannot be started.
    pub fn spawn(settings: Settings) -> anyhow::Result<Host> {
        Host::spawn_above(settings, 0)
    }

    /// Starts a host as [`Host::spawn`] does, with an incarnation above that of an earlier process.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases of [`Host::spawn`].
    pub fn spawn_above(settings: Settings, earlier: u64) -> anyhow::Result<Host> {
        let callers = listen::bind("callers", &settings.callers)?;
        let peers = listen::bind("peers", &settings.peers)?;
        let clock = Clock::open();
        let me = Member {
            name: Arc::clone(&settings.name),
            incarnation: incarnation().max(earlier.saturating_add(1)),
            region: Arc::clone(&settings.region),
            domain: Arc::clone(&settings.domain),
            callers: callers.local_addr().context("the callers' address")?,
            peers: peers.local_addr().context("the peers' address")?,
            leaving: false,
            suspect: false,
            epoch: 0,
        };
        let receiver = metrics_address(&settings)?;
        let prefix = settings.metrics.clone().unwrap_or_default().prefix;
        let metrics = Metrics::open(&prefix, receiver)?;
        let view = Arc::new(ArcSwap::from_pointee(View::empty()));
        let (pools, pool_inputs) = ring::channel(pools::QUEUE_CAPACITY);
        let timing = settings.timing.clone().unwrap_or_default();
        let limits = ledger::limits(&timing);
        let ledger = ledger::open(&me, limits, clock, Arc::clone(&view))?;
        let (control, inputs) = ring::channel(control::QUEUE_CAPACITY);
        let fence = pools::Fence::open(Duration::from_millis(timing.suspect_ms));
        let grantee = Arc::new(Mutex::new(Grantee::open(&me.name, &me.region)));
        let shared = Arc::new(Shared {
            limits: settings.limits.clone().unwrap_or_default(),
            timing,
            settings,
            me,
            clock,
            view,
            grantee,
            ungranted_limiter: UngrantedLimiter::default(),
            traffic: TrafficMeter::default(),
            fence,
            published: watch::channel(0).0,
            higher_incarnation: watch::channel(None).0,
            pools,
            ledger: ledger.sender,
            epoch: ledger.epoch,
            control,
            metrics,
            tickets: AtomicU64::new(1),
        });
        let (stop, stopped) = watch::channel(false);
        let threads = Threads {
            callers: callers::open(Arc::clone(&shared), callers, pool_inputs, stopped.clone())?,
            peers: peers::open(Arc::clone(&shared), peers, stopped)?,
            ledger: ledger.thread,
        };
        let control = control::open(Arc::clone(&shared), inputs)?;
        log::info!(
            host = &*shared.me.name, incarnation = shared.me.incarnation,
            callers:% = shared.me.callers, peers:% = shared.me.peers; "host started"
        );
        Ok(Host {
            shared,
            stop,
            control,
            threads,
        })
    }

    /// Returns the address that callers connect to.
    pub fn callers_addr(&self) -> SocketAddr {
        self.shared.me.callers
    }

    /// Returns the address that other hosts connect to.
    pub fn peers_addr(&self) -> SocketAddr {
        self.shared.me.peers
    }

    /// Returns the name of the host.
    pub fn name(&self) -> &Arc<str> {
        &self.shared.me.name
    }

    /// Returns the revision of the active configuration; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.shared.view.load().revision
    }

    /// Returns whether callers may use this host.
    pub fn is_ready(&self) -> bool {
        self.shared.view.load().ready
    }

    /// Waits until a published view satisfies `test`.
    pub async fn wait_for(&self, test: impl Fn(&View) -> bool) {
        let mut published = self.shared.published.subscribe();
        while !test(&self.shared.view.load()) {
            // The sender lives as long as the host.
            if published.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the state that the workers share, for programs that embed a host.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until an earlier process of this name turns out to have a higher incarnation, and
    /// returns that incarnation. This host then serves no callers and ends on its own;
    /// [`Host::spawn_above`] starts its replacement after [`Host::wait`].
    pub async fn higher_incarnation(&self) -> u64 {
        let mut higher_incarnation = self.shared.higher_incarnation.subscribe();
        let earlier = higher_incarnation.wait_for(Option::is_some).await;
        // The sender lives as long as the host.
        earlier
            .ok()
            .and_then(|earlier| *earlier)
            .unwrap_or_default()
    }

    /// Begins a graceful shutdown. Other hosts are notified at once; this host keeps serving until
    /// the lookup answers that callers have cached expire, waits for requests in flight, and hands
    /// its records over.
    pub fn start_shutdown(&self) {
        if self
            .shared
            .control
            .try_send(control::Input::Shutdown)
            .is_err()
        {
            log::warn!("the control worker's queue is full; request the shutdown again");
        }
    }

    /// Waits for the end of the graceful shutdown and returns its duration.
    ///
    /// # Errors
    ///
    /// Returns an error if a worker thread panicked.
    pub fn wait(self) -> anyhow::Result<Duration> {
        let report = self
            .control
            .join()
            .map_err(|_| anyhow::anyhow!("the control worker panicked"))?;
        self.stop.send_replace(true);
        join(self.threads.peers)?;
        // The pools worker stops after the last request of another host has left its pools.
        send_blocking(&self.shared.pools, pools::Input::Stop);
        join(self.threads.callers)?;
        send_blocking(&self.shared.ledger, ledger::Input::Stop);
        join(self.threads.ledger)?;
        log::info!(host = &*self.shared.me.name, drain_ms = millis(report.drain); "host stopped");
        Ok(report.drain)
    }

    /// Returns the current epoch of the request ledger.
    pub fn epoch(&self) -> u64 {
        self.shared.epoch.load(Ordering::Relaxed)
    }
}

fn join(thread: JoinHandle<()>) -> anyhow::Result<()> {
    let name = thread.thread().name().unwrap_or("duty").to_owned();
    thread
        .join()
        .map_err(|_| anyhow::anyhow!("the {name} worker panicked"))
}

/// Sends a command and blocks while the channel is full; its worker empties it within milliseconds.
fn send_blocking<T>(queue: &ring::Sender<T>, command: T) {
    let mut command = command;
    while let Err(ring::Full(back)) = queue.try_send(command) {
        command = back;
        std::thread::sleep(SEND_RETRY_INTERVAL);
    }
}

fn metrics_address(settings: &Settings) -> anyhow::Result<Option<SocketAddr>> {
    let address = settings
        .metrics
        .as_ref()
        .and_then(|metrics| metrics.address.as_ref());
    let Some(address) = address else {
        return Ok(None);
    };
    let parsed = address
        .parse()
        .with_context(|| format!("metrics.address `{address}`"))?;
    Ok(Some(parsed))
}

/// Returns an incarnation that no earlier process of this name had: the time, followed by random
/// bits.
///
/// The time makes the number of a later process higher, which is how other hosts tell which of two
/// processes is newer. If the machine's clock was set back, the number may be lower; the process
/// then starts again with an incarnation above the earlier one.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = rand::random::<u64>() & ((1 << INCARNATION_BITS) - 1);
    (millis(since) << INCARNATION_BITS) | random
}
