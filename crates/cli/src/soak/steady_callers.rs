//! Callers of a series: a steady rate of requests, each sent once, over kept connections.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use dunlinrock_platform::standin::caller_headers;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{net::TcpStream, task::JoinHandle};

use super::{callers::lock, deployment::NAME};

/// Deadline that callers state, after which they close the connection.
const DEADLINE: Duration = Duration::from_secs(3);

/// An idle connection to a host.
type Idle = SendRequest<Full<Bytes>>;

/// What the callers of a series share.
#[derive(Debug)]
struct Shared {
    hosts: Mutex<Vec<SocketAddr>>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
    /// When each request was sent.
    sent: Mutex<Vec<Instant>>,
    is_stopped: AtomicBool,
}

/// Callers that send requests at a steady rate, each once, over kept connections.
#[derive(Debug)]
pub(super) struct SteadyCallers {
    all: Vec<SocketAddr>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl SteadyCallers {
    pub(super) fn spawn(all: Vec<SocketAddr>, rate: u32, seed: u64) -> SteadyCallers {
        let shared = Arc::new(Shared {
            hosts: Mutex::new(all.clone()),
            idle: Mutex::default(),
            sent: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let interval = Duration::from_secs(1) / rate.max(1);
        let task = tokio::spawn(send_all(Arc::clone(&shared), interval, seed));
        SteadyCallers { all, shared, task }
    }

    /// Sends later requests to these hosts only.
    pub(super) fn use_hosts(&self, which: std::ops::Range<usize>) {
        *lock(&self.shared.hosts) = self.all[which].to_vec();
    }

    /// Ends the callers and returns when they sent their requests.
    pub(super) async fn stop(self) -> Vec<Instant> {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // A panic of the task was reported by its thread.
        let _ = self.task.await;
        std::mem::take(&mut lock(&self.shared.sent))
    }
}

async fn send_all(shared: Arc<Shared>, interval: Duration, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(interval);
    let mut number = 0_u64;
    while !shared.is_stopped.load(Ordering::Relaxed) {
        ticks.tick().await;
        number += 1;
        let host = {
            let hosts = lock(&shared.hosts);
            hosts[rng.random_range(0..hosts.len())]
        };
        let (shared, object) = (Arc::clone(&shared), rng.random_range(0..200));
        tokio::spawn(async move {
            // A request that fails has no more to show: the targets record what arrived.
            let call = call(&shared, host, number, object);
            let _ = tokio::time::timeout(DEADLINE, call).await;
        });
    }
}

/// Sends one request and reads its response; `None` if the connection fails.
async fn call(shared: &Shared, host: SocketAddr, number: u64, object: u32) -> Option<()> {
    let mut sender = connect(shared, host).await?;
    let id = Arc::<str>::from(format!("r-{number}"));
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("/read/{number}").parse().ok()?;
    *request.headers_mut() = caller_headers(NAME, &id, object, DEADLINE, None);
    lock(&shared.sent).push(Instant::now());
    let response = sender.send_request(request).await.ok()?;
    response.into_body().collect().await.ok()?;
    let mut idle = lock(&shared.idle);
    idle.entry(host).or_default().push(sender);
    Some(())
}

async fn connect(shared: &Shared, host: SocketAddr) -> Option<Idle> {
    loop {
        let idle = lock(&shared.idle).get_mut(&host).and_then(Vec::pop);
        let Some(mut sender) = idle else { break };
        if sender.ready().await.is_ok() {
            return Some(sender);
        }
    }
    let stream = TcpStream::connect(host).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(error:% = e; "caller connection closed with an error");
        }
    });
    Some(sender)
}
