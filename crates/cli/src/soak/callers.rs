//! Callers of a soak: HTTP clients with persistent connections that check each response.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use dunlinrock_edge::model::Reported;
use dunlinrock_platform::{
    dialect,
    standin::{self, HOST_HEADER, RunLog},
};
use http::{HeaderValue, Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::net::TcpStream;

use super::{
    deployment::NAME,
    keys::{Key, SharedKeys},
};

/// Number of concurrent callers.
const CALLERS: u64 = 12;

/// Name of the caller whose requests crash targets.
const CRASHER: u64 = CALLERS;

/// Pause between two requests that crash targets, and how many have the same path.
const CRASH_PAUSE: Duration = Duration::from_millis(500);
const SAME_CRASHES: u64 = 20;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Deadline that a caller states in its requests.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time after which a caller closes the connection. It does not limit the response time: the
/// caller checks nothing after a timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Counts of the injected faults that may close a host's connections to its callers.
#[derive(Debug, Default)]
pub(super) struct HostFaults {
    /// Faults that are active on the host or its connections.
    pub(super) active: AtomicU32,
    /// Faults started so far.
    pub(super) started: AtomicU32,
}

impl HostFaults {
    /// Returns the number of started faults if none is active. Two equal values mean that no fault
    /// was active in between.
    fn quiet_epoch(&self) -> Option<u32> {
        let started = self.started.load(Ordering::SeqCst);
        (self.active.load(Ordering::SeqCst) == 0).then_some(started)
    }
}

/// A response that a host has passed on.
#[derive(Clone, Debug)]
pub(super) struct PassedOn {
    /// Index of the host, as text.
    pub(super) host: String,
    /// The request.
    pub(super) id: String,
    /// When its caller had the whole response.
    pub(super) at: Instant,
}

/// Results of all callers' requests.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) answered: AtomicU32,
    pub(super) failed: AtomicU32,
    /// When each request was sent.
    pub(super) sent: Mutex<BTreeMap<String, Instant>>,
    /// Responses in which a target said that it is leaving.
    pub(super) leaving: Mutex<Vec<PassedOn>>,
    /// Requests whose response says that they have not run.
    pub(super) refused: Mutex<BTreeSet<String>>,
    /// Requests that may run at most once.
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
    ledger: RunLog,
    keys: SharedKeys,
    observations: Arc<Observations>,
    host_faults: Arc<Vec<HostFaults>>,
    rng: StdRng,
    /// The open connection and the index of its host.
    connection: Option<(usize, SendRequest<Full<Bytes>>)>,
}

impl Callers {
    pub(super) fn spawn(
        hosts: &[SocketAddr],
        ledger: &RunLog,
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
                    match name {
                        CRASHER => caller.crash(number).await,
                        _ => caller.call(number).await,
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            })
        };
        let tasks = (0..=CRASHER).map(spawn).collect();
        Callers {
            observations,
            host_faults,
            stop,
            tasks,
        }
    }

    /// Stops the callers after their current requests.
    pub(super) async fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks.drain(..) {
            if let Err(e) = task.await {
                self.observations
                    .record_violation(format!("a caller task failed: {e}"));
            }
        }
    }
}

impl Caller {
    /// Sends requests that crash their targets: a few under the same path, then the next path.
    async fn crash(&mut self, number: u64) {
        let id = Arc::<str>::from(format!("x-{number}"));
        let path = format!("/read/crash-{}", number / SAME_CRASHES);
        self.send(&id, &path, false, 0).await;
        tokio::time::sleep(CRASH_PAUSE).await;
    }

    /// Sends one request and checks the response.
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
        self.send(&id, &path, is_once, object).await;
    }

    async fn send(&mut self, id: &Arc<str>, path: &str, is_once: bool, object: u32) {
        let Some((host, mut sender)) = self.connect().await else {
            return;
        };
        let before = self.host_faults[host].quiet_epoch();
        let key = self.keys.draw(id, &mut self.rng);
        lock(&self.observations.sent).insert(id.to_string(), Instant::now());
        let mut request = request(id, path, is_once, object, &key);
        let name = HeaderValue::from(host);
        request.headers_mut().insert(HOST_HEADER, name);
        let sent = sender.send_request(request);
        let answer = async {
            let response = sent.await?;
            let (head, body) = response.into_parts();
            Ok::<_, hyper::Error>((head, body.collect().await?.to_bytes()))
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, answer).await {
            Ok(Ok((head, body))) => {
                self.connection = Some((host, sender));
                self.check_response(id, path, &key, &head, &body);
                self.record_leaving(id, host, &head);
            }
            Ok(Err(e)) => self.check_disconnect(id, host, before, &e),
            // The caller closes the connection, so there is no response to check.
            Err(_) => self.count(false),
        }
    }

    /// Returns the open connection, or opens one to a random host.
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
                log::debug!(error:% = e; "caller connection closed with an error");
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
                self.observations.record_violation(format!(
                    "{id} got a mismatched or truncated response: {text}"
                ));
            }
        } else if confirms_not_run(status, key) {
            lock(&self.observations.refused).insert(id.to_owned());
        } else if status.is_client_error() {
            self.observations
                .record_violation(format!("{id} is a valid request and got {status}"));
        }
    }

    /// Records a response in which a target says that it is leaving.
    fn record_leaving(&self, id: &str, host: usize, head: &Parts) {
        if (dialect::open().parse_leaving)(&head.headers) == Reported::Value(true) {
            let passed_on = PassedOn {
                host: host.to_string(),
                id: id.to_owned(),
                at: Instant::now(),
            };
            lock(&self.observations.leaving).push(passed_on);
        }
    }

    /// Handles a connection that closed without a response. On a host without an active fault this
    /// must not happen to a request that a target ran.
    fn check_disconnect(&self, id: &str, host: usize, before: Option<u32>, error: &hyper::Error) {
        self.count(false);
        let undisturbed = before.is_some() && self.host_faults[host].quiet_epoch() == before;
        if undisturbed && self.ledger.runs(id) > 0 {
            self.observations.record_violation(format!(
                "{id} ran and got no response from h{host}: {error}"
            ));
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

/// Returns the number of the path of a request that crashes targets; `None` for other requests.
pub(super) fn crasher_path(id: &str) -> Option<u64> {
    let number: u64 = id.strip_prefix("x-")?.parse().ok()?;
    Some(number / SAME_CRASHES)
}

/// Returns whether a response says that the request has not run and never will.
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
    // Always valid: the path consists of a fixed word and a number.
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = standin::caller_headers(NAME, id, object, DEADLINE, Some(&key.text));
    request
}
