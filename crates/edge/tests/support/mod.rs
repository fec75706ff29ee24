//! An edge host between scripted targets, an in-memory store and a plain caller.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses a part of it"
)]

mod fleet;
mod link;
mod memory_store;
mod relay;
mod routes;
mod scripted_target;

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_edge::{
    host::Host,
    model::{
        Config, Credentials, Dialect, Entry, HostEntry, KeyDigest, Limits, LookupQuery, Reported,
        ReportedLoad, Route, Service, Target, WeightedService, Workspace, decimal_rate,
        decimal_seconds, percent_pace,
    },
    settings::{self, Settings},
};
use http::{HeaderMap, HeaderName, Uri};

pub use self::{
    fleet::Fleet,
    link::{Cut, Link},
    memory_store::{MemoryStore, rev},
    relay::Relay,
    routes::{large, reweighted},
    scripted_target::{Head, Script, ScriptedTarget, arrivals},
};

/// Failure domain, and thereby region, of every host and target for which a test names no other.
pub const DOMAIN: &str = "north-1";

/// A running host and the store that it reads.
pub struct Deployment {
    pub store: MemoryStore,
    pub host: Host,
}

impl Deployment {
    /// Starts a host with a configuration and targets.
    pub fn open(config: Config, targets: &[&ScriptedTarget]) -> Deployment {
        Deployment::open_with(settings(), config, targets)
    }

    /// Starts a host with the given settings, a configuration and targets.
    pub fn open_with(
        settings: Settings,
        config: Config,
        targets: &[&ScriptedTarget],
    ) -> Deployment {
        let store = MemoryStore::open();
        store.put("config", Entry::Config(Arc::new(config)));
        for (n, scripted) in targets.iter().enumerate() {
            let id = format!("t{n}");
            store.put(
                &id,
                Entry::Target(Arc::new(target(&id, scripted.address()))),
            );
        }
        let host =
            Host::spawn(settings, store.platform_store(), dialect()).expect("the host starts");
        let deployment = Deployment { store, host };
        deployment.wait_until_ready();
        deployment
    }

    /// Waits until the host has applied all items of the store and is ready.
    pub fn wait_until_ready(&self) {
        let revision = self.store.revision();
        self.store.wait_until_read(revision);
        while !self.host.shared().is_ready() {
            std::thread::yield_now();
        }
    }

    pub fn callers(&self) -> SocketAddr {
        self.host.shared().settings.listen.callers
    }

    /// Sends text on a new connection.
    pub fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers()).expect("the host listens");
        stream.write_all(text.as_bytes()).expect("the host reads");
        stream
    }

    /// Sends one request and reads until the host closes the connection.
    pub fn call(&self, method: &str, path: &str, id: &str) -> String {
        read_all(&mut self.send(&request(method, path, id, "Connection: close\r\n")))
    }
}

/// Waits until the condition holds.
pub fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::yield_now();
    }
}

/// Returns a request as callers send it.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nId: {id}\r\nLeft: 20000\r\n{more}\r\n"
    )
}

/// Reads to the end of a connection, or up to an error.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a path of the lookup, readiness, metrics or peers address.
pub fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).expect("the host reads");
    read_all(&mut stream)
}

/// Returns the number of matches of a pattern.
pub fn count_matches(text: &str, pattern: &str) -> usize {
    text.matches(pattern).count()
}

pub fn target(id: &str, address: SocketAddr) -> Target {
    Target {
        id: id.into(),
        service: "cart".into(),
        address,
        domain: DOMAIN.into(),
        slots: 4,
        leaving: false,
        cold: Duration::ZERO,
        born: 0,
    }
}

pub fn host_entry(name: &str, distance: u32) -> HostEntry {
    HostEntry {
        name: name.into(),
        domain: DOMAIN.into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        distance,
        power: 100,
        link: 0,
    }
}

/// Returns a configuration whose requests under `/read/` are idempotent and those under `/once/`
/// are not.
pub fn config(version: u64) -> Config {
    let route = |name: &str, prefix: &str, repeatable| {
        Arc::new(Route {
            name: name.into(),
            host: "shop.example".into(),
            prefix: prefix.into(),
            repeatable,
            sticky: true,
            timeout: Duration::from_secs(20),
            objective: Duration::from_secs(10),
            priority: 1,
            attempts: 3,
            parts: vec![WeightedService {
                service: "cart".into(),
                weight: 1.0,
            }],
            homes: BTreeSet::new(),
            open: false,
        })
    };
    let cart = Service {
        health: "/health".into(),
        cold: Duration::from_secs(3),
        rate: 2.0,
    };
    Config {
        version,
        routes: vec![
            route("read", "/read/", true),
            route("once", "/once/", false),
        ],
        services: BTreeMap::from([("cart".into(), cart)]),
        limits: Limits {
            head: 16 << 10,
            body: 1 << 16,
            idle: Duration::from_secs(15),
        },
        workspaces: Vec::new(),
    }
}

/// Returns settings whose retry budget allows retries from the first request on: a host that has
/// just started has no slack yet.
pub fn settings() -> Settings {
    let text = r#"
        name = "h1"
        region = "north"
        domain = "north-1"
        first_start = true
        [domains]
        north-1 = "north"
        south-1 = "south"
        [listen]
        callers = "127.0.0.1:0"
        lookup = "127.0.0.1:0"
        ready = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        [store]
        address = "127.0.0.1:9"
        [bounds]
        retry_ratio = 10.0
    "#;
    settings::parse(text).expect("the settings are valid")
}

/// Returns a small dialect that only the tests use.
pub fn dialect() -> Dialect {
    Dialect {
        request_id: HeaderName::from_static("id"),
        time_left: HeaderName::from_static("left"),
        expected_target: HeaderName::from_static("only"),
        not_run: HeaderName::from_static("unrun"),
        signature: HeaderName::from_static("stamp"),
        credentials: HeaderName::from_static("authorization"),
        challenge: "Key",
        parse_credentials,
        workspace: HeaderName::from_static("workspace"),
        affinity_key,
        parse_load,
        parse_rate,
        parse_leaving,
        parse_backoff,
        ready_path: "/ready",
        lookup_path: "/hosts",
        parse_lookup,
        encode_lookup,
    }
}

fn affinity_key(headers: &HeaderMap) -> Option<&str> {
    headers.get("object")?.to_str().ok()
}

fn parse_credentials(headers: &HeaderMap) -> Credentials {
    let Some(value) = headers.get("authorization") else {
        return Credentials::Missing;
    };
    let key = value.to_str().ok().and_then(|v| v.strip_prefix("Key "));
    key.map_or(Credentials::Malformed, |key| {
        Credentials::Key(KeyDigest::of(key.as_bytes()))
    })
}

fn parse_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let running = headers.get("running")?.to_str().ok()?.parse().ok()?;
    let pace = headers.get("pace").and_then(|v| v.to_str().ok());
    Some(ReportedLoad {
        running,
        waiting: 0,
        pace: pace.and_then(percent_pace),
    })
}

fn parse_rate(headers: &HeaderMap) -> Reported<f64> {
    let Some(value) = headers.get("limit") else {
        return Reported::Absent;
    };
    let rate = value.to_str().ok().and_then(decimal_rate);
    rate.map_or(Reported::Malformed, Reported::Value)
}

fn parse_leaving(headers: &HeaderMap) -> Reported<bool> {
    match headers.get("leaving") {
        None => Reported::Absent,
        Some(value) => Reported::Value(value == "1"),
    }
}

fn parse_backoff(headers: &HeaderMap) -> Reported<Duration> {
    let Some(value) = headers.get("retry-after") else {
        return Reported::Absent;
    };
    let time = value.to_str().ok().and_then(decimal_seconds);
    time.map_or(Reported::Malformed, Reported::Value)
}

fn parse_lookup(uri: &Uri) -> Option<LookupQuery> {
    let region = uri.query()?.strip_prefix("region=")?;
    Some(LookupQuery {
        region: region.into(),
        domain: "-".into(),
    })
}

fn encode_lookup(hosts: &[SocketAddr], _: Duration) -> (Bytes, &'static str) {
    let hosts: Vec<_> = hosts.iter().map(ToString::to_string).collect();
    (Bytes::from(hosts.join(" ")), "text/plain")
}
