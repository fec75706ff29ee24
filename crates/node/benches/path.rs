//! Latency ratios, measured in one run: a look-up relative to a bare handler with the same body, and
//! a call through a host relative to the same call directly to its target.
//!
//! ```text
//! cargo bench -p dunlinrock-node --bench path
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::Deployment;
use dunlinrock_node::{metrics::Counter, serve, wire::Client};
use http_body_util::Full;
use hyper::Request;
use tokio::{net::TcpListener, sync::watch};
use viz::{Body, Response, Router, Tree, header};

/// Requests before the measurement.
const WARM_UP: usize = 500;
/// Measured requests, sequential on a kept-alive connection.
const REQUESTS: usize = 5_000;
/// Clock ticks per second of the times in `/proc`.
const TICKS: f64 = 100.0;

struct Figure {
    p50: Duration,
    p99: Duration,
    /// Processor time of the whole process, including caller and target, per request.
    cpu: Duration,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(run());
}

async fn run() {
    // All traffic stays in its region: one host sends thousands of requests a second here, more
    // than other regions grant, and this benchmark measures the request path.
    let mut d = Deployment::open_with("cursuri", Duration::ZERO, |config| {
        for service in config.services.values_mut() {
            service.spread.clear();
        }
    });
    let domains: Vec<String> = d.config.domains.keys().map(ToString::to_string).collect();
    for domain in &domains {
        d.host(&format!("h-{domain}"), domain);
    }
    d.apply().await;
    d.settle(1).await;
    let host = d.hosts[0].callers_addr();
    let body = d.get(host, "/v1/hosts/catalogue").await.body;
    let bare = bare_handler(body);
    let client = Client::open(1 << 20);
    let look_bare = measure(&client, bare, "/v1/hosts/catalogue").await;
    let look = measure(&client, host, "/v1/hosts/catalogue").await;
    let target = d.targets.iter().next().expect("targets").addr();
    let straight = measure(&client, target, "/courses").await;
    let call = measure(&client, host, "/v1/call/catalogue/courses").await;
    print("bare handler", &look_bare, None);
    print("look-up", &look, Some(&look_bare));
    print("straight to the target", &straight, None);
    print("call through a host", &call, Some(&straight));
    let handed: u64 = d
        .hosts
        .iter()
        .map(|host| host.shared().metrics.total(Counter::Runs))
        .sum();
    println!("handed to other hosts: {handed} of {}", WARM_UP + REQUESTS);
}

/// Starts a `viz` handler that sends the same bytes, on a thread and a listener like a host's.
fn bare_handler(body: Bytes) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let router = Router::new().get("/v1/hosts/:service", move |_: viz::Request| {
                let body = body.clone();
                async move {
                    let mut response = Response::new(Body::from(Full::from(body)));
                    let kind = header::HeaderValue::from_static("application/json");
                    response.headers_mut().insert(header::CONTENT_TYPE, kind);
                    Ok(response)
                }
            });
            let limits = serve::ConnectionLimits {
                connections: 64,
                header_bytes: 16 << 10,
                header_time: Duration::from_secs(5),
            };
            let (_open, stop) = watch::channel(false);
            let Ok(()) = serve::serve(listener, Arc::new(Tree::from(router)), limits, stop).await;
        });
    });
    address
}

async fn measure(client: &Client, to: SocketAddr, path: &str) -> Figure {
    for n in 0..WARM_UP {
        send(client, to, &format!("{path}?q={n}")).await;
    }
    let before = processor_time();
    let mut times = Vec::with_capacity(REQUESTS);
    for n in 0..REQUESTS {
        // Each request differs: the same request would always be sent to the same region.
        times.push(send(client, to, &format!("{path}?q={n}")).await);
    }
    let cpu = processor_time().saturating_sub(before);
    times.sort();
    Figure {
        p50: times[REQUESTS / 2],
        p99: times[REQUESTS * 99 / 100],
        cpu: cpu / u32::try_from(REQUESTS).expect("few requests"),
    }
}

async fn send(client: &Client, to: SocketAddr, path: &str) -> Duration {
    let request = Request::get(format!("http://{to}{path}")).body(Full::default());
    let since = Instant::now();
    let answer = client
        .call(request.expect("a request"), common::HANG_TIMEOUT)
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    since.elapsed()
}

/// Returns the user and system time of this process, from `/proc/self/stat`.
fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").expect("/proc");
    let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks: f64 = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|t| t.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS)
}

fn print(name: &str, figure: &Figure, base: Option<&Figure>) {
    let ratio = base.map_or(String::new(), |base| {
        format!(
            "  p50 ratio {:.2}",
            figure.p50.as_secs_f64() / base.p50.as_secs_f64()
        )
    });
    println!(
        "{name:<24} p50 {:>6.1} us  p99 {:>6.1} us  cpu {:>6.1} us{ratio}",
        figure.p50.as_secs_f64() * 1e6,
        figure.p99.as_secs_f64() * 1e6,
        figure.cpu.as_secs_f64() * 1e6,
    );
}
