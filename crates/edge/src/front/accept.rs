//! Accepts callers' connections, so that none waits in the listen queue.

use std::{rc::Rc, time::Duration};

use dunlinrock_decide::admit::direct::{AcceptDecision, OpenConnections};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{Front, connection};

/// Pause after a failed accept: out of descriptors it fails at once and again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two looks whether the listen queue is empty.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time between two reports of the connections held.
const GAUGE_PAUSE: Duration = Duration::from_secs(1);

/// Shortest wait in the listen queue that counts: below it, two looks lie further apart than that.
const LEAST_WAIT: Duration = Duration::from_millis(250);

/// How long a connection must have been idle to be closed for another: callers that go on send their
/// next request within this time mostly, and would have to connect again.
const LEAST_IDLE: Duration = Duration::from_secs(1);

/// When the listen queue was last seen empty, which bounds how long what is accepted has waited.
///
/// Failure: a host that stands still for seconds reads requests afterwards as if they had just come,
/// and hands on more time than their callers still have. A connection that is accepted was opened after
/// the queue was last empty, whatever held the host up.
#[derive(Debug)]
struct Queue {
    empty: Instant,
}

impl Queue {
    async fn next(&mut self, listener: &TcpListener) -> std::io::Result<(TcpStream, Duration)> {
        loop {
            let mut first = true;
            let accept = std::future::poll_fn(|cx| {
                let polled = listener.poll_accept(cx);
                // Polled first after a connection or a pause, it has asked the kernel.
                if polled.is_pending() && std::mem::take(&mut first) {
                    self.empty = Instant::now();
                }
                polled
            });
            tokio::select! {
                biased;
                accepted = accept => {
                    let waited = self.empty.elapsed();
                    let waited = if waited < LEAST_WAIT { Duration::ZERO } else { waited };
                    return accepted.map(|(stream, _)| (stream, waited));
                }
                () = tokio::time::sleep(LOOK_PAUSE) => {}
            }
        }
    }
}

/// Accepts for as long as it is polled.
pub(super) async fn accept(front: &Rc<Front>, listener: &TcpListener) {
    let mut queue = Queue {
        empty: Instant::now(),
    };
    loop {
        match queue.next(listener).await {
            Ok((stream, waited)) => {
                let is_full = front.arrives();
                let served = connection(Rc::clone(front), stream, waited, is_full);
                tokio::task::spawn_local(served);
            }
            Err(e) => {
                log::warn!(target: "host", error:% = e; "accept failed");
                front.close_idle(1);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Reports the connections held, for as long as it is polled.
pub(super) async fn gauge(front: &Front) {
    loop {
        tokio::time::sleep(GAUGE_PAUSE).await;
        let held = front.held();
        let meters = &front.shared.meters;
        meters.gauge("callers_open", held.callers.into());
        meters.gauge("callers_idle", front.idle.count().into());
        meters.gauge("targets_open", held.targets.into());
        meters.gauge("body_bytes", front.bytes.borrow().used());
        front.note_pressure(held);
    }
}

impl Front {
    /// Connections held now.
    pub(super) fn held(&self) -> OpenConnections {
        OpenConnections {
            callers: self.open.get(),
            targets: self.links.count(),
        }
    }

    /// Whether connections end with the next answer, as few more may be opened.
    pub(super) fn is_tight(&self) -> bool {
        self.shared
            .settings
            .connections
            .above_high_watermark(self.held())
    }

    /// A caller has opened a connection. Closes idle ones where the bound is near; tells whether the
    /// new one's request must be refused, as the host is full.
    fn arrives(&self) -> bool {
        match self.shared.settings.connections.on_accept(self.held()) {
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

    fn close_idle(&self, most: u32) {
        for _ in 0..self.idle.close(most, LEAST_IDLE) {
            self.shared.meters.count("idle_closed");
        }
    }

    /// One line where the host comes near its bound, and one where it is below it again.
    fn note_pressure(&self, held: OpenConnections) {
        let rules = self.shared.settings.connections;
        let pressed = rules.above_low_watermark(held);
        if self.pressed.replace(pressed) == pressed {
            return;
        }
        let (callers, idle, targets) = (held.callers, self.idle.count(), held.targets);
        if pressed {
            log::warn!(
                target: "host", event = "pressed", callers = callers, idle = idle,
                targets = targets, most = rules.max_open; "connections are near their bound"
            );
        } else {
            log::info!(
                target: "host", event = "eased", callers = callers, idle = idle,
                targets = targets, most = rules.max_open; "connections are below their bound again"
            );
        }
    }
}
