//! What the duty takes in and what it tells the holders of attempts.

use std::{sync::Arc, time::Duration};

use dunlinrock_coord::once::{
    Key, LedgerStats, Message, Outcome, RefusalReason, Request, RunStatus,
};
use tokio::sync::{mpsc, oneshot};

/// Something for the duty to do. What a full ring does is said for each.
#[derive(Debug)]
pub enum Input {
    /// An attempt of a caller. Full ring: turned away; this attempt has not run.
    Request {
        /// The attempt.
        request: Request,
        /// Where its holder listens.
        events: EventSender,
    },
    /// The holder of an attempt is gone. Full ring: delivered later.
    Cancel {
        /// The attempt.
        ticket: u64,
    },
    /// A run has ended. Full ring: delivered later, since callers wait for it.
    Finished {
        /// Its key.
        key: Key,
        /// How it ended.
        outcome: Outcome,
    },
    /// A message of another host. Full ring: dropped, as if the network had lost it; the sender
    /// sends it again.
    Message {
        /// Incarnation that sent it.
        from: u64,
        /// The message.
        message: Message,
    },
    /// An incarnation is gone for good. Full ring: delivered later.
    Gone(u64),
    /// Planned stop: the records go to these incarnations. Full ring: delivered later.
    HandOver {
        /// Live incarnations.
        peers: Vec<u64>,
        /// Time for open requests to end first.
        time: Duration,
    },
    /// Asks for the state. Full ring: the asker goes without.
    GetState(oneshot::Sender<LedgerReport>),
    /// Looks at what is due.
    Tick,
    /// Ends the duty.
    Stop,
}

/// What a holder is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Run the request now; this comes once for a key.
    Run,
    /// The answer, as it was given with [`Input::Finished`].
    Answer(Arc<[u8]>),
    /// The attempt is refused.
    Refused {
        /// Whether the request ran.
        run: RunStatus,
        /// Why.
        reason: RefusalReason,
        /// When a new try may help.
        retry_after: Option<Duration>,
    },
}

/// A holder's ear. Unbounded because an attempt is told two things at the most.
#[derive(Clone, Debug)]
pub struct EventSender(mpsc::UnboundedSender<Event>);

impl EventSender {
    /// Opens an ear.
    pub fn channel() -> (EventSender, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (EventSender(sender), receiver)
    }

    /// Tells the holder; `false` where it is gone.
    pub(super) fn send(&self, event: Event) -> bool {
        self.0.send(event).is_ok()
    }
}

/// State of the ledger, for dumps and planned stops.
#[derive(Clone, Copy, Debug)]
pub struct LedgerReport {
    /// What it holds.
    pub counts: LedgerStats,
    /// Its epoch.
    pub epoch: u64,
    /// Whether a planned stop has handed everything over.
    pub stopped: bool,
}
