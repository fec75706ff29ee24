//! Inputs of the ledger worker and events for the tasks that run attempts.

use std::{sync::Arc, time::Duration};

use dunlinrock_coord::once::{
    Key, LedgerStats, Message, Outcome, RefusalReason, Request, RunStatus,
};
use tokio::sync::{mpsc, oneshot};

/// Input of the worker. The comment of each variant states what happens if the channel is full.
#[derive(Debug)]
pub enum Input {
    /// An attempt of a caller. Full channel: the attempt is refused and has not run.
    Request {
        /// The attempt.
        request: Request,
        /// Channel for the events of the attempt.
        events: EventSender,
    },
    /// The task of an attempt has ended. Full channel: sent later.
    Cancel {
        /// The attempt.
        ticket: u64,
    },
    /// A run has ended. Full channel: sent later, since callers wait for it.
    Finished {
        /// Key of the run.
        key: Key,
        /// Result of the run.
        outcome: Outcome,
    },
    /// A message of another host. Full channel: dropped, as if it were lost in the network; the
    /// sender sends it again.
    Message {
        /// Incarnation of the sender.
        from: u64,
        /// The message.
        message: Message,
    },
    /// An incarnation has permanently ended. Full channel: sent later.
    Gone(u64),
    /// Graceful shutdown: the records are transferred to these incarnations. Full channel: sent
    /// later.
    HandOver {
        /// Live incarnations.
        peers: Vec<u64>,
        /// Time limit for open requests to end before that.
        time: Duration,
    },
    /// Requests the state. Full channel: the request is dropped.
    GetState(oneshot::Sender<LedgerReport>),
    /// Executes due timers.
    Tick,
    /// Stops the worker.
    Stop,
}

/// Event for the task of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Run the request now. Sent once for a key.
    Run,
    /// The response, as it was passed in [`Input::Finished`].
    Answer(Arc<[u8]>),
    /// The attempt is refused.
    Refused {
        /// Whether the request ran.
        run: RunStatus,
        /// Why.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
}

/// Sending end of the event channel of an attempt's task. Unbounded, because an attempt receives at
/// most two events.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Creates an event channel.
    pub fn channel() -> (EventSender, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (EventSender(sender), receiver)
    }

    /// Sends an event; returns `false` if the task has ended.
    pub(super) fn send(&self, event: Event) -> bool {
        self.0.send(event).is_ok()
    }
}

/// State of the ledger, for dumps and graceful shutdowns.
#[derive(Clone, Copy, Debug)]
pub struct LedgerReport {
    /// Counts of the ledger's content.
    pub counts: LedgerStats,
    /// Current epoch.
    pub epoch: u64,
    /// Whether a graceful shutdown has transferred all records.
    pub stopped: bool,
}
