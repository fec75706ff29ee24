//! Stand-ins for the platform's store and for workers, as the pages describe them.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{json::Json, record};

/// A parsed request head, and the connection that it came on.
pub struct Head {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> &str {
        self.get("request-id").unwrap_or("-")
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn open(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads a request head; `None` at the end of the connection.
    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let mut first = lines.next()?.split(' ');
                let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
                let headers = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Some(Head {
                    method,
                    path,
                    headers,
                });
            }
            if self.fill(16 << 10)? == 0 {
                return None;
            }
        }
    }

    /// Reads once; `None` if the connection failed.
    fn fill(&mut self, most: usize) -> Option<usize> {
        let mut chunk = vec![0; most];
        let n = self.stream.read(&mut chunk).ok()?;
        self.ahead.extend_from_slice(&chunk[..n]);
        Some(n)
    }

    /// Reads bytes of a body, at most as many as wanted; an empty result is the end.
    pub fn some(&mut self, most: usize) -> Vec<u8> {
        if self.ahead.is_empty() && self.fill(most).unwrap_or(0) == 0 {
            return Vec::new();
        }
        let n = most.min(self.ahead.len());
        self.ahead.drain(..n).collect()
    }

    /// Reads a body of a length; `None` if the connection ends before.
    pub fn body(&mut self, length: usize) -> Option<Vec<u8>> {
        let mut body = Vec::with_capacity(length);
        while body.len() < length {
            let piece = self.some(length - body.len());
            if piece.is_empty() {
                return None;
            }
            body.extend(piece);
        }
        Some(body)
    }

    /// Writes a response.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        self.stream.write_all(text.as_bytes()).is_ok() && self.stream.write_all(body).is_ok()
    }
}

/// Serves connections, each in a thread of its own.
fn serve(listener: TcpListener, each: impl Fn(Connection) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = Arc::clone(&each);
            let started = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || each(Connection::open(stream)));
            drop(started);
        }
    });
}

struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Key and revision of each change.
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let rev = self.rev;
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                rev,
                created,
                lease,
            },
        );
        self.events.push((rev, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned()));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(n, _)| *n)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }

    fn json(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(i) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"createRev\":{},\"lease\":{}}}",
                i.value, i.rev, i.created, i.lease
            ),
            None => format!("{{\"key\":\"{key}\",\"rev\":0}}"),
        }
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            rev: 1,
            ..State::default()
        };
        let store = Store {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        serve(listener, move |mut connection| {
            while let Some(head) = connection.head() {
                let Some(body) = connection.body(head.length()) else {
                    return;
                };
                let (status, text) = served.respond(&head, &String::from_utf8_lossy(&body));
                let kind = [("Content-Type", "application/json")];
                if !connection.answer(status, &kind, text.as_bytes()) {
                    return;
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.shared.0.lock().expect("the store's state");
        state.expire();
        state
    }

    /// Writes an item as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.rev += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn respond(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.path.split_once('?').unwrap_or((&head.path, ""));
        let of = |name: &str| {
            let pair = query.split('&').filter_map(|p| p.split_once('='));
            pair.filter(|(n, _)| *n == name)
                .map(|(_, v)| unescape(v))
                .next()
                .unwrap_or_default()
        };
        match (head.method.as_str(), path) {
            ("GET", "/api/kv-range") => {
                let (state, prefix, after) = (self.lock(), of("prefix"), of("after"));
                let keys = state
                    .items
                    .keys()
                    .filter(|k| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = keys.map(|k| state.json(k)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"hasMore\":false,\"at\":{}}}",
                        state.rev
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = of("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(of("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut state = self.lock();
                while state.rev <= after && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    let left = left.min(Duration::from_millis(50));
                    state = self
                        .shared
                        .1
                        .wait_timeout(state, left)
                        .expect("the state")
                        .0;
                    state.expire();
                }
                let changes = state.events.iter().filter(|(rev, _)| *rev > after);
                let mut last = BTreeMap::new();
                last.extend(changes.map(|(rev, key)| (key.clone(), *rev)));
                let events = last
                    .iter()
                    .map(|(key, rev)| match state.items.contains_key(key) {
                        true => state.json(key),
                        false => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
                    });
                let events = events.collect::<Vec<_>>().join(",");
                (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{}}}", state.rev),
                )
            }
            ("POST", "/api/kv-txn") => self.change(&Json::parse(body)),
            ("POST", "/api/kv-lease") => {
                let text = Json::parse(body).get("ttl_time").text();
                let ttl =
                    Duration::from_millis(text.trim_end_matches("ms").parse().unwrap_or(4000));
                let mut state = self.lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl_time\":\"{text}\"}}"),
                )
            }
            (_, path) => {
                let lease = path.rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
                let mut state = self.lock();
                let Some(lease) = lease.filter(|n| state.leases.contains_key(n)) else {
                    return (404, "{}".to_owned());
                };
                match path.starts_with("/api/kv-keep/") {
                    true => {
                        let ttl = state.leases[&lease].1;
                        state.leases.insert(lease, (Instant::now() + ttl, ttl));
                    }
                    false => state.end_lease(lease),
                }
                (200, "{}".to_owned())
            }
        }
    }

    fn change(&self, change: &Json) -> (u16, String) {
        let mut state = self.lock();
        for row in change.get("expect").list() {
            let (key, rev) = (row.get("key").text(), row.get("rev").number());
            if state.items.get(&key).map_or(0, |i| i.rev) != rev {
                return (412, format!("{{\"items\":[{}]}}", state.json(&key)));
            }
        }
        for put in change.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.rev += 1;
        for put in change.get("puts").list() {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            state.put(&key, value, put.get("lease").number());
        }
        for key in change.get("remove").list() {
            state.remove(&key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"rev\":{}}}", state.rev))
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?');
            out.push(code);
            i += 3;
        } else {
            out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..three.len()].copy_from_slice(three);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for n in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= three.len() { sign as char } else { '=' });
        }
    }
    out
}

/// What a worker does with a request that is meant for it.
pub type Run = Arc<dyn Fn(&Head, &mut Connection) -> bool + Send + Sync>;

/// Starts a worker and registers it; `run` answers a request, and returns whether the connection
/// stays open.
pub fn worker(store: &Store, id: &str, service: &str, zone: &str, run: Run) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let own = id.to_owned();
    serve(listener, move |mut connection| {
        while let Some(head) = connection.head() {
            let is_open = if head.path == "/health" {
                connection.answer(200, &[("Instance-Id", &own)], b"")
            } else if head
                .get("expect-instance")
                .is_some_and(|expected| expected != own)
            {
                connection.body(head.length()).is_some()
                    && connection.answer(421, &[("Request-Id", head.id())], b"")
            } else {
                run(&head, &mut connection)
            };
            if !is_open {
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    });
    register(store, id, service, zone, address);
    record::line(&format!("worker at {address} serves"));
    address
}

/// Writes a worker's entry with every heartbeat.
fn register(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr) {
    let (store, id) = (store.clone(), id.to_owned());
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"addr\":\"{address}\",\"born\":1,\"info\":{{\"service\":\"{service}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":9}},\"status\":{{\"state\":\"ready\",\"coldLeft\":\"0ms\",\"seq\":{seq}}}}}"
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(Duration::from_millis(1500));
        }
    });
}

/// Starts a worker that answers everything at once, and that a request for `/get/deadly` crashes as
/// long as `is_deadly` is set: its port is closed, all its connections end, and it is back after
/// `down`. `crashes` gets the request and the moment.
pub fn fragile_worker(
    store: &Store,
    id: &str,
    down: Duration,
    crashes: Arc<Mutex<Vec<(String, Instant)>>>,
    is_deadly: Arc<AtomicBool>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    register(store, id, "packs", "a", address);
    let own = id.to_owned();
    thread::spawn(move || {
        let mut first = Some(listener);
        loop {
            let listener = first
                .take()
                .unwrap_or_else(|| TcpListener::bind(address).expect("its port"));
            let _ = listener.set_nonblocking(true);
            let lives = Arc::new(AtomicBool::new(true));
            while lives.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (lives, own, crashes) = (Arc::clone(&lives), own.clone(), Arc::clone(&crashes));
                let is_deadly = Arc::clone(&is_deadly);
                thread::spawn(move || {
                    fragile(
                        &own,
                        (&lives, &is_deadly),
                        &crashes,
                        Connection::open(stream),
                    );
                });
            }
            drop(listener);
            thread::sleep(down);
        }
    });
}

/// Serves a connection of a fragile worker until it crashes.
fn fragile(
    id: &str,
    (lives, is_deadly): (&AtomicBool, &AtomicBool),
    crashes: &Mutex<Vec<(String, Instant)>>,
    mut connection: Connection,
) {
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_millis(5)));
    while lives.load(Ordering::SeqCst) {
        match connection.stream.peek(&mut [0]) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return,
        }
        let Some(head) = connection.head() else {
            return;
        };
        let Some(_) = connection.body(head.length()) else {
            return;
        };
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            connection.answer(421, &[("Request-Id", head.id())], b"");
        } else if head.path == "/get/deadly" && is_deadly.load(Ordering::SeqCst) {
            record::line(&format!("{} crashes worker {id}", head.id()));
            crashes
                .lock()
                .expect("the log")
                .push((head.id().to_owned(), Instant::now()));
            lives.store(false, Ordering::SeqCst);
            // The end of a process closes its listening socket first, as that was opened first.
            thread::sleep(Duration::from_millis(20));
        } else {
            let stamp = ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1");
            connection.answer(200, &[("Request-Id", head.id()), stamp], b"done");
        }
    }
}
