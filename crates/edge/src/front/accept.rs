//! Accepts callers' connections quickly, so that none waits in the listen queue.

use std::{rc::Rc, time::Duration};

use dunlinrock_decide::admit::direct::{AcceptDecision, OpenConnections};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{
    Front, MAX_UNREAD_TIME,
    callers::{self, EvictionLimits},
};

/// Backoff after a failed accept: without free descriptors, accept fails again immediately.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Interval between two checks whether the listen queue is empty.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the connection gauges are reported.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum wait in the listen queue that is taken into account. Two checks may lie up to this far
/// apart, so shorter waits cannot be told from zero.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(250);

/// How long a connection must have been idle before it may be closed to make place for another.
/// Active callers mostly send their next request within this time and would have to reconnect.
const MIN_EVICTION_IDLE: Duration = Duration::from_secs(1);

/// Tracks when the listen queue was last empty, which bounds how long an accepted connection has
/// waited.
///
/// A host that stalls for seconds would otherwise treat the requests it reads afterwards as new,
/// and pass on more time than their callers still have. An accepted connection was opened after the
/// queue was last empty, whatever stalled the host.
#[derive(Debug)]
struct ListenQueue {
    last_empty: Instant,
}

impl ListenQueue {
    async fn next(&mut self, listener: &TcpListener) -> std::io::Result<(TcpStream, Duration)> {
        loop {
            let mut is_first_poll = true;
            let accept = std::future::poll_fn(|cx| {
                let polled = listener.poll_accept(cx);
                // The first poll after a connection or a sleep has asked the kernel.
                if polled.is_pending() && std::mem::take(&mut is_first_poll) {
                    self.last_empty = Instant::now();
                }
                polled
            });
            tokio::select! {
                biased;
                accepted = accept => {
                    let waited = self.last_empty.elapsed();
                    let waited = if waited < MIN_QUEUE_WAIT { Duration::ZERO } else { waited };
                    return accepted.map(|(stream, _)| (stream, waited));
                }
                () = tokio::time::sleep(QUEUE_CHECK_INTERVAL) => {}
            }
        }
    }
}

/// Accepts connections for as long as it is polled.
pub(super) async fn accept(front: &Rc<Front>, listener: &TcpListener) {
    let mut queue = ListenQueue {
        last_empty: Instant::now(),
    };
    loop {
        match queue.next(listener).await {
            Ok((stream, waited)) => {
                let is_full = front.on_accept();
                let served = callers::serve(Rc::clone(front), stream, waited, is_full);
                tokio::task::spawn_local(served);
            }
            Err(e) => {
                log::warn!(target: "host", error:% = e; "accept failed");
                front.close_idle(1);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Reports the number of connections for as long as it is polled.
pub(super) async fn gauge(front: &Front) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        let open = front.open_connections();
        let meters = &front.shared.meters;
        meters.gauge("callers_open", open.callers.into());
        meters.gauge("callers_idle", front.callers.unused_count().into());
        meters.gauge("callers_unread", front.callers.undelivered_count().into());
        meters.gauge("targets_open", open.targets.into());
        meters.gauge("links_lost", front.shared.links.is_lost().into());
        meters.gauge("response_bytes", front.response_memory.used());
        meters.gauge("body_bytes", front.body_budget.borrow().used());
        front.log_pressure(open);
    }
}

impl Front {
    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> OpenConnections {
        OpenConnections {
            callers: self.callers.open_count(),
            targets: self.target_connections.count(),
        }
    }

    /// Whether connections are closed after the next response because few more may be opened.
    pub(super) fn is_near_limit(&self) -> bool {
        self.shared
            .settings
            .connections
            .above_high_watermark(self.open_connections())
    }

    /// Handles a new connection of a caller: closes idle ones near the connection limit. Returns
    /// true if the host is full and the request must be refused.
    fn on_accept(&self) -> bool {
        match self
            .shared
            .settings
            .connections
            .on_accept(self.open_connections())
        {
            AcceptDecision::Accept => false,
            AcceptDecision::AcceptAndEvict(idle) => {
                self.close_idle(idle);
                false
            }
            AcceptDecision::Refuse(idle) => {
                self.close_idle(idle);
                true
            }
        }
    }

    /// Asks up to `max` connections to close whose callers are owed nothing, or do not read it.
    fn close_idle(&self, max: u32) {
        let limits = EvictionLimits {
            idle: MIN_EVICTION_IDLE,
            stall: MAX_UNREAD_TIME,
        };
        let evicted = self.callers.evict(max, &limits);
        for _ in 0..evicted.idle {
            self.shared.meters.count("idle_closed");
        }
        for _ in 0..evicted.slow {
            self.shared.meters.count("slow_closed");
        }
    }

    /// Logs when the number of connections comes near the limit, and when it is below again.
    fn log_pressure(&self, open: OpenConnections) {
        let rules = self.shared.settings.connections;
        let is_near = rules.above_low_watermark(open);
        if self.near_limit.replace(is_near) == is_near {
            return;
        }
        let (callers, idle, targets) = (open.callers, self.callers.unused_count(), open.targets);
        if is_near {
            log::warn!(
                target: "host", event = "pressed", callers = callers, idle = idle,
                targets = targets, most = rules.max_open; "connections are near the limit"
            );
        } else {
            log::info!(
                target: "host", event = "eased", callers = callers, idle = idle,
                targets = targets, most = rules.max_open; "connections are below the limit again"
            );
        }
    }
}
