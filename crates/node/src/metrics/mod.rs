//! Counters and timers of a host, sent as StatsD over UDP.
//!
//! A counter is an atomic that the control worker sends at each heartbeat: tens of thousands of
//! lookups arrive per second, and a datagram for each would cost more than the lookup.

mod counter;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

pub use counter::{COUNTERS, Counter};

/// Maximum number of queued datagrams; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 8192;

/// Counters and timers, shared by the workers.
#[derive(Clone, Debug)]
pub struct Metrics {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    client: Option<StatsdClient>,
    totals: Vec<AtomicU64>,
    sent: Vec<AtomicU64>,
}

impl Metrics {
    /// Creates metrics that are sent to `receiver`; without a receiver they are only counted.
    pub fn open(prefix: &str, receiver: Option<SocketAddr>) -> anyhow::Result<Metrics> {
        let client = receiver.map(|to| client(prefix, to)).transpose()?;
        let zeros = || COUNTERS.iter().map(|_| AtomicU64::new(0)).collect();
        Ok(Metrics {
            inner: Arc::new(Inner {
                client,
                totals: zeros(),
                sent: zeros(),
            }),
        })
    }

    /// Increments a counter by one.
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, counter: Counter, n: u64) {
        if let Some(total) = self.inner.totals.get(counter as usize) {
            total.fetch_add(n, Ordering::Relaxed);
        }
    }

    /// Returns the total of a counter since the start.
    pub fn total(&self, counter: Counter) -> u64 {
        self.inner
            .totals
            .get(counter as usize)
            .map_or(0, |total| total.load(Ordering::Relaxed))
    }

    /// Sends a duration.
    pub fn time(&self, name: &str, time: Duration) {
        if let Some(client) = &self.inner.client {
            // A lost datagram only affects graphs.
            let _ = client.time(name, time);
        }
    }

    /// Sends a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.inner.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Sends the increments since the last flush.
    pub fn flush(&self) {
        let Some(client) = &self.inner.client else {
            return;
        };
        for ((counter, total), sent) in COUNTERS
            .iter()
            .zip(&self.inner.totals)
            .zip(&self.inner.sent)
        {
            let total = total.load(Ordering::Relaxed);
            let before = sent.swap(total, Ordering::Relaxed);
            if let Ok(n @ 1..) = i64::try_from(total.saturating_sub(before)) {
                let _ = client.count(counter.name(), n);
            }
        }
    }
}

fn client(prefix: &str, to: SocketAddr) -> anyhow::Result<StatsdClient> {
    let socket = UdpSocket::bind(if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
    socket.set_nonblocking(true)?;
    let sink =
        QueuingMetricSink::with_capacity(UdpMetricSink::from(to, socket)?, MAX_QUEUED_DATAGRAMS);
    Ok(StatsdClient::from_sink(prefix, sink))
}
