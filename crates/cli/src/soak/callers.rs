//! Callers of a soak: they keep their connections, and check what they get.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_platform::{
    dialect,
    standin::{self, Ledger},
};
use http::{Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::net::TcpStream;

use super::{
    deployment::NAME,
    keys::{Key, SharedKeys},
};

/// Callers at the same time.
const CALLERS: u64 = 12;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Time that a caller grants, as it says in its requests.
const DEADLINE: Duration = Duration::from_secs(3);

/// How long a caller waits beyond that before it closes the connection. It is no bound on the
/// answer: a caller that leaves judges nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How many connections of callers a host's faults may have cut.
#[derive(Debug, Default)]
pub(super) struct HostFaults {
    /// Faults that are at work on the host or its connections.
    pub(super) active: AtomicU32,
    /// Faults that began.
    pub(super) started: AtomicU32,
}

impl HostFaults {
    /// Number that stays the same while no fault begins, if none is at work.
    fn quiet_epoch(&self) -> Option<u32> {
        let started = self.started.load(Ordering::SeqCst);
        (self.active.load(Ordering::SeqCst) == 0).then_some(started)
    }
}

/// What callers saw.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) answered: AtomicU32,
    pub(super) failed: AtomicU32,
    /// Requests that were told that they have not run.
    pub(super) refused: Mutex<BTreeSet<String>>,
    /// Requests that may run once.
    pub(super) once: Mutex<BTreeSet<String>>,
    pub(super) violations: Mutex<Vec<String>>,
}

impl Observations {
    pub(super) fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Callers that run until they are stopped.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) observations: Arc<Observations>,
    pub(super) host_faults: Arc<Vec<HostFaults>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// One caller.
struct Caller {
    name: u64,
    hosts: Vec<SocketAddr>,
    ledger: Ledger,
    keys: SharedKeys,
    observations: Arc<Observations>,
    host_faults: Arc<Vec<HostFaults>>,
    rng: StdRng,
    /// The kept connection and the host behind it.
    connection: Option<(usize, SendRequest<Full<Bytes>>)>,
}

impl Callers {
    pub(super) fn spawn(
        hosts: &[SocketAddr],
        ledger: &Ledger,
        keys: &SharedKeys,
        seed: u64,
    ) -> Callers {
        let observations = Arc::new(Observations::default());
        let host_faults: Arc<Vec<HostFaults>> =
            Arc::new(hosts.iter().map(|_| HostFaults::default()).collect());
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |name| {
            let mut caller = Caller {
                name,
                hosts: hosts.to_vec(),
                ledger: ledger.clone(),
                keys: Arc::clone(keys),
                observations: Arc::clone(&observations),
                host_faults: Arc::clone(&host_faults),
                rng: StdRng::seed_from_u64(seed ^ name),
                connection: None,
            };
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    caller.call(number).await;
                    tokio::time::sleep(PAUSE).await;
                }
            })
        };
        let tasks = (0..CALLERS).map(spawn).collect();
        Callers {
            observations,
            host_faults,
            stop,
            tasks,
        }
    }

    /// Lets every caller end its request, and stops.
    pub(super) async fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks.drain(..) {
            if let Err(e) = task.await {
                self.observations
                    .record_violation(format!("a caller died: {e}"));
            }
        }
    }
}

impl Caller {
    /// Sends one request and checks what comes back.
    async fn call(&mut self, number: u64) {
        let (id, object) = (
            Arc::<str>::from(format!("c{}-{number}", self.name)),
            self.rng.random_range(0..24),
        );
        let is_once = self.rng.random_range(0..3) == 0;
        let path = format!("/{}/{object}", if is_once { "once" } else { "read" });
        if is_once {
            lock(&self.observations.once).insert(id.to_string());
        }
        let Some((host, mut sender)) = self.connect().await else {
            return;
        };
        let before = self.host_faults[host].quiet_epoch();
        let key = self.keys.draw(&id, &mut self.rng);
        let sent = sender.send_request(request(&id, &path, is_once, object, &key));
        let answer = async {
            let response = sent.await?;
            let (head, body) = response.into_parts();
            Ok::<_, hyper::Error>((head, body.collect().await?.to_bytes()))
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, answer).await {
            Ok(Ok((head, body))) => {
                self.connection = Some((host, sender));
                self.check_response(&id, &path, &key, &head, &body);
            }
            Ok(Err(e)) => self.check_disconnect(&id, host, before, &e),
            // The caller leaves; what it would have got is not judged.
            Err(_) => self.count(false),
        }
    }

    /// The kept connection, or a new one to any host.
    async fn connect(&mut self) -> Option<(usize, SendRequest<Full<Bytes>>)> {
        if let Some((host, mut sender)) = self.connection.take()
            && sender.ready().await.is_ok()
        {
            return Some((host, sender));
        }
        let host = self.rng.random_range(0..self.hosts.len());
        let stream = TcpStream::connect(self.hosts[host]).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "a caller's connection ended");
            }
        });
        Some((host, sender))
    }

    fn check_response(&self, id: &str, path: &str, key: &Key, head: &Parts, body: &[u8]) {
        let (status, headers) = (head.status, &head.headers);
        self.count(status.is_success());
        if status.is_success() {
            let own = body == format!("{id} {path}").as_bytes();
            if !own || !headers.contains_key(dialect::open().signature) {
                let text = String::from_utf8_lossy(body);
                self.observations
                    .record_violation(format!("{id} got another's answer, or a part: {text}"));
            }
        } else if confirms_not_run(status, key) {
            lock(&self.observations.refused).insert(id.to_owned());
        } else if status.is_client_error() {
            self.observations
                .record_violation(format!("{id}, a proper request, got {status}"));
        }
    }

    /// The connection ended without an answer. From a host that nothing was done to, that must not
    /// happen to a request that a target ran.
    fn check_disconnect(&self, id: &str, host: usize, before: Option<u32>, error: &hyper::Error) {
        self.count(false);
        let undisturbed = before.is_some() && self.host_faults[host].quiet_epoch() == before;
        if undisturbed && self.ledger.runs(id) > 0 {
            self.observations
                .record_violation(format!("{id} ran and got no answer from h{host}: {error}"));
        }
    }

    fn count(&self, is_good: bool) {
        let count = if is_good {
            &self.observations.answered
        } else {
            &self.observations.failed
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Whether an answer says that the request has not run and never will.
fn confirms_not_run(status: StatusCode, key: &Key) -> bool {
    let is_unknown = status == StatusCode::UNAUTHORIZED && key.may_be_unknown();
    is_unknown || [408, 421, 429, 503].contains(&status.as_u16())
}

fn request(
    id: &Arc<str>,
    path: &str,
    is_once: bool,
    object: u32,
    key: &Key,
) -> Request<Full<Bytes>> {
    let body = if is_once { "an order" } else { "" };
    let mut request = Request::new(Full::from(body));
    *request.method_mut() = if is_once {
        http::Method::POST
    } else {
        http::Method::GET
    };
    // The path is made here, of a word and a number.
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = standin::headers(NAME, id, object, DEADLINE, Some(&key.text));
    request
}
